package informer

import (
	"sync"
	"sync/atomic"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/logger"
)

// replica is the node's copy of the store's entries of one kind, which the store or
// peers supply. It passes changes on to a sink and is safe for concurrent use.
type replica[Entry any] struct {
	// mutex is held while a reading is passed on, so that readings reach the sink in
	// order. The locks of the chronicler and of the sink are taken while it is held.
	mutex      sync.Mutex
	chronicler *chronicler.Chronicler[Entry]
	// sink receives each reading that holds a change, and the node that sent it or
	// storeOrigin.
	sink func(reading chronicler.Reading[Entry], from definer.VM)
	// feed is the name of the kind in log events.
	feed string
	log  func(number int, pairs ...any)
	// contradictions counts how often a list or a peer had entries that the copy claimed to have.
	contradictions atomic.Int64
}

func newReplica[Entry any](feed string, log func(number int, pairs ...any), sink func(reading chronicler.Reading[Entry], from definer.VM), options ...chronicler.Option[Entry]) *replica[Entry] {
	return &replica[Entry]{feed: feed, log: log, chronicler: chronicler.New(options...), sink: sink}
}

// compare compares the copy with that of a peer at the position.
func (replica *replica[Entry]) compare(from definer.VM, position chronicler.Position) {
	if replica.chronicler.Compare(position) {
		replica.contradictions.Add(1)
		replica.log(logger.EventCopiesDisagree, "feed", replica.feed, "peer", from, "known", position.UpTo)
	}
}

// applyList replaces the entries by those that the store held at the revision.
func (replica *replica[Entry]) applyList(records []chronicler.Record[Entry], revision uint64, doubted bool) {
	replica.update(storeOrigin, func() chronicler.Reading[Entry] {
		reading := replica.chronicler.ApplyList(records, revision, doubted)
		if len(reading.Missed) > 0 {
			replica.contradictions.Add(1)
			replica.log(logger.EventListContradicts, "feed", replica.feed, "missed", len(reading.Missed), "first", reading.Missed[0], "known", reading.Known, "listed", revision)
		}
		return reading
	})
}

// applyChanges applies changes that a watch on the store returned.
func (replica *replica[Entry]) applyChanges(records []chronicler.Record[Entry], answer follower.Reading) {
	replica.update(storeOrigin, func() chronicler.Reading[Entry] {
		return replica.chronicler.ApplyChanges(records, chronicler.Answer{After: answer.After, Complete: answer.Revision, Current: answer.Current})
	})
}

// applyExcerpt applies the entries that a peer sent; a nil excerpt is ignored.
func (replica *replica[Entry]) applyExcerpt(from definer.VM, excerpt *chronicler.Excerpt[Entry]) {
	if excerpt != nil {
		replica.update(from, func() chronicler.Reading[Entry] { return replica.chronicler.ApplyExcerpt(*excerpt) })
	}
}

func (replica *replica[Entry]) update(from definer.VM, read func() chronicler.Reading[Entry]) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	if reading := read(); reading.Full || len(reading.Records) > 0 {
		replica.sink(reading, from)
	}
}

// since returns the entries that a node at the position lacks, limited to the given
// number of records, or nil if it lacks none.
func (replica *replica[Entry]) since(position chronicler.Position, most int) *chronicler.Excerpt[Entry] {
	excerpt, ok := replica.chronicler.ExcerptAfter(position, most)
	if !ok {
		return nil
	}
	return &excerpt
}

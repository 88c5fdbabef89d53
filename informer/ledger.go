package informer

import (
	"sync"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
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
	// contradicted is called when a list shows changes that the copy up to the revision known lacked.
	contradicted func(missed []string, known, listed uint64)
}

func newReplica[Entry any](sink func(reading chronicler.Reading[Entry], from definer.VM), contradicted func(missed []string, known, listed uint64), options ...chronicler.Option[Entry]) *replica[Entry] {
	return &replica[Entry]{chronicler: chronicler.New(options...), sink: sink, contradicted: contradicted}
}

// applyList replaces the entries by those that the store held at the revision.
func (replica *replica[Entry]) applyList(records []chronicler.Record[Entry], revision uint64, doubted bool) {
	replica.update(storeOrigin, func() chronicler.Reading[Entry] {
		reading := replica.chronicler.ApplyList(records, revision, doubted)
		if len(reading.Missed) > 0 {
			replica.contradicted(reading.Missed, reading.Known, revision)
		}
		return reading
	})
}

// applyChanges applies changes that a watch on the store returned.
func (replica *replica[Entry]) applyChanges(records []chronicler.Record[Entry], revision uint64) {
	replica.update(storeOrigin, func() chronicler.Reading[Entry] { return replica.chronicler.ApplyChanges(records, revision) })
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

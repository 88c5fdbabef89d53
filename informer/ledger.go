package informer

import (
	"sync"

	"limpetcleat/chronicler"
)

// ledger keeps what the store and peers tell of one kind of entries, and hands on what is
// new. It is safe for concurrent use.
type ledger[Entry any] struct {
	// mutex is held while a reading is handed on, so that readings arrive in their order.
	// The chronicler's lock and those of the sink are taken under it.
	mutex      sync.Mutex
	chronicler *chronicler.Chronicler[Entry]
	// sink takes in each reading that holds anything.
	sink func(reading chronicler.Reading[Entry])
}

func newLedger[Entry any](sink func(reading chronicler.Reading[Entry])) *ledger[Entry] {
	return &ledger[Entry]{chronicler: chronicler.New[Entry](), sink: sink}
}

// listed takes in all entries that the store had at the revision.
func (ledger *ledger[Entry]) listed(records []chronicler.Record[Entry], revision uint64, doubted bool) {
	ledger.take(func() chronicler.Reading[Entry] { return ledger.chronicler.Listed(records, revision, doubted) })
}

// watched takes in changes that the store made.
func (ledger *ledger[Entry]) watched(records []chronicler.Record[Entry], revision uint64) {
	ledger.take(func() chronicler.Reading[Entry] { return ledger.chronicler.Watched(records, revision) })
}

// told takes in what a peer told; nil is nothing.
func (ledger *ledger[Entry]) told(excerpt *chronicler.Excerpt[Entry]) {
	if excerpt != nil {
		ledger.take(func() chronicler.Reading[Entry] { return ledger.chronicler.Told(*excerpt) })
	}
}

func (ledger *ledger[Entry]) take(read func() chronicler.Reading[Entry]) {
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if reading := read(); reading.Whole || len(reading.Records) > 0 {
		ledger.sink(reading)
	}
}

// since returns what one at the position lacks, at most so many records; nil is nothing.
func (ledger *ledger[Entry]) since(position chronicler.Position, most int) *chronicler.Excerpt[Entry] {
	excerpt, ok := ledger.chronicler.Since(position, most)
	if !ok {
		return nil
	}
	return &excerpt
}

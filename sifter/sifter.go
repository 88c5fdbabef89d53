// Package sifter keeps which entries of the platform's store cannot be read: each is
// logged once for each of its contents, and how many there are is counted.
package sifter

import (
	"sync"

	"limpetcleat/logger"
)

const (
	// maxEntries bounds the entries that are kept apart; those beyond are neither logged
	// nor counted. A store holds some thousands of entries in all.
	maxEntries = 4096
	// maxContents bounds the contents of one entry that are logged until it can be read
	// again: a writer may write another every second.
	maxContents = 8
)

// key names an entry; name is empty for all of a feed that have no name to read.
type key struct{ feed, name string }

// Sifter keeps the unreadable entries of all feeds. It is safe for concurrent use.
type Sifter struct {
	log   func(number int, pairs ...any)
	gauge func(count int)
	// mutex guards entries; no other lock is taken under it.
	mutex sync.Mutex
	// entries holds the contents that were logged of each unreadable entry.
	entries map[key]map[uint64]bool
}

// New returns a Sifter that logs numbered events and tells how many entries cannot be
// read; neither may block.
func New(log func(number int, pairs ...any), gauge func(count int)) *Sifter {
	return &Sifter{log: log, gauge: gauge, entries: make(map[key]map[uint64]bool)}
}

// Unreadable takes in that an entry cannot be read, and why. The content tells one that
// was logged from another.
func (sifter *Sifter) Unreadable(feed, name string, content uint64, cause error) {
	sifter.mutex.Lock()
	defer sifter.mutex.Unlock()
	key := key{feed, name}
	contents, known := sifter.entries[key]
	if !known && len(sifter.entries) >= maxEntries {
		return
	}
	if !known {
		contents = make(map[uint64]bool)
		sifter.entries[key] = contents
		sifter.gauge(len(sifter.entries))
	}
	if contents[content] || len(contents) >= maxContents {
		return
	}
	contents[content] = true
	sifter.log(logger.EventEntryUnreadable, "feed", feed, "name", name, "cause", cause)
}

// Readable takes in that an entry can be read, or that it went.
func (sifter *Sifter) Readable(feed, name string) {
	sifter.mutex.Lock()
	defer sifter.mutex.Unlock()
	if _, known := sifter.entries[key{feed, name}]; known {
		delete(sifter.entries, key{feed, name})
		sifter.gauge(len(sifter.entries))
	}
}

// Listed takes in the names of all entries of a feed: others went.
func (sifter *Sifter) Listed(feed string, names map[string]bool) {
	sifter.mutex.Lock()
	defer sifter.mutex.Unlock()
	before := len(sifter.entries)
	for key := range sifter.entries {
		if key.feed == feed && !names[key.name] {
			delete(sifter.entries, key)
		}
	}
	if len(sifter.entries) != before {
		sifter.gauge(len(sifter.entries))
	}
}

// Package sifter tracks which entries of the platform's store cannot be decoded: it
// logs an entry once for each distinct content and reports the number of unreadable
// entries.
package sifter

import (
	"sync"

	"limpetcleat/logger"
)

const (
	// maxEntries is the largest number of unreadable entries that are tracked; further
	// entries are neither logged nor counted. A store holds some thousands of entries in
	// all.
	maxEntries = 4096
	// maxContents is the largest number of distinct contents of an entry that are logged
	// until the entry is readable again: a writer may write a new one every second.
	maxContents = 8
)

// entryKey identifies an entry of a feed. All entries of a feed whose names cannot be
// read share the empty name.
type entryKey struct{ feed, name string }

// Sifter tracks the unreadable entries of all feeds. It is safe for concurrent use.
type Sifter struct {
	log      func(number int, pairs ...any)
	setCount func(count int)
	// mutex guards entries; no other lock of this package is acquired while it is held, but
	// log and setCount are called.
	mutex sync.Mutex
	// entries holds, for each unreadable entry, the identifiers of the contents that
	// were logged.
	entries map[entryKey]map[uint64]bool
}

// New returns a Sifter that logs numbered events to log and passes the number of
// unreadable entries to setCount whenever it changes. Neither function may block or call
// the Sifter.
func New(log func(number int, pairs ...any), setCount func(count int)) *Sifter {
	return &Sifter{log: log, setCount: setCount, entries: make(map[entryKey]map[uint64]bool)}
}

// MarkUnreadable records that an entry cannot be decoded, with the cause, and logs this if
// the content has not been logged yet. The number content identifies the entry's
// content, for example its hash or revision.
func (sifter *Sifter) MarkUnreadable(feed, name string, content uint64, cause error) {
	sifter.mutex.Lock()
	defer sifter.mutex.Unlock()
	key := entryKey{feed, name}
	contents, known := sifter.entries[key]
	if !known && len(sifter.entries) >= maxEntries {
		return
	}
	if !known {
		contents = make(map[uint64]bool)
		sifter.entries[key] = contents
		sifter.setCount(len(sifter.entries))
	}
	if contents[content] || len(contents) >= maxContents {
		return
	}
	contents[content] = true
	sifter.log(logger.EventEntryUnreadable, "feed", feed, "name", name, "cause", cause)
}

// MarkReadable records that an entry can be decoded or has been removed.
func (sifter *Sifter) MarkReadable(feed, name string) {
	sifter.mutex.Lock()
	defer sifter.mutex.Unlock()
	if _, known := sifter.entries[entryKey{feed, name}]; known {
		delete(sifter.entries, entryKey{feed, name})
		sifter.setCount(len(sifter.entries))
	}
}

// RetainListed records the names of all entries of a feed; tracked entries of the feed that
// are not among them are forgotten.
func (sifter *Sifter) RetainListed(feed string, names map[string]bool) {
	sifter.mutex.Lock()
	defer sifter.mutex.Unlock()
	before := len(sifter.entries)
	for key := range sifter.entries {
		if key.feed == feed && !names[key.name] {
			delete(sifter.entries, key)
		}
	}
	if len(sifter.entries) != before {
		sifter.setCount(len(sifter.entries))
	}
}

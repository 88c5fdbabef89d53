// Package chronicler keeps a replicated change log of the store's entries of one kind: the
// last change of each entry, ordered by revision. A node that has the log up to some
// revision can get just the later changes, from the store or from any node that has them.
package chronicler

import (
	"cmp"
	"slices"
	"sync"
)

// maxTombstones is how many removals are kept. A node that missed more gets all entries
// again. 4,096 removals, which take 300 KB, cover some hours of a deployment of 390 nodes
// and 2,800 upstreams.
const maxTombstones = 4096

// recentRecords is how many entries of its first list a node asks its peers for again, the newest ones: the peers
// may know what was written before, which a list does not show.
const recentRecords = 64

// Record is the last change of one entry.
type Record[Entry any] struct {
	Name string
	// Revision is that of the change or, where it is not known, a later one at which the change had been made. Logs
	// are ordered by it.
	Revision uint64
	// Written is the revision of a write that became known late, or one up to which a removal removed all writes of
	// the entry. 0 means Revision.
	Written uint64
	Removed bool
	// Doubted reports whether the change was seen soon after an outage of the store, so that
	// an entry that was removed may come back.
	Doubted bool
	// Entry is the content of the entry. If it was removed, it is the zero value, or what the
	// log's succession keeps of the content before.
	Entry Entry
}

// LastWrite returns the revision of the entry's last write or, if it is removed, one up to which its writes are.
func (record *Record[Entry]) LastWrite() uint64 { return cmp.Or(record.Written, record.Revision) }

// follows reports whether the change was made after the known one of the same entry.
func (record *Record[Entry]) follows(known *Record[Entry]) bool {
	switch {
	case record.Removed && !known.Removed:
		return record.LastWrite() >= known.LastWrite()
	case known.Removed && !record.Removed && record.LastWrite() == known.LastWrite():
		// A list has shown that the entry was not removed.
		return record.Revision > known.Revision
	}
	return record.LastWrite() > known.LastWrite()
}

// Succession returns the record that follows the known one when the store reports the next. The revision of
// the next record is the later one, but the store may have executed its write after later ones of the same
// writer. The result has the name, the revision and the removal of the next record.
type Succession[Entry any] func(known, next Record[Entry]) Record[Entry]

// Option changes one setting of a Chronicler.
type Option[Entry any] func(*Chronicler[Entry])

// WithSuccession sets how records follow each other. By default, the next record replaces the known one.
func WithSuccession[Entry any](succession Succession[Entry]) Option[Entry] {
	return func(chronicler *Chronicler[Entry]) { chronicler.succession = succession }
}

// Reading is the effect of an Excerpt or of an answer of the store on the log.
type Reading[Entry any] struct {
	// Full reports whether All replaces all entries that were known before.
	Full bool
	All  []Record[Entry]
	// Records are the changes that were new, sorted by revision.
	Records []Record[Entry]
	// Missed are the names of entries whose change this log lacked though it is at or before the revision
	// Known, up to which the log claimed to have all changes.
	Missed []string
	Known  uint64
}

// Chronicler keeps the change log of one kind of entries. It is safe for concurrent use.
type Chronicler[Entry any] struct {
	succession Succession[Entry]

	// mutex guards the fields below; no other lock is taken while it is held.
	mutex   sync.Mutex
	current *changeLog[Entry]
	// replacement is the log that is being received from the beginning, otherwise nil.
	// It becomes current once it reaches completeAt.
	replacement *changeLog[Entry]
	// completeAt is the highest Known of the excerpts in replacement.
	completeAt uint64
	// allWantedAt is the revision at which this log asks peers for all entries, 0 if it does not.
	allWantedAt uint64
	// review is the reading of what peers know of entries that this log has already.
	review review
	// disagreement is the last one with a peer.
	disagreement disagreement
}

// New returns a Chronicler with an empty log.
func New[Entry any](options ...Option[Entry]) *Chronicler[Entry] {
	chronicler := &Chronicler[Entry]{}
	for _, option := range options {
		option(chronicler)
	}
	chronicler.current = newChangeLog(chronicler.succession)
	return chronicler
}

// Known returns the revision up to which all changes are known; 0 if none are.
func (chronicler *Chronicler[Entry]) Known() uint64 {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	return chronicler.current.revision
}

// Holding describes which entries a log holds: all changes up to Known, some up to Newest, and none that a list of the
// store showed at the revision Listed, if that is later.
type Holding struct {
	Known  uint64
	Listed uint64
	// Newest is the revision of the newest change, 0 if it is not above Known.
	Newest uint64
	// Live is the digest of the entries that are not removed.
	Live uint64
}

// Includes reports whether a log with the holding has whatever entries one with the other has. Between Known and
// Listed of the other, entries may have been written and removed again.
func (holding Holding) Includes(other Holding) bool {
	return holding.Known > 0 && holding.Live == other.Live || holding.Known >= max(other.Known, other.Listed, other.Newest)
}

// Holding returns what the log holds.
func (chronicler *Chronicler[Entry]) Holding() Holding {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	newest, _ := current.ahead()
	return Holding{Known: current.revision, Listed: current.listedAt, Newest: newest, Live: current.liveDigest()}
}

// ConfirmListed records what a list showed to a log with the holding, if this log holds the same.
func (chronicler *Chronicler[Entry]) ConfirmListed(other Holding) {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	if current := chronicler.current; current.revision == other.Known {
		current.listedAt = max(current.listedAt, other.Listed)
	}
}

// ApplyList applies a list of all entries that the store had at the revision; a list older
// than Known, or without a change, leaves the log as it is. Otherwise the list is right, also about entries whose last
// change is at or before Known. doubted says that the list was read soon after an outage and is passed on to the
// changes that it shows.
func (chronicler *Chronicler[Entry]) ApplyList(records []Record[Entry], revision uint64, doubted bool) Reading[Entry] {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	first := chronicler.current.revision == 0
	if revision < chronicler.current.revision {
		return Reading[Entry]{}
	}
	if newest, _ := chronicler.current.ahead(); !first && newest == 0 && chronicler.current.matches(records) {
		chronicler.current.listedAt = revision
		return Reading[Entry]{}
	}
	chronicler.replacement = nil
	known, missed := chronicler.current.revision, chronicler.current.missed(records)
	changed := chronicler.current.replaceAll(records, revision, doubted)
	chronicler.current.partial = false
	if first {
		if chronicler.succession != nil {
			chronicler.review = review{from: chronicler.current.recent(), to: revision}
		}
		return Reading[Entry]{Full: true, All: chronicler.current.live()}
	}
	return Reading[Entry]{Records: changed, Missed: missed, Known: known}
}

// Answer is what the store's answer to a watch states beside the changes.
type Answer struct {
	// After is the revision after which all changes in the answer were made.
	After uint64
	// Complete is the revision up to which all changes are known with those of the answer. A watch may lag, so that
	// it is before Current, the store's revision.
	Complete uint64
	Current  uint64
}

// ApplyChanges applies changes of a watch, in their order. The revision of a removal may be that of the entry's last
// write. The removal gets the revision just before the next write instead, or the store's if no write follows. That is
// never too early, so no node misses the removal.
func (chronicler *Chronicler[Entry]) ApplyChanges(records []Record[Entry], answer Answer) Reading[Entry] {
	records = slices.Clone(records)
	latest := max(answer.Current, answer.Complete)
	for index, record := range slices.Backward(records) {
		if record.Removed {
			records[index].Written, records[index].Revision = record.Revision, latest
		} else {
			latest = record.Revision - 1
		}
	}
	earliest := answer.After
	for index, record := range records {
		if record.Removed {
			records[index].Written = min(max(record.Written, earliest), record.Revision)
		}
		earliest = max(earliest, records[index].LastWrite())
	}
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	if current.listedAt > current.revision {
		// What was written and removed before the last list is not known.
		current.compactedTo = max(current.compactedTo, current.listedAt)
	}
	return Reading[Entry]{Records: current.add(records, answer.Complete)}
}

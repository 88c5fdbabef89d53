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
	Name     string
	Revision uint64
	Removed  bool
	// Doubted reports whether the change was seen soon after an outage of the store, so that
	// an entry that was removed may come back.
	Doubted bool
	// Entry is the content of the entry. If it was removed, it is the zero value, or what the
	// log's succession keeps of the content before.
	Entry Entry
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

// Position tells other nodes from where on a node needs changes.
type Position struct {
	// UpTo is the revision up to which the node has all changes or, while it receives
	// all entries again, has received them so far.
	UpTo uint64
	// Forgotten is the revision up to which removals need not be sent to a node that
	// receives all entries again, otherwise 0.
	Forgotten uint64
}

// Excerpt is a range of a change log: a node that has all changes up to From has those up
// to To after applying it. It holds the last change of each entry alone, so an entry that
// changed again after To is not part of it but of a later excerpt.
type Excerpt[Entry any] struct {
	From, To uint64
	// Forgotten is the revision up to which removals may be missing: a node that has
	// the changes up to an earlier revision only needs all entries again.
	Forgotten uint64
	// Records are sorted by revision; the revisions are above From and at most To.
	Records []Record[Entry]
	// Known is the revision up to which the sender has all changes. Excerpts that start
	// at 0 are complete only once they reach it, since entries that changed meanwhile
	// are left out until then.
	Known uint64
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
	// untold is set until peers have told the newest entries of the first list of the store. They are
	// asked for the records after untoldFrom.
	untold     bool
	untoldFrom uint64
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

// Holding says which entries a log holds: all changes up to Known, and none that a list of the store
// showed at the revision Listed, if that is later.
type Holding struct {
	Known  uint64
	Listed uint64
}

// Includes reports whether a log with the holding knows whatever one with the other knows. Between Known and
// Listed of the other, entries may have been written and removed again.
func (holding Holding) Includes(other Holding) bool {
	return holding.Known == other.Known || holding.Known >= max(other.Known, other.Listed)
}

// Holding returns what the log holds.
func (chronicler *Chronicler[Entry]) Holding() Holding {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	return Holding{Known: chronicler.current.revision, Listed: chronicler.current.listedAt}
}

// ConfirmListed records what a list showed to a log with the holding, if this log holds the same.
func (chronicler *Chronicler[Entry]) ConfirmListed(other Holding) {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	if current := chronicler.current; current.revision == other.Known {
		current.listedAt = max(current.listedAt, other.Listed)
	}
}

// Position returns the position from which other nodes should send changes.
func (chronicler *Chronicler[Entry]) Position() Position {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	if replacement := chronicler.replacement; replacement != nil {
		return Position{UpTo: replacement.revision, Forgotten: replacement.compactedTo}
	}
	if chronicler.untold {
		return Position{UpTo: chronicler.untoldFrom, Forgotten: chronicler.current.revision}
	}
	return Position{UpTo: chronicler.current.revision}
}

// ApplyList applies a list of all entries that the store had at the revision; a list older
// than Known, or without a change, leaves the log as it is. doubted says that the list was
// read soon after an outage and is passed on to the changes that it shows.
func (chronicler *Chronicler[Entry]) ApplyList(records []Record[Entry], revision uint64, doubted bool) Reading[Entry] {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	first := chronicler.current.revision == 0
	if revision < chronicler.current.revision {
		return Reading[Entry]{}
	}
	if !first && chronicler.current.matches(records) {
		chronicler.current.listedAt = revision
		return Reading[Entry]{}
	}
	chronicler.replacement = nil
	known, missed := chronicler.current.revision, chronicler.current.missed(records)
	changed := chronicler.current.replaceAll(records, revision, doubted)
	if first {
		chronicler.untold, chronicler.untoldFrom = chronicler.succession != nil, chronicler.current.recent()
		return Reading[Entry]{Full: true, All: chronicler.current.live()}
	}
	return Reading[Entry]{Records: changed, Missed: missed, Known: known}
}

// ApplyChanges applies the changes that the store made up to revision, in their order. They have
// to begin after a revision up to which all changes are known, or after that of the last
// list. The revisions of removals are not used, since the store may report that of the
// entry's last write. Each removal gets the revision just before the next write instead, or
// the given one if no write follows. That is never too early, so no node misses the removal.
func (chronicler *Chronicler[Entry]) ApplyChanges(records []Record[Entry], revision uint64) Reading[Entry] {
	records = slices.Clone(records)
	latest := revision
	for index, record := range slices.Backward(records) {
		if record.Removed {
			records[index].Revision = latest
		} else {
			latest = record.Revision - 1
		}
	}
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	if current := chronicler.current; current.listedAt > current.revision {
		// What was written and removed before the last list is not known.
		current.compactedTo = max(current.compactedTo, current.listedAt)
	}
	return Reading[Entry]{Records: chronicler.current.add(records, revision)}
}

// ApplyExcerpt applies an excerpt from a peer. An excerpt that begins after what is known leaves a
// gap and changes nothing.
func (chronicler *Chronicler[Entry]) ApplyExcerpt(excerpt Excerpt[Entry]) Reading[Entry] {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	if current.revision > 0 && excerpt.From <= current.revision && excerpt.Forgotten <= current.revision {
		chronicler.replacement = nil
		var joined []Record[Entry]
		if chronicler.untold {
			joined = current.join(excerpt.Records)
			chronicler.untoldFrom = max(chronicler.untoldFrom, excerpt.To)
			chronicler.untold = chronicler.untoldFrom < current.revision
		}
		return Reading[Entry]{Records: append(joined, current.add(excerpt.Records, excerpt.To)...)}
	}
	return chronicler.receiveSnapshot(excerpt)
}

// receiveSnapshot adds an excerpt to the log that is received from the beginning; mutex is
// held.
func (chronicler *Chronicler[Entry]) receiveSnapshot(excerpt Excerpt[Entry]) Reading[Entry] {
	if excerpt.From == 0 {
		chronicler.replacement = newChangeLog(chronicler.succession)
		chronicler.replacement.compactedTo = excerpt.Forgotten
		chronicler.completeAt = 0
	}
	replacement := chronicler.replacement
	if replacement == nil || excerpt.From > replacement.revision || !replacement.continuesWith(excerpt) {
		return Reading[Entry]{}
	}
	replacement.add(excerpt.Records, excerpt.To)
	chronicler.completeAt = max(chronicler.completeAt, excerpt.Known)
	if replacement.revision < chronicler.completeAt {
		return Reading[Entry]{}
	}
	chronicler.replacement = nil
	if replacement.revision < chronicler.current.revision {
		return Reading[Entry]{}
	}
	replacement.inherit(chronicler.current)
	chronicler.current, chronicler.untold = replacement, false
	return Reading[Entry]{Full: true, All: replacement.live()}
}

// ExcerptAfter returns the first records after the position, or from the beginning if removals
// since then were dropped. It returns at most limit records, but never divides those of one
// revision. It reports false if there is nothing to send.
func (chronicler *Chronicler[Entry]) ExcerptAfter(position Position, limit int) (Excerpt[Entry], bool) {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	if position.UpTo >= current.revision || position.Forgotten > current.revision {
		return Excerpt[Entry]{}, false
	}
	if max(position.UpTo, position.Forgotten) < current.compactedTo {
		return current.excerptAfter(0, limit), true
	}
	return current.excerptAfter(position.UpTo, limit), true
}

// changeLog holds the last change of each entry, removals included.
type changeLog[Entry any] struct {
	// succession is nil if records replace each other.
	succession Succession[Entry]
	// revision is the revision up to which all changes are known.
	revision uint64
	// compactedTo is the revision up to which removals may be missing.
	compactedTo uint64
	// listedAt is the revision of the last list that showed no change.
	listedAt uint64
	byName   map[string]Record[Entry]
	// byRevision holds the records of byName sorted by revision; nil if they have to be
	// sorted again.
	byRevision []Record[Entry]
}

func newChangeLog[Entry any](succession Succession[Entry]) *changeLog[Entry] {
	return &changeLog[Entry]{succession: succession, byName: make(map[string]Record[Entry])}
}

// inherit makes the records follow those of the log before, which may know more of their writers. Removals that
// this log lacks are those that its sender dropped.
func (changeLog *changeLog[Entry]) inherit(before *changeLog[Entry]) {
	if changeLog.succession == nil {
		return
	}
	for name, known := range before.byName {
		next, ok := changeLog.byName[name]
		if !ok {
			next = Record[Entry]{Name: name, Revision: changeLog.compactedTo, Removed: true}
			if known.Removed {
				next.Revision = known.Revision
			}
		}
		changeLog.byName[name] = changeLog.succession(known, next)
	}
	changeLog.byRevision = nil
	changeLog.compact()
}

// recent returns the revision after which recentRecords records at most follow.
func (changeLog *changeLog[Entry]) recent() uint64 {
	records := changeLog.sorted()
	if len(records) <= recentRecords {
		return 0
	}
	return records[len(records)-recentRecords-1].Revision
}

// join makes records that a peer has told follow those of the same write that this log has. It returns the result.
func (changeLog *changeLog[Entry]) join(records []Record[Entry]) []Record[Entry] {
	var joined []Record[Entry]
	for _, record := range records {
		known, ok := changeLog.byName[record.Name]
		if ok && known.Revision == record.Revision && !known.Removed {
			record = changeLog.succession(known, record)
			changeLog.byName[record.Name] = record
			joined = append(joined, record)
		}
	}
	changeLog.byRevision = nil
	return joined
}

// matches reports whether a list of all entries shows no change.
func (changeLog *changeLog[Entry]) matches(records []Record[Entry]) bool {
	live := 0
	for _, record := range changeLog.byName {
		if !record.Removed {
			live++
		}
	}
	return live == len(records) && !slices.ContainsFunc(records, func(record Record[Entry]) bool {
		known, ok := changeLog.byName[record.Name]
		return !ok || known.Removed || known.Revision != record.Revision
	})
}

// missed returns the names of listed entries that this log lacks, or has at an earlier write, though they were
// written up to its revision.
func (changeLog *changeLog[Entry]) missed(records []Record[Entry]) []string {
	var names []string
	for _, record := range records {
		known, ok := changeLog.byName[record.Name]
		if record.Revision <= changeLog.revision && (!ok || known.Revision < record.Revision) {
			names = append(names, record.Name)
		}
	}
	return names
}

// replaceAll applies a list of all entries as of the revision and returns the changes.
func (changeLog *changeLog[Entry]) replaceAll(records []Record[Entry], revision uint64, doubted bool) []Record[Entry] {
	listed := make(map[string]bool, len(records))
	for _, record := range records {
		listed[record.Name] = true
	}
	changes := slices.Clone(records)
	for name, record := range changeLog.byName {
		if !listed[name] && !record.Removed {
			changes = append(changes, Record[Entry]{Name: name, Revision: revision, Removed: true})
		}
	}
	for index := range changes {
		changes[index].Doubted = doubted
	}
	// A list does not show entries that were written and removed since the last one.
	changeLog.compactedTo = max(changeLog.compactedTo, revision)
	return changeLog.add(changes, revision)
}

// add applies changes and returns those that are new, sorted by revision. It ignores
// changes up to the log's revision: they are known, and an entry in a late message may have
// been removed since.
func (changeLog *changeLog[Entry]) add(records []Record[Entry], upTo uint64) []Record[Entry] {
	var changed []Record[Entry]
	for _, record := range records {
		known, ok := changeLog.byName[record.Name]
		if record.Revision <= changeLog.revision || ok && known.Revision >= record.Revision {
			continue
		}
		if ok && changeLog.succession != nil {
			record = changeLog.succession(known, record)
		}
		changeLog.byName[record.Name] = record
		changed = append(changed, record)
	}
	changeLog.revision = max(changeLog.revision, upTo)
	if len(changed) > 0 {
		changeLog.byRevision = nil
		changeLog.compact()
	}
	sortByRevision(changed)
	return changed
}

// compact drops the earliest removals if there are more than maxTombstones, and leaves half
// of that number.
func (changeLog *changeLog[Entry]) compact() {
	var removals []Record[Entry]
	for _, record := range changeLog.byName {
		if record.Removed {
			removals = append(removals, record)
		}
	}
	if len(removals) <= maxTombstones {
		return
	}
	sortByRevision(removals)
	for _, record := range removals[:len(removals)-maxTombstones/2] {
		delete(changeLog.byName, record.Name)
		changeLog.compactedTo = max(changeLog.compactedTo, record.Revision)
	}
}

// continuesWith reports whether the excerpt continues a log that is received from the
// beginning: its sender still has each removal that was not sent yet, and has the changes
// up to the revision below which removals need not be sent.
func (changeLog *changeLog[Entry]) continuesWith(excerpt Excerpt[Entry]) bool {
	return excerpt.Forgotten <= max(changeLog.revision, changeLog.compactedTo) && excerpt.Known >= changeLog.compactedTo
}

// excerptAfter returns an excerpt with the first records after the position; limit is that
// of pageEnd.
func (changeLog *changeLog[Entry]) excerptAfter(position uint64, limit int) Excerpt[Entry] {
	sorted := changeLog.sorted()
	first, _ := slices.BinarySearchFunc(sorted, position, func(record Record[Entry], position uint64) int {
		if record.Revision <= position {
			return -1
		}
		return 1
	})
	records := sorted[first:]
	excerpt := Excerpt[Entry]{From: position, To: changeLog.revision, Forgotten: changeLog.compactedTo, Known: changeLog.revision, Records: records}
	if end := pageEnd(records, limit); end < len(records) {
		excerpt.Records = records[:end]
		excerpt.To = records[end-1].Revision
	}
	return excerpt
}

// sorted returns all records sorted by revision. The caller must not change them.
func (changeLog *changeLog[Entry]) sorted() []Record[Entry] {
	if changeLog.byRevision == nil {
		for _, record := range changeLog.byName {
			changeLog.byRevision = append(changeLog.byRevision, record)
		}
		sortByRevision(changeLog.byRevision)
	}
	return changeLog.byRevision
}

// pageEnd returns the end of a page of at most limit records, or of more if it would divide
// records of one revision: all removals that a list shows have that of the list.
func pageEnd[Entry any](records []Record[Entry], limit int) int {
	end := min(limit, len(records))
	for end > 0 && end < len(records) && records[end].Revision == records[end-1].Revision {
		end++
	}
	return end
}

// live returns the entries that are not removed, sorted by revision.
func (changeLog *changeLog[Entry]) live() []Record[Entry] {
	var live []Record[Entry]
	for _, record := range changeLog.byName {
		if !record.Removed {
			live = append(live, record)
		}
	}
	sortByRevision(live)
	return live
}

// sortByRevision sorts records by revision, then by name.
func sortByRevision[Entry any](records []Record[Entry]) {
	slices.SortFunc(records, func(left, right Record[Entry]) int {
		return cmp.Or(cmp.Compare(left.Revision, right.Revision), cmp.Compare(left.Name, right.Name))
	})
}

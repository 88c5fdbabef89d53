package chronicler

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

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
	// digest is that of the entries that are not removed.
	digest uint64
	// partial is set while entries may be missing that have changed after revision.
	partial bool
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
			next = Record[Entry]{Name: name, Revision: changeLog.compactedTo, Written: known.LastWrite(), Removed: true}
			if known.Removed {
				next.Revision = known.Revision
			}
		}
		changeLog.set(changeLog.succession(known, next))
	}
	changeLog.compact()
}

// set makes a record the last change of its entry.
func (changeLog *changeLog[Entry]) set(record Record[Entry]) {
	if known, ok := changeLog.byName[record.Name]; ok && !known.Removed {
		changeLog.digest ^= known.digest()
	}
	if !record.Removed {
		changeLog.digest ^= record.digest()
	}
	changeLog.byName[record.Name] = record
	changeLog.byRevision = nil
}

// liveDigest returns the digest of the entries that are not removed. It is not 0.
func (changeLog *changeLog[Entry]) liveDigest() uint64 { return changeLog.digest | 1 }

// ahead returns the revision of the newest change after those that are all known, and the digest of these changes; 0
// and 0 if there are none.
func (changeLog *changeLog[Entry]) ahead() (newest, digest uint64) {
	records := changeLog.after(changeLog.revision)
	if len(records) == 0 {
		return 0, 0
	}
	return records[len(records)-1].Revision, digestOf(records)
}

// between returns the digest of the records after a revision, up to another one.
func (changeLog *changeLog[Entry]) between(after, upTo uint64) uint64 {
	records := changeLog.after(after)
	return digestOf(records[:len(records)-len(changeLog.after(upTo))])
}

// after returns the records after a revision, sorted by revision. The caller must not change them.
func (changeLog *changeLog[Entry]) after(revision uint64) []Record[Entry] {
	sorted := changeLog.sorted()
	first, _ := slices.BinarySearchFunc(sorted, revision, func(record Record[Entry], revision uint64) int {
		if record.Revision <= revision {
			return -1
		}
		return 1
	})
	return sorted[first:]
}

// recent returns the revision after which recentRecords records at most follow.
func (changeLog *changeLog[Entry]) recent() uint64 {
	records := changeLog.sorted()
	if len(records) <= recentRecords {
		return 0
	}
	return records[len(records)-recentRecords-1].Revision
}

// join makes records of a peer follow those of the same write that this log has. It returns the result.
func (changeLog *changeLog[Entry]) join(records []Record[Entry]) []Record[Entry] {
	var joined []Record[Entry]
	for _, record := range records {
		known, ok := changeLog.byName[record.Name]
		if ok && changeLog.succession != nil && known.LastWrite() == record.LastWrite() && !known.Removed && !record.Removed {
			record.Revision, record.Written = known.Revision, known.Written
			record = changeLog.succession(known, record)
			changeLog.set(record)
			joined = append(joined, record)
		}
	}
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
		return !ok || known.Removed || known.LastWrite() != record.Revision
	})
}

// missed returns the names of listed entries that this log lacks, or has at an earlier write, though they were
// written up to its revision.
func (changeLog *changeLog[Entry]) missed(records []Record[Entry]) []string {
	var names []string
	for _, record := range records {
		known, ok := changeLog.byName[record.Name]
		if record.Revision <= changeLog.revision && (!ok || known.LastWrite() < record.Revision) {
			names = append(names, record.Name)
		}
	}
	return names
}

// replaceAll applies a list of all entries as of the revision and returns the changes.
func (changeLog *changeLog[Entry]) replaceAll(records []Record[Entry], revision uint64, doubted bool) []Record[Entry] {
	listed := make(map[string]bool, len(records))
	var changes []Record[Entry]
	for _, record := range records {
		listed[record.Name] = true
		if known, ok := changeLog.byName[record.Name]; ok && !known.correctedBy(&record, revision) {
			continue
		}
		if record.Revision <= changeLog.revision {
			// Peers that have this log's changes lack it too.
			record.Revision, record.Written = revision, record.Revision
		}
		changes = append(changes, record)
	}
	for name, record := range changeLog.byName {
		if !listed[name] && !record.Removed && record.LastWrite() <= revision {
			changes = append(changes, Record[Entry]{Name: name, Revision: revision, Removed: true})
		}
	}
	for index := range changes {
		changes[index].Doubted = doubted
	}
	// A list does not show entries that were written and removed since the last one.
	changeLog.compactedTo = max(changeLog.compactedTo, revision)
	return changeLog.apply(changes, revision)
}

// correctedBy reports whether a list at a revision that shows the write of the entry shows another state than this record,
// unless the record may be later than the list.
func (record *Record[Entry]) correctedBy(listed *Record[Entry], revision uint64) bool {
	if record.Removed {
		return record.Revision <= revision || listed.Revision > record.LastWrite()
	}
	return listed.Revision > record.LastWrite()
}

// add applies changes and returns those that are new, sorted by revision. It ignores those that a known change of the
// same entry follows, and entries that this log does not have up to the revision up to which removals may be missing: an
// entry in a late message may have been removed since.
func (changeLog *changeLog[Entry]) add(records []Record[Entry], upTo uint64) []Record[Entry] {
	goneUpTo := min(changeLog.revision, changeLog.compactedTo)
	changes := make([]Record[Entry], 0, len(records))
	lasts := make(map[string]Record[Entry], len(records))
	for _, record := range records {
		known, ok := lasts[record.Name]
		if !ok {
			known, ok = changeLog.byName[record.Name]
		}
		isLive := ok && !known.Removed
		if ok && !record.follows(&known) || !isLive && record.Revision <= goneUpTo {
			continue
		}
		if !isLive && record.Revision <= changeLog.listedAt {
			// The last list shows that the entry has been removed since.
			changeLog.partial = true
			continue
		}
		lasts[record.Name] = record
		changes = append(changes, record)
	}
	return changeLog.apply(changes, upTo)
}

// lastLiveWrite returns the revision of the entry's last write, 0 if it is removed.
func (record *Record[Entry]) lastLiveWrite() uint64 {
	if record.Removed {
		return 0
	}
	return record.LastWrite()
}

// apply applies changes that follow those that are known. It returns them sorted by revision, without those of entries
// that stay removed.
func (changeLog *changeLog[Entry]) apply(changes []Record[Entry], upTo uint64) []Record[Entry] {
	var changed []Record[Entry]
	for _, record := range changes {
		known, ok := changeLog.byName[record.Name]
		if ok && changeLog.succession != nil {
			record = changeLog.succession(known, record)
		}
		changeLog.set(record)
		if !ok || !known.Removed || !record.Removed {
			changed = append(changed, record)
		}
	}
	changeLog.revision = max(changeLog.revision, upTo)
	if len(changes) > 0 {
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

// digest returns a number that differs with the entry and its last change. It does not depend on the revision at which
// a log has a change whose own revision is not known.
func (record *Record[Entry]) digest() uint64 {
	text := strconv.AppendBool(nil, record.Removed)
	text = strconv.AppendUint(text, record.lastLiveWrite(), 10)
	return xxhash.Sum64(append(append(text, ' '), record.Name...))
}

// digestOf returns the digest of changes in any order; 0 for none.
func digestOf[Entry any](records []Record[Entry]) (digest uint64) {
	for index := range records {
		digest ^= records[index].digest()
	}
	return digest
}

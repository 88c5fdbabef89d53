package chronicler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// fakeStore is a store that keeps its entries and all changes made to them.
type fakeStore struct {
	entries  map[string]uint64
	changes  []Record[int]
	revision uint64
}

func newFakeStore() *fakeStore { return &fakeStore{entries: make(map[string]uint64)} }

// change writes or removes an entry.
func (fakeStore *fakeStore) change(name string, removed bool) {
	fakeStore.revision++
	record := Record[int]{Name: name, Revision: fakeStore.revision, Removed: removed, Entry: int(fakeStore.revision)}
	if removed {
		record.Entry = 0
		delete(fakeStore.entries, name)
	} else {
		fakeStore.entries[name] = fakeStore.revision
	}
	fakeStore.changes = append(fakeStore.changes, record)
}

// list returns all entries, as a list of the store does.
func (fakeStore *fakeStore) list() []Record[int] {
	var records []Record[int]
	for name, revision := range fakeStore.entries {
		records = append(records, Record[int]{Name: name, Revision: revision, Entry: int(revision)})
	}
	return records
}

// watch returns the changes after a revision, as a watch of the store does: removals have
// the revision of the entry's last write.
func (fakeStore *fakeStore) watch(revision uint64) []Record[int] {
	records := fakeStore.since(revision)
	for index, record := range records {
		if !record.Removed {
			continue
		}
		for _, earlier := range fakeStore.changes {
			if earlier.Name == record.Name && earlier.Revision < record.Revision && !earlier.Removed {
				records[index].Revision = earlier.Revision
			}
		}
	}
	return records
}

// since returns the changes after a revision.
func (fakeStore *fakeStore) since(revision uint64) []Record[int] {
	var records []Record[int]
	for _, record := range fakeStore.changes {
		if record.Revision > revision {
			records = append(records, record)
		}
	}
	return records
}

// view holds the revisions of the entries that a user of a Chronicler has after applying
// each Reading.
type view map[string]uint64

func (view view) apply(reading Reading[int]) {
	if reading.Full {
		clear(view)
		for _, record := range reading.All {
			view[record.Name] = record.LastWrite()
		}
	}
	for _, record := range reading.Records {
		if record.Removed {
			delete(view, record.Name)
		} else {
			view[record.Name] = record.LastWrite()
		}
	}
}

// checkAgainst compares the view with the entries of the store at a revision, except for
// entries that changed since.
func (view view) checkAgainst(t *testing.T, truth map[string]uint64, since []Record[int]) {
	t.Helper()
	got, want := copyEntries(view), copyEntries(truth)
	for _, record := range since {
		delete(got, record.Name)
		delete(want, record.Name)
	}
	assert.DeepEqual(t, got, want)
}

// TestAnyTellerBringsAnyNodeUpToDate runs random changes, lists, watches and excerpts
// between nodes. Excerpts may be late, duplicated, in parts or from nodes that dropped
// removals. At each step, each view has to equal the store at the revision that its node
// reports as known, except for entries that changed since; a node that holds whatever one does that has just
// listed all entries has no other entries; no two nodes with the same position disagree; all nodes end up to date.
// Watches may lag: their answers then hold the first of the changes alone.
func TestAnyTellerBringsAnyNodeUpToDate(t *testing.T) {
	const nodes, seeds = 4, 60
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		fakeStore := newFakeStore()
		chroniclers := make([]*Chronicler[int], nodes)
		views := make([]view, nodes)
		truth := map[uint64]map[string]uint64{0: {}}
		for index := range chroniclers {
			chroniclers[index], views[index] = New[int](), view{}
		}
		var pending []func()
		for range 200 {
			switch random.IntN(6) {
			case 0, 1:
				fakeStore.change(fmt.Sprint(random.IntN(12)), random.IntN(3) == 0)
				truth[fakeStore.revision] = copyEntries(fakeStore.entries)
			case 2:
				node := random.IntN(nodes)
				views[node].apply(chroniclers[node].ApplyList(fakeStore.list(), fakeStore.revision, false))
				for other := range chroniclers {
					if chroniclers[other].Holding().Includes(chroniclers[node].Holding()) {
						assert.DeepEqual(t, map[string]uint64(views[other]), copyEntries(fakeStore.entries))
						chroniclers[other].ConfirmListed(chroniclers[node].Holding())
					}
				}
			case 3:
				node := random.IntN(nodes)
				holding := chroniclers[node].Holding()
				if revision := max(holding.Known, holding.Listed); revision > 0 {
					changes, complete := fakeStore.watch(revision), fakeStore.revision
					if random.IntN(2) == 0 { // The watch lags.
						changes, complete = changes[:random.IntN(len(changes)+1)], revision
					}
					views[node].apply(chroniclers[node].ApplyChanges(changes, Answer{After: revision, Complete: complete, Current: fakeStore.revision}))
				}
			case 4:
				sender, node := random.IntN(nodes), random.IntN(nodes)
				if random.IntN(4) == 0 {
					dropRemovals(chroniclers[sender].current)
				}
				if excerpt, ok := chroniclers[sender].ExcerptAfter(chroniclers[node].Position(), 1+random.IntN(5)); ok {
					pending = append(pending, func() { views[node].apply(chroniclers[node].ApplyExcerpt(excerpt)) })
				}
			case 5:
				if len(pending) > 0 {
					pending[random.IntN(len(pending))]()
				}
			}
			for node := range chroniclers {
				for other := range chroniclers {
					assert.Assert(t, !disagree(chroniclers[node].Position(), chroniclers[other].Position()), "seed %d: nodes %d and %d", seed, node, other)
				}
				if revision := chroniclers[node].Known(); revision > 0 {
					views[node].checkAgainst(t, truth[revision], fakeStore.since(revision))
				}
			}
		}
		if fakeStore.revision == 0 {
			continue
		}
		for node := 1; node < nodes; node++ {
			for range 100 {
				if excerpt, ok := chroniclers[node].ExcerptAfter(chroniclers[0].Position(), 3); ok {
					views[0].apply(chroniclers[0].ApplyExcerpt(excerpt))
				}
			}
		}
		views[0].apply(chroniclers[0].ApplyList(fakeStore.list(), fakeStore.revision, false))
		for node := 1; node < nodes; node++ {
			for range 100 {
				if excerpt, ok := chroniclers[0].ExcerptAfter(chroniclers[node].Position(), 3); ok {
					views[node].apply(chroniclers[node].ApplyExcerpt(excerpt))
				}
			}
			assert.Assert(t, chroniclers[node].Holding().Includes(chroniclers[0].Holding()), "seed %d", seed)
			assert.DeepEqual(t, map[string]uint64(views[node]), copyEntries(fakeStore.entries))
		}
	}
}

// disagree reports whether two nodes hold other entries although they have the same changes.
func disagree(left, right Position) bool {
	comparable := left.Live != 0 && right.Live != 0 && left.Review == 0 && right.Review == 0
	return comparable && left.UpTo == right.UpTo && left.Reached == right.Reached && left.Ahead == right.Ahead && left.Live != right.Live
}

func copyEntries(entries map[string]uint64) map[string]uint64 {
	copied := make(map[string]uint64, len(entries))
	for name, revision := range entries {
		copied[name] = revision
	}
	return copied
}

// dropRemovals drops all removals, as compaction drops the earliest.
func dropRemovals(changeLog *changeLog[int]) {
	for name, record := range changeLog.byName {
		if record.Removed {
			delete(changeLog.byName, name)
			changeLog.compactedTo = max(changeLog.compactedTo, record.Revision)
			changeLog.byRevision = nil
		}
	}
}

// TestRemovalsAreBounded checks that the memory stays bounded while entries are written and
// removed without end, and that a node that missed dropped removals gets all entries again.
func TestRemovalsAreBounded(t *testing.T) {
	chronicler := New[int]()
	chronicler.ApplyList(nil, 1, false)
	for revision := uint64(2); revision < 4*maxTombstones; revision += 2 {
		name := fmt.Sprint(revision)
		chronicler.ApplyChanges([]Record[int]{{Name: name, Revision: revision}, {Name: name, Revision: revision + 1, Removed: true}}, Answer{Complete: revision + 1})
	}
	assert.Assert(t, len(chronicler.current.byName) <= maxTombstones+1)
	excerpt, ok := chronicler.ExcerptAfter(Position{UpTo: 1}, 10)
	assert.Assert(t, ok)
	assert.Equal(t, excerpt.From, uint64(0))
	assert.Assert(t, excerpt.Forgotten > 1)
}

// TestRemovalsSeenByOneListStayTogether checks that an excerpt does not end between records
// of one revision, since the next excerpt would lack the others.
func TestRemovalsSeenByOneListStayTogether(t *testing.T) {
	chronicler := New[int]()
	chronicler.ApplyList([]Record[int]{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}, {Name: "c", Revision: 3}}, 3, false)
	reading := chronicler.ApplyList([]Record[int]{{Name: "a", Revision: 1}}, 9, true)
	assert.Equal(t, len(reading.Records), 2)
	assert.Assert(t, reading.Records[0].Doubted)
	excerpt, _ := chronicler.ExcerptAfter(Position{}, 2)
	assert.Equal(t, len(excerpt.Records), 3)
	assert.Equal(t, excerpt.To, uint64(9))
}

// tell sends excerpts until the receiver has what the teller has, and returns their number.
func tell(teller, receiver *Chronicler[int], view view) (excerpts int) {
	for ; excerpts < 100; excerpts++ {
		excerpt, ok := teller.ExcerptAfter(receiver.Position(), 9)
		if !ok {
			return excerpts
		}
		view.apply(receiver.ApplyExcerpt(excerpt))
	}
	return excerpts
}

// Guards against an entry that stays at a node forever: it was written and removed between two readings of the
// node that sends it later changes, and a list in between showed no change.
func TestEntryRemovedBeforeAListIsNotKept(t *testing.T) {
	fakeStore, reader, other := newFakeStore(), New[int](), New[int]()
	seen := view{}
	fakeStore.change("a", false)
	reader.ApplyList(fakeStore.list(), fakeStore.revision, false)
	fakeStore.change("b", false)
	seen.apply(other.ApplyList(fakeStore.list(), fakeStore.revision, false))
	fakeStore.change("b", true)
	reader.ApplyList(fakeStore.list(), fakeStore.revision, false)
	assert.Assert(t, !other.Holding().Includes(reader.Holding()), "the other node has the removed entry")
	listed := reader.Holding().Listed
	fakeStore.change("c", false)
	reader.ApplyChanges(fakeStore.watch(listed), Answer{After: listed, Complete: fakeStore.revision})
	assert.Assert(t, tell(reader, other, seen) > 0)
	assert.DeepEqual(t, map[string]uint64(seen), fakeStore.entries)
}

// TestListedEntriesFollowThoseOfPeers guards against a node that takes what a list of the store shows for all there is
// to know of its entries: peers tell it what was before, in as many excerpts as that takes.
func TestListedEntriesFollowThoseOfPeers(t *testing.T) {
	keepHighest := func(known, next Record[int]) Record[int] {
		next.Entry = max(known.Entry, next.Entry)
		return next
	}
	const entries, perExcerpt = 100, 10
	var told, listed []Record[int]
	for number := range entries {
		told = append(told, Record[int]{Name: fmt.Sprint(number), Revision: uint64(number + 1), Entry: 7})
		listed = append(listed, Record[int]{Name: fmt.Sprint(number), Revision: uint64(number + 1), Entry: 1})
	}
	peer, started := New(WithSuccession(keepHighest)), New(WithSuccession(keepHighest))
	peer.ApplyList(told, entries, false)
	started.ApplyList(listed, entries, false)
	joined, excerpts := make(map[string]int), 0
	for {
		excerpt, ok := peer.ExcerptAfter(started.Position(), perExcerpt)
		if !ok {
			break
		}
		excerpts++
		for _, record := range started.ApplyExcerpt(excerpt).Records {
			joined[record.Name] = record.Entry
		}
	}
	assert.Equal(t, excerpts, (recentRecords+perExcerpt-1)/perExcerpt)
	assert.Equal(t, len(joined), recentRecords)
	for number := entries - recentRecords; number < entries; number++ {
		assert.Equal(t, joined[fmt.Sprint(number)], 7)
	}
	position := started.Position()
	assert.Assert(t, position.UpTo == entries && position.Forgotten == 0, "%v", position)
}

// TestListsCorrectWhatWasSkipped guards against a write that stays unknown although a list shows it, because it is older
// than the revision up to which the log claims to have all changes, and against peers that do not get it either.
func TestListsCorrectWhatWasSkipped(t *testing.T) {
	for _, listedAt := range []uint64{9, 12} {
		t.Run(fmt.Sprintf("list at %d", listedAt), func(t *testing.T) {
			fakeStore, reader, peer := newFakeStore(), New[int](), New[int]()
			fakeStore.change("a", false)
			fakeStore.change("b", false)
			readers, peers := view{}, view{}
			readers.apply(reader.ApplyList(fakeStore.list(), 2, false))
			skipped := reader.ApplyChanges(nil, Answer{Complete: 9})
			assert.Equal(t, len(skipped.Records), 0)
			tell(reader, peer, peers)
			fakeStore.change("a", false)
			fakeStore.change("b", true)
			fakeStore.change("c", false)
			reading := reader.ApplyList(fakeStore.list(), listedAt, false)
			readers.apply(reading)
			assert.DeepEqual(t, map[string]uint64(readers), fakeStore.entries)
			slices.Sort(reading.Missed)
			assert.DeepEqual(t, reading.Missed, []string{"a", "c"})
			for range maxDisagreements {
				peer.Compare(reader.Position())
			}
			tell(reader, peer, peers)
			assert.DeepEqual(t, map[string]uint64(peers), fakeStore.entries)
		})
	}
}

// TestDisagreementsAreMended guards against a change that one of two nodes with the same position has missed for any
// reason: reports of the other show it, and the node gets what it lacks.
func TestDisagreementsAreMended(t *testing.T) {
	for _, change := range []string{"written", "added", "removed"} {
		t.Run(change, func(t *testing.T) {
			fakeStore, reader, other := newFakeStore(), New[int](), New[int]()
			seen := view{}
			for number := range 30 {
				fakeStore.change(fmt.Sprint(number), false)
			}
			reader.ApplyList(fakeStore.list(), fakeStore.revision, false)
			tell(reader, other, seen)
			names := map[string]string{"written": "3", "added": "new", "removed": "3"}
			fakeStore.change(names[change], change == "removed")
			reader.ApplyChanges(fakeStore.watch(30), Answer{After: 30, Complete: fakeStore.revision})
			other.ApplyChanges(nil, Answer{Complete: fakeStore.revision})
			assert.Equal(t, tell(reader, other, seen), 0)
			compared := 0
			for ; !other.Compare(reader.Position()); compared++ {
				assert.Assert(t, compared < maxDisagreements)
			}
			tell(reader, other, seen)
			assert.DeepEqual(t, map[string]uint64(seen), fakeStore.entries)
			assert.Assert(t, !disagree(reader.Position(), other.Position()))
			for range 2 * maxDisagreements {
				assert.Assert(t, !other.Compare(reader.Position()))
			}
		})
	}
}

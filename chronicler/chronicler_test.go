package chronicler

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// world is the truth of a store, and nodes that know parts of it.
type world struct {
	entries  map[string]uint64
	changes  []Record[int]
	revision uint64
}

func newWorld() *world { return &world{entries: make(map[string]uint64)} }

// change writes or removes an entry.
func (world *world) change(name string, removed bool) {
	world.revision++
	record := Record[int]{Name: name, Revision: world.revision, Removed: removed, Entry: int(world.revision)}
	if removed {
		record.Entry = 0
		delete(world.entries, name)
	} else {
		world.entries[name] = world.revision
	}
	world.changes = append(world.changes, record)
}

// list returns all entries, as the store's list has them.
func (world *world) list() []Record[int] {
	var records []Record[int]
	for name, revision := range world.entries {
		records = append(records, Record[int]{Name: name, Revision: revision, Entry: int(revision)})
	}
	return records
}

// watch returns the changes after a revision, as the store's watch has them: removals with
// the revision of the entry's last writing.
func (world *world) watch(revision uint64) []Record[int] {
	records := world.since(revision)
	for index, record := range records {
		if !record.Removed {
			continue
		}
		for _, earlier := range world.changes {
			if earlier.Name == record.Name && earlier.Revision < record.Revision && !earlier.Removed {
				records[index].Revision = earlier.Revision
			}
		}
	}
	return records
}

// since returns the changes after a revision.
func (world *world) since(revision uint64) []Record[int] {
	var records []Record[int]
	for _, record := range world.changes {
		if record.Revision > revision {
			records = append(records, record)
		}
	}
	return records
}

// view is what a user of a chronicle holds by what it is told to hold.
type view map[string]uint64

func (view view) take(reading Reading[int]) {
	if reading.Whole {
		clear(view)
		for _, record := range reading.All {
			view[record.Name] = record.Revision
		}
	}
	for _, record := range reading.Records {
		if record.Removed {
			delete(view, record.Name)
		} else {
			view[record.Name] = record.Revision
		}
	}
}

// check compares the view with the truth at a revision, but for entries changed since.
func (view view) check(t *testing.T, truth map[string]uint64, since []Record[int]) {
	t.Helper()
	held, had := clone(view), clone(truth)
	for _, record := range since {
		delete(held, record.Name)
		delete(had, record.Name)
	}
	assert.DeepEqual(t, held, had)
}

// TestAnyTellerBringsAnyNodeUpToDate plays random changes, lists, watches and excerpts
// between nodes, among them excerpts that are late, doubled, cut into parts or told by
// nodes that forgot removals: what a user holds is at each moment what the store had at
// the revision that the node says it knows, but for entries that have changed since, and
// every node ends with the truth.
func TestAnyTellerBringsAnyNodeUpToDate(t *testing.T) {
	const nodes, seeds = 4, 60
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		world := newWorld()
		known := make([]*Chronicler[int], nodes)
		views := make([]view, nodes)
		truth := map[uint64]map[string]uint64{0: {}}
		for index := range known {
			known[index], views[index] = New[int](), view{}
		}
		var late []func()
		for range 200 {
			switch random.IntN(6) {
			case 0, 1:
				world.change(fmt.Sprint(random.IntN(12)), random.IntN(3) == 0)
				truth[world.revision] = clone(world.entries)
			case 2:
				node := random.IntN(nodes)
				views[node].take(known[node].Listed(world.list(), world.revision, false))
			case 3:
				node := random.IntN(nodes)
				if revision := known[node].Known(); revision > 0 {
					views[node].take(known[node].Watched(world.watch(revision), world.revision))
				}
			case 4:
				teller, node := random.IntN(nodes), random.IntN(nodes)
				if random.IntN(4) == 0 {
					forgetAll(known[teller].known)
				}
				if excerpt, ok := known[teller].Since(known[node].Position(), 1+random.IntN(5)); ok {
					late = append(late, func() { views[node].take(known[node].Told(excerpt)) })
				}
			case 5:
				if len(late) > 0 {
					late[random.IntN(len(late))]()
				}
			}
			for node := range known {
				if revision := known[node].Known(); revision > 0 {
					views[node].check(t, truth[revision], world.since(revision))
				}
			}
		}
		if world.revision == 0 {
			continue
		}
		views[0].take(known[0].Listed(world.list(), world.revision, false))
		for node := 1; node < nodes; node++ {
			for range 100 {
				if excerpt, ok := known[0].Since(known[node].Position(), 3); ok {
					views[node].take(known[node].Told(excerpt))
				}
			}
			assert.Equal(t, known[node].Known(), world.revision, "seed %d", seed)
			assert.DeepEqual(t, map[string]uint64(views[node]), clone(world.entries))
		}
	}
}

func clone(entries map[string]uint64) map[string]uint64 {
	copied := make(map[string]uint64, len(entries))
	for name, revision := range entries {
		copied[name] = revision
	}
	return copied
}

// forgetAll drops every removal, as one that keeps few of them does.
func forgetAll(chronicle *chronicle[int]) {
	for name, record := range chronicle.byName {
		if record.Removed {
			delete(chronicle.byName, name)
			chronicle.forgotten = max(chronicle.forgotten, record.Revision)
			chronicle.inOrder = nil
		}
	}
}

// TestRemovalsAreBounded holds that a store whose entries come and go for ever fills no
// memory, and that who missed the removals is told anew.
func TestRemovalsAreBounded(t *testing.T) {
	chronicler := New[int]()
	chronicler.Listed(nil, 1, false)
	for revision := uint64(2); revision < 4*maxRemovals; revision += 2 {
		name := fmt.Sprint(revision)
		chronicler.Watched([]Record[int]{{Name: name, Revision: revision}, {Name: name, Revision: revision + 1, Removed: true}}, revision+1)
	}
	assert.Assert(t, len(chronicler.known.byName) <= maxRemovals+1)
	excerpt, ok := chronicler.Since(Position{UpTo: 1}, 10)
	assert.Assert(t, ok)
	assert.Equal(t, excerpt.From, uint64(0))
	assert.Assert(t, excerpt.Forgotten > 1)
}

// TestRemovalsSeenByOneListStayTogether holds that a part does not end between entries
// that share a revision: the next part would not hold the others.
func TestRemovalsSeenByOneListStayTogether(t *testing.T) {
	chronicler := New[int]()
	chronicler.Listed([]Record[int]{{Name: "a", Revision: 1}, {Name: "b", Revision: 2}, {Name: "c", Revision: 3}}, 3, false)
	reading := chronicler.Listed([]Record[int]{{Name: "a", Revision: 1}}, 9, true)
	assert.Equal(t, len(reading.Records), 2)
	assert.Assert(t, reading.Records[0].Doubted)
	excerpt, _ := chronicler.Since(Position{}, 2)
	assert.Equal(t, len(excerpt.Records), 3)
	assert.Equal(t, excerpt.To, uint64(9))
}

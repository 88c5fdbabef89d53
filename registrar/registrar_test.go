package registrar_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

func entry(id definer.UpstreamName, revision uint64, leaving bool) registrar.Upstream {
	return registrar.Upstream{ID: id, Service: "s", Address: "10.0.0.1:1", Leaving: leaving, Revision: revision}
}

func serviceIDs(list *registrar.Registrar) []definer.UpstreamName {
	var found []definer.UpstreamName
	for _, upstream := range list.Upstreams("s") {
		found = append(found, upstream.ID)
	}
	return found
}

func TestApplyFollowsTheList(t *testing.T) {
	list := registrar.New()
	assert.Assert(t, !list.Loaded())
	list.Replace(time.Time{}, []registrar.Upstream{entry("b", 1, false), entry("a", 2, false)}, time.Time{})
	assert.Assert(t, list.Loaded())
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})

	list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("a", 5, true)}}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	// An older entry does not undo Leaving.
	assert.Equal(t, len(list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("a", 2, false)}}, time.Time{})), 0)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})

	list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("b", 6, false), Removed: true}}, time.Time{})
	assert.Equal(t, len(serviceIDs(list)), 0)
}

// TestStartsUnderOneName checks which of two entries with one ID is kept: that of the
// later start and, for one start, the newer entry.
func TestStartsUnderOneName(t *testing.T) {
	at := func(incarnation definer.Incarnation, revision uint64) registrar.Upstream {
		upstream := entry("a", revision, false)
		upstream.Incarnation = incarnation
		return upstream
	}
	cases := []struct {
		name         string
		known, found registrar.Upstream
		stands       definer.Incarnation
		changed      bool
		restarted    bool
	}{
		{"a later start", at(5, 1), at(6, 2), 6, true, true},
		{"the same start, changed", at(5, 1), at(5, 2), 5, true, false},
		{"the same entry", at(5, 2), at(5, 2), 5, false, false},
		{"an earlier start, written late", at(5, 1), at(4, 2), 5, false, false},
		{"a start that is told now", at(0, 1), at(4, 2), 4, true, false},
		{"a start that is no longer told", at(5, 1), at(0, 2), 5, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			list := registrar.New()
			list.Apply(time.Time{}, []registrar.Change{{Upstream: test.known}}, time.Time{})
			changes := list.Apply(time.Time{}, []registrar.Change{{Upstream: test.found}}, time.Time{})
			assert.Equal(t, list.Upstreams("s")[0].Incarnation, test.stands)
			assert.Equal(t, len(changes) > 0, test.changed)
			assert.Equal(t, test.changed && changes[0].Replaced != nil, test.restarted)
		})
	}
}

// TestUnreadableEntryIsNotUsed checks that an upstream whose entry becomes unreadable
// gets no requests, also soon after an outage, until its entry can be read again.
func TestUnreadableEntryIsNotUsed(t *testing.T) {
	unreadable := registrar.Upstream{ID: "a", Leaving: true, Revision: 2}
	start := time.Unix(1000, 0)
	list := registrar.New()
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 1, false)}, time.Time{})
	list.Replace(start, []registrar.Upstream{unreadable, entry("b", 1, false)}, start.Add(registrar.LapseDelay))
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	list.Apply(start, []registrar.Change{{Upstream: entry("a", 3, false)}}, start.Add(registrar.LapseDelay))
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})
}

func TestMissingAfterAnOutage(t *testing.T) {
	start := time.Unix(1000, 0)
	list := registrar.New()
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 2, false), entry("c", 3, true)}, time.Time{})

	// Without an outage, a missing upstream is removed at once.
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 2, false)}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})

	until := start.Add(registrar.LapseDelay)
	list.Replace(start, nil, until)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})
	assert.Equal(t, list.CountMissing(), 2)
	list.Apply(start, []registrar.Change{{Upstream: entry("b", 9, false)}, {Upstream: entry("a", 1, false), Removed: true}}, until)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})
	assert.Equal(t, len(list.RemoveLapsed(until.Add(-1))), 0)
	assert.Equal(t, len(list.RemoveLapsed(until)), 1)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	assert.Equal(t, list.CountMissing(), 0)
}

// TestFewThatAreMissingRest guards against requests to upstreams that have left, which are doubted though most others of
// their service are listed: no outage takes the entries of so few.
func TestFewThatAreMissingRest(t *testing.T) {
	start := time.Unix(1000, 0)
	until := start.Add(registrar.LapseDelay)
	gone := func(id definer.UpstreamName) []registrar.Change {
		return []registrar.Change{{Upstream: entry(id, 1, false), Removed: true}}
	}
	list := registrar.New()
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 2, false), entry("c", 3, false)}, time.Time{})
	list.Apply(start, gone("a"), until)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b", "c"})
	list.Apply(start, gone("b"), until)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b", "c"})
	list.Apply(start, []registrar.Change{{Upstream: entry("a", 4, false)}}, until)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "c"})
	assert.Equal(t, list.Upstreams("s")[0].Listing(), registrar.Listed)
}

// TestMissingUpstreamsThatRefuseHaveEnded guards against requests to an upstream that is missing after an outage and has
// ended, as it refuses connections.
func TestMissingUpstreamsThatRefuseHaveEnded(t *testing.T) {
	start := time.Unix(1000, 0)
	list := registrar.New()
	list.Replace(start, []registrar.Upstream{entry("a", 1, false), entry("b", 2, false)}, time.Time{})
	list.RecordRefusal(definer.UpstreamStart{Upstream: "a"})
	assert.Equal(t, len(list.RemoveLapsed(start)), 0, "it is listed")
	list.Replace(start, nil, start.Add(registrar.LapseDelay))
	list.RecordRefusal(definer.UpstreamStart{Upstream: "a", Incarnation: 7})
	assert.Equal(t, len(list.RemoveLapsed(start)), 0, "another start refused")
	list.RecordRefusal(definer.UpstreamStart{Upstream: "a"})
	assert.Equal(t, len(list.RemoveLapsed(start)), 1)
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	list.LimitDoubt(start)
	assert.Equal(t, len(list.RemoveLapsed(start)), 1)
	assert.Equal(t, len(serviceIDs(list)), 0)
}

// TestAnUpstreamsOwnWordGoesBeforeItsEntry checks that an upstream that announced that
// it is leaving gets no requests until it has restarted, whatever its entry says. The
// announcement also counts if it arrives before the entry.
func TestAnUpstreamsOwnWordGoesBeforeItsEntry(t *testing.T) {
	list := registrar.New()
	startedAt := func(id definer.UpstreamName, revision uint64, incarnation definer.Incarnation) registrar.Upstream {
		upstream := entry(id, revision, false)
		upstream.Incarnation = incarnation
		return upstream
	}
	first := definer.UpstreamStart{Upstream: "a", Incarnation: 7}
	assert.Assert(t, list.MarkLeaving(time.Time{}, definer.UpstreamStart{Upstream: "late", Incarnation: 1}) == nil)
	list.Replace(time.Time{}, []registrar.Upstream{startedAt("a", 1, 7), startedAt("b", 2, 7), startedAt("late", 3, 1)}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})

	change := list.MarkLeaving(time.Time{}, first)
	assert.Assert(t, change != nil && change.Upstream.Leaving && !change.Removed)
	assert.Assert(t, list.MarkLeaving(time.Time{}, first) == nil, "it was known")
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	list.Apply(time.Time{}, []registrar.Change{{Upstream: startedAt("a", 5, 7)}}, time.Time{})
	list.Apply(time.Time{}, []registrar.Change{{Upstream: startedAt("a", 6, 0)}}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	list.Replace(time.Time{}, []registrar.Upstream{startedAt("a", 7, 7), startedAt("b", 2, 7)}, time.Unix(1, 0))
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})

	// The upstream has restarted.
	list.Apply(time.Time{}, []registrar.Change{{Upstream: startedAt("a", 8, 8)}}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a", "b"})
}

// TestAWordOutlivesAnUnknownStart checks that an upstream stays leaving when its entry
// had no incarnation at the announcement and gets one later: it is the same start.
func TestAWordOutlivesAnUnknownStart(t *testing.T) {
	list := registrar.New()
	list.Replace(time.Time{}, []registrar.Upstream{entry("a", 1, false)}, time.Time{})
	list.MarkLeaving(time.Time{}, definer.UpstreamStart{Upstream: "a"})
	withStart := entry("a", 2, false)
	withStart.Incarnation = 7
	list.Apply(time.Time{}, []registrar.Change{{Upstream: withStart}}, time.Time{})
	assert.Equal(t, len(serviceIDs(list)), 0)
}

// TestDepartingIsBounded checks that the bound on announcements that are kept does not drop that of an
// upstream that is registered, however many starts that are not registered announce
// that they are leaving.
func TestDepartingIsBounded(t *testing.T) {
	list := registrar.New()
	list.Replace(time.Time{}, []registrar.Upstream{entry("a", 1, false)}, time.Time{})
	list.MarkLeaving(time.Time{}, definer.UpstreamStart{Upstream: "a"})
	for number := range 10_000 {
		list.MarkLeaving(time.Time{}, definer.UpstreamStart{Upstream: "gone", Incarnation: definer.Incarnation(number + 1)})
	}
	list.Apply(time.Time{}, []registrar.Change{{Upstream: entry("a", 2, false)}}, time.Time{})
	assert.Equal(t, len(serviceIDs(list)), 0)
}

// TestColdUntilNeverMovesBack checks until when an upstream counts as cold: the latest time that
// any entry of the same start states.
func TestColdUntilNeverMovesBack(t *testing.T) {
	cold := func(incarnation definer.Incarnation, revision uint64, span time.Duration) registrar.Upstream {
		upstream := entry("a", revision, false)
		upstream.Incarnation, upstream.Cold = incarnation, span
		return upstream
	}
	at := func(second int64) time.Time { return time.Unix(second, 0) }
	list := registrar.New()
	steps := []struct {
		name  string
		now   time.Time
		entry registrar.Upstream
		until time.Time
	}{
		{"a warm start", at(0), cold(1, 1, 0), time.Time{}},
		{"cold again", at(10), cold(1, 2, 3*time.Second), at(13)},
		{"a late entry from before", at(11), cold(1, 3, 0), at(13)},
		{"less left, as expected", at(12), cold(1, 4, 500*time.Millisecond), at(13)},
		{"more left", at(12), cold(1, 5, 2*time.Second), at(14)},
		{"a warm later start", at(13), cold(2, 6, 0), time.Time{}},
		{"a value beyond all reason", at(20), cold(2, 7, 1000*time.Hour), at(80)},
	}
	for _, step := range steps {
		list.Apply(step.now, []registrar.Change{{Upstream: step.entry}}, time.Time{})
		assert.Assert(t, list.Upstreams("s")[0].ColdUntil.Equal(step.until), step.name)
	}
}

// TestMarkColdConcernsOneDataCentre checks that marking the upstreams of a data centre as cold
// leaves the others as they are, and never shortens a longer warm-up.
func TestMarkColdConcernsOneDataCentre(t *testing.T) {
	list, now := registrar.New(), time.Unix(100, 0)
	var entries []registrar.Upstream
	for index, dataCentre := range []definer.DataCentre{"west", "west", "east"} {
		upstream := entry(definer.UpstreamName('a'+rune(index)), uint64(index+1), false)
		upstream.DataCentre = dataCentre
		entries = append(entries, upstream)
	}
	entries[1].Cold = 10 * time.Second
	list.Replace(now, entries, time.Time{})
	list.MarkCold(now, "west", func(definer.PoolName) time.Duration { return 3 * time.Second })
	listed := list.Upstreams("s")
	assert.Assert(t, listed[0].ColdUntil.Equal(now.Add(3*time.Second)))
	assert.Assert(t, listed[1].ColdUntil.Equal(now.Add(10*time.Second)))
	assert.Assert(t, listed[2].ColdUntil.IsZero())
}

// TestRewrittenUpstreamsAreOnProbation guards against requests to an upstream whose entry was written again by a late
// write, and against a service without upstreams as all of its entries were.
func TestRewrittenUpstreamsAreOnProbation(t *testing.T) {
	const probation = 5 * time.Second
	list := registrar.New(registrar.WithProbation(probation))
	now := time.Unix(1000, 0)
	rewritten := entry("b", 3, false)
	rewritten.Rewritten = true
	list.Replace(now, []registrar.Upstream{entry("a", 1, false), rewritten}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"a"})
	assert.Equal(t, list.CountOnProbation(), 1)
	assert.Equal(t, list.OnProbation("s")[0].ID, definer.UpstreamName("b"))

	list.Apply(now, []registrar.Change{{Upstream: entry("a", 4, true)}}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b"})
	list.Apply(now, []registrar.Change{{Upstream: entry("c", 5, false)}}, time.Time{})
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"c"})

	list.RemoveLapsed(now.Add(probation - time.Millisecond))
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"c"})
	list.RemoveLapsed(now.Add(probation))
	assert.DeepEqual(t, serviceIDs(list), []definer.UpstreamName{"b", "c"})
	assert.Equal(t, list.CountOnProbation(), 0)
}

// TestListingTellsHowAnEntryStands guards against a log in which an upstream whose entry is missing, was written again or
// is leaving looks like one that is listed.
func TestListingTellsHowAnEntryStands(t *testing.T) {
	now := time.Unix(1000, 0)
	list := registrar.New(registrar.WithProbation(time.Second))
	gone := []registrar.Change{{Upstream: entry("a", 1, false), Removed: true}}
	for _, test := range []struct {
		change func(upstream *registrar.Upstream)
		want   registrar.Listing
	}{
		{func(*registrar.Upstream) {}, registrar.Listed},
		{func(upstream *registrar.Upstream) { upstream.Rewritten = true }, registrar.Rewritten},
		{func(upstream *registrar.Upstream) { upstream.Rewritten, upstream.Lapsed = true, true }, registrar.Returned},
		{func(upstream *registrar.Upstream) { upstream.Leaving, upstream.Rewritten = true, true }, registrar.Leaving},
	} {
		upstream := entry("a", 1, false)
		test.change(&upstream)
		list.Replace(now, []registrar.Upstream{upstream}, time.Time{})
		assert.Equal(t, list.Listing(upstream.Start()), test.want)
		list.Apply(now, gone, time.Time{})
		assert.Equal(t, list.Listing(upstream.Start()), registrar.Unlisted)
	}
	upstream := entry("a", 2, false)
	list.Replace(now, []registrar.Upstream{upstream}, time.Time{})
	list.Apply(now, gone, now.Add(time.Second))
	assert.Equal(t, list.Listing(upstream.Start()), registrar.Missing)
	upstream.Incarnation = 7
	assert.Equal(t, list.Listing(upstream.Start()), registrar.Unlisted)
}

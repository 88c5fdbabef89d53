package announcer_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

func start() time.Time { return time.Unix(1000, 0) }

func at(seconds float64) time.Time {
	return start().Add(time.Duration(seconds * float64(time.Second)))
}

func limit(perSecond float64) announcer.Announcement {
	return announcer.Announcement{Limit: definer.LimitTo(perSecond)}
}

// answer is an upstream's answer with an announcement, with the seconds at which its request was
// sent and at which it arrived.
type answer struct {
	sent, came   float64
	announcement announcer.Announcement
}

// TestAnswersCross checks which of several answers prevails when they may have overtaken each
// other.
func TestAnswersCross(t *testing.T) {
	none := announcer.Announcement{}
	cases := []struct {
		name string
		// said are the answers in order of arrival.
		said []answer
		want string
	}{
		{"first announcement", []answer{{1, 2, limit(3)}}, "3"},
		{"lower limit", []answer{{1, 2, limit(3)}, {1, 3, limit(2)}}, "2"},
		{"higher limit in an answer that may be older", []answer{{1, 2, limit(3)}, {1.5, 3, limit(4)}}, "3"},
		{"higher limit", []answer{{1, 2, limit(3)}, {2.5, 3, limit(4)}}, "4"},
		{"no limit in an answer that may be older", []answer{{1, 2, limit(3)}, {1.5, 3, none}}, "3"},
		{"no limit any more", []answer{{1, 2, limit(3)}, {2.5, 3, none}}, "none"},
		{"limit after no limit", []answer{{1, 2, limit(3)}, {2.5, 3, none}, {2.6, 4, limit(5)}}, "5"},
		{"no limit from the start", []answer{{1, 2, none}}, "none"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			known, u := announcer.New(), definer.UpstreamStart{Upstream: "u"}
			for _, said := range test.said {
				known.Record(at(said.came), u, at(said.sent), said.announcement)
			}
			announcement, _ := known.Latest(at(10), u)
			assert.Equal(t, announcement.Limit.String(), test.want)
		})
	}
}

// TestALimitHoldsThroughSilence checks that a limit does not expire while no answers arrive, and
// that it ends with the start of the upstream that announced it.
func TestALimitHoldsThroughSilence(t *testing.T) {
	var counts []announcer.Counts
	known := announcer.New(announcer.WithCounts(func(count announcer.Counts) { counts = append(counts, count) }))
	first, second := definer.UpstreamStart{Upstream: "u", Incarnation: 1}, definer.UpstreamStart{Upstream: "u", Incarnation: 2}
	known.Record(at(1), first, at(0), limit(3))
	announcement, age := known.Latest(at(7200), first)
	assert.Equal(t, announcement.Limit.String(), "3")
	assert.Equal(t, age, 7199*time.Second)
	announcement, _ = known.Latest(at(7200), second)
	assert.Equal(t, announcement.Limit.String(), "none")
	known.Forget(first)
	announcement, _ = known.Latest(at(7200), first)
	assert.Equal(t, announcement.Limit.String(), "none")
	assert.DeepEqual(t, counts, []announcer.Counts{{Limited: 1}, {}})
}

// tell merges one node's report of the scope into another node and returns the number of
// announcements in it.
func tell(now time.Time, from, to *announcer.Announcer, scope messenger.LoadScope) int {
	told := from.NextReport(now, scope)
	to.Learn(now, "peer", told)
	return len(told)
}

// TestPeersAreToldAndTellOn checks that a limit and its end reach a third node, and that the
// number of reports is bounded.
func TestPeersAreToldAndTellOn(t *testing.T) {
	var sources []announcer.Source
	u := definer.UpstreamStart{Upstream: "u"}
	member, aggregator := announcer.New(), announcer.New()
	other := announcer.New(announcer.WithChanges(func(_ definer.UpstreamStart, _ announcer.Announcement, source announcer.Source) {
		sources = append(sources, source)
	}))
	member.Record(at(1), u, at(0), limit(3))
	assert.Equal(t, tell(at(1.1), member, aggregator, messenger.MemberLoad), 1)
	assert.Equal(t, tell(at(1.2), aggregator, other, messenger.FleetLoad), 1)
	announcement, age := other.Latest(at(1.3), u)
	assert.Equal(t, announcement.Limit.String(), "3")
	assert.Equal(t, age, 300*time.Millisecond)

	member.Record(at(3), u, at(2), announcer.Announcement{})
	tell(at(3.1), member, aggregator, messenger.MemberLoad)
	tell(at(3.2), aggregator, other, messenger.FleetLoad)
	announcement, _ = other.Latest(at(3.3), u)
	assert.Equal(t, announcement.Limit.String(), "none")
	assert.DeepEqual(t, sources, []announcer.Source{"peer", "peer"})

	told := 0
	for second := range 20 {
		for _, scope := range []messenger.LoadScope{messenger.MemberLoad, messenger.GroupLoad, messenger.FleetLoad} {
			told += len(member.NextReport(at(float64(4+second)), scope))
		}
	}
	assert.Assert(t, told <= 6, "%d times", told)
}

// TestAnOlderWordOfAPeerDoesNotBringALimitBack checks that an older announcement in a peer's
// report does not replace a newer one.
func TestAnOlderWordOfAPeerDoesNotBringALimitBack(t *testing.T) {
	u := definer.UpstreamStart{Upstream: "u"}
	known := announcer.New()
	known.Record(at(1), u, at(0), limit(3))
	known.Record(at(5), u, at(4), announcer.Announcement{})
	known.Learn(at(6), "peer", []messenger.UpstreamAnnouncement{{Upstream: "u", PerSecond: 3, Limited: true, Age: 3 * time.Second}})
	announcement, _ := known.Latest(at(6), u)
	assert.Equal(t, announcement.Limit.String(), "none")
	known.Learn(at(7), "peer", []messenger.UpstreamAnnouncement{{Upstream: "u", PerSecond: 4, Limited: true, Age: time.Second}})
	announcement, _ = known.Latest(at(7), u)
	assert.Equal(t, announcement.Limit.String(), "4")
}

// TestLeavingIsNeverTakenBack checks that no later answer or report resets Leaving, and that the
// limit of the same upstream is updated independently.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	u := definer.UpstreamStart{Upstream: "u"}
	var latest announcer.Counts
	known := announcer.New(announcer.WithCounts(func(counts announcer.Counts) { latest = counts }))
	known.Record(at(1), u, at(0), limit(3))
	known.Record(at(3), u, at(0.5), announcer.Announcement{Leaving: true})
	assert.Equal(t, latest, announcer.Counts{Limited: 1, Leaving: 1})
	announcement, _ := known.Latest(at(3), u)
	assert.Assert(t, announcement.Leaving)
	assert.Equal(t, announcement.Limit.String(), "3", "the answer without a limit may be older than the limit")
	known.Record(at(5), u, at(4), announcer.Announcement{})
	known.Learn(at(6), "peer", []messenger.UpstreamAnnouncement{{Upstream: "u"}})
	announcement, _ = known.Latest(at(6), u)
	assert.Assert(t, announcement.Leaving)
	assert.Equal(t, announcement.Limit.String(), "none")

	other := announcer.New()
	tell(at(6), known, other, messenger.MemberLoad)
	announcement, _ = other.Latest(at(6), u)
	assert.Assert(t, announcement.Leaving, "the report to a peer includes Leaving")
}

// TestAPeerThatKnowsNothingLiftsNoLimit checks that a peer's message about an upstream without a
// known announcement is not read as the absence of a limit.
func TestAPeerThatKnowsNothingLiftsNoLimit(t *testing.T) {
	u := definer.UpstreamStart{Upstream: "u"}
	known := announcer.New()
	known.Record(at(1), u, at(0), limit(3))
	known.Learn(at(2), "peer", []messenger.UpstreamAnnouncement{announcer.New().LatestEncoded(at(2), u)})
	announcement, _ := known.Latest(at(2), u)
	assert.Equal(t, announcement.Limit.String(), "3")
}

// TestWrongWordsOfPeersAreIgnored checks that announcements that no upstream can have made change
// nothing.
func TestWrongWordsOfPeersAreIgnored(t *testing.T) {
	known := announcer.New()
	known.Learn(at(1), "peer", []messenger.UpstreamAnnouncement{
		{Upstream: "", PerSecond: 1, Limited: true},
		{Upstream: "u", PerSecond: -1, Limited: true},
		{Upstream: "u", PerSecond: math.NaN(), Limited: true},
		{Upstream: "u", PerSecond: math.Inf(1), Limited: true},
		{Upstream: "u", PerSecond: 1, Limited: true, Age: -time.Second},
		{Upstream: definer.UpstreamName(make([]byte, 1000)), PerSecond: 1, Limited: true},
	})
	assert.Equal(t, len(known.NextReport(at(1), messenger.MemberLoad)), 0)
}

// TestManyAnnouncementsAreBounded checks that reports stay small, and that all of many
// announcements reach a peer in time.
func TestManyAnnouncementsAreBounded(t *testing.T) {
	const upstreams = 2800
	from, to := announcer.New(), announcer.New()
	for number := range upstreams {
		from.Record(at(1), definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprint("u", number))}, at(0), limit(2))
	}
	for step := range 100 {
		assert.Assert(t, tell(at(1+float64(step)/10), from, to, messenger.MemberLoad) <= 64)
	}
	for number := range upstreams {
		announcement, _ := to.Latest(at(20), definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprint("u", number))})
		assert.Equal(t, announcement.Limit.String(), "2", "%d", number)
	}
}

// BenchmarkTell measures the cost of reports while all upstreams of the target size have limits.
func BenchmarkTell(bench *testing.B) {
	known := announcer.New()
	for number := range 2800 {
		known.Record(at(1), definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprint("u", number))}, at(0), limit(2))
	}
	step := 0
	for bench.Loop() {
		step++
		for _, scope := range []messenger.LoadScope{messenger.MemberLoad, messenger.GroupLoad, messenger.FleetLoad} {
			known.NextReport(at(1+float64(step)/10), scope)
		}
	}
}

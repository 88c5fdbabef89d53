package quarantiner_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

// TestFactsAreToldTwiceAndThenAgain checks how often a fact is reported: in two reports of each
// scope, and, from the second crash under a request on, again once a second.
func TestFactsAreToldTwiceAndThenAgain(t *testing.T) {
	node := quarantiner.New()
	now := startTime()
	node.NextReport(now, messenger.MemberLoad)
	node.RecordCrash(now, start(1), identity("g"))
	tells := func(scope messenger.LoadScope) int { return len(node.NextReport(now, scope)) }
	for _, scope := range []messenger.LoadScope{messenger.MemberLoad, messenger.GroupLoad, messenger.FleetLoad} {
		assert.Equal(t, tells(scope), 1)
		assert.Equal(t, tells(scope), 1)
		assert.Equal(t, tells(scope), 0)
	}
	now = now.Add(time.Second)
	assert.Equal(t, tells(messenger.MemberLoad), 0, "a single crash is not refreshed")
	node.RecordCrash(now, start(2), identity("g"))
	assert.Equal(t, tells(messenger.MemberLoad), 1)
	assert.Equal(t, tells(messenger.MemberLoad), 1)
	for range 3 {
		now = now.Add(time.Second)
		assert.Equal(t, tells(messenger.MemberLoad), 2)
		assert.Equal(t, tells(messenger.MemberLoad), 0)
	}
	now = now.Add(2 * time.Minute)
	assert.Equal(t, tells(messenger.MemberLoad), 0, "refreshes end some time after the last change")
}

// TestWhatOthersToldGoesDown checks that facts from other groups are reported to members alone,
// so that they are not sent back up.
func TestWhatOthersToldGoesDown(t *testing.T) {
	fall := []messenger.UpstreamFall{{Upstream: "u1", Incarnation: 1, Suspects: []definer.RequestIdentity{identity("g")}}}
	cases := []struct {
		from           messenger.LoadScope
		up, over, down int
	}{
		{messenger.MemberLoad, 1, 1, 1},
		{messenger.GroupLoad, 0, 0, 1},
		{messenger.GroupAnswer, 0, 0, 1},
		{messenger.FleetLoad, 0, 0, 1},
	}
	for _, test := range cases {
		node := quarantiner.New()
		node.Learn(startTime(), "peer", test.from, fall)
		assert.Equal(t, len(node.NextReport(startTime(), messenger.MemberLoad)), test.up, "%v", test.from)
		assert.Equal(t, len(node.NextReport(startTime(), messenger.GroupLoad)), test.over, "%v", test.from)
		assert.Equal(t, len(node.NextReport(startTime(), messenger.FleetLoad)), test.down, "%v", test.from)
	}
}

// TestClearingIsTold has one node hold off a request that another node has served: the report of
// the other node releases it, although that node learns of the crashes only after it served the
// request.
func TestClearingIsTold(t *testing.T) {
	serving, holding := quarantiner.New(), quarantiner.New()
	now := startTime()
	serving.RecordServed(now, identity("i"))
	for number := range 3 {
		holding.RecordCrash(now, start(number), identity("i"))
	}
	assert.Assert(t, holding.Check(now, identity("i")).HeldFor > 0)
	serving.Learn(now, "holding", messenger.MemberLoad, holding.NextReport(now, messenger.MemberLoad))
	assert.Equal(t, serving.Check(now, identity("i")).HeldFor, time.Duration(0))
	holding.Learn(now, "serving", messenger.FleetLoad, serving.NextReport(now, messenger.FleetLoad))
	assert.Equal(t, holding.Check(now, identity("i")).HeldFor, time.Duration(0))
	assert.Equal(t, holding.UnclearedCrashes(identity("i")), 0)
}

// TestWrongReportsAreIgnored checks that invalid reports of a peer change nothing.
func TestWrongReportsAreIgnored(t *testing.T) {
	good := identity("g")
	cases := []struct {
		name string
		fall messenger.UpstreamFall
	}{
		{"no upstream", messenger.UpstreamFall{Suspects: []definer.RequestIdentity{good}}},
		{"a crash in the future", messenger.UpstreamFall{Upstream: "u", Age: -time.Second, Suspects: []definer.RequestIdentity{good}}},
		{"a crash too long ago", messenger.UpstreamFall{Upstream: "u", Age: 2 * time.Hour, Suspects: []definer.RequestIdentity{good}}},
		{"identities of a wrong length", messenger.UpstreamFall{Upstream: "u", Suspects: []definer.RequestIdentity{"short", good + good}}},
		{"a name that is too long", messenger.UpstreamFall{Upstream: definer.UpstreamName(make([]byte, 1<<20)), Suspects: []definer.RequestIdentity{good}}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			node := quarantiner.New()
			node.Learn(startTime(), "peer", messenger.MemberLoad, []messenger.UpstreamFall{test.fall})
			assert.Equal(t, len(node.List(startTime())), 0)
			assert.Equal(t, len(node.NextReport(startTime(), messenger.MemberLoad)), 0)
		})
	}
}

// exchangeFacts has each node report its facts to all others.
func exchangeFacts(now time.Time, nodes []*quarantiner.Quarantiner) {
	for from := range nodes {
		told := nodes[from].NextReport(now, messenger.MemberLoad)
		for to := range nodes {
			if to != from {
				nodes[to].Learn(now, definer.VM(rune('0'+from)), messenger.MemberLoad, told)
			}
		}
	}
}

// TestNodesAgree has events happen at three nodes in random order, and all nodes exchange their
// facts: they must hold off the same requests, in whatever order the facts arrived.
func TestNodesAgree(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*quarantiner.Quarantiner{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		now := startTime()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pauseMs")) * time.Millisecond)
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			name := rapid.SampledFrom(names).Draw(t, "request")
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				node.RecordServed(now, identity(name))
				continue
			}
			node.RecordCrash(now, start(rapid.IntRange(1, 12).Draw(t, "upstream")), identity(name))
		}
		for range 8 {
			exchangeFacts(now, nodes)
		}
		for _, name := range names {
			held := nodes[0].Check(now, identity(name)).HeldFor > 0
			for _, node := range nodes[1:] {
				assert.Equal(t, node.Check(now, identity(name)).HeldFor > 0, held, name)
				assert.Equal(t, node.UnclearedCrashes(identity(name)), nodes[0].UnclearedCrashes(identity(name)), name)
			}
		}
	})
}

// FuzzLearn merges reports of arbitrary content: no bound may be exceeded, and no node may report
// what another would reject.
func FuzzLearn(f *testing.F) {
	f.Add("u1", uint64(1), int64(0), []byte("0123456789abcdef0123456789abcdef"), true)
	f.Add("", uint64(0), int64(-1), []byte("x"), false)
	f.Fuzz(func(t *testing.T, upstream string, incarnation uint64, age int64, identities []byte, cleared bool) {
		fall := messenger.UpstreamFall{Upstream: definer.UpstreamName(upstream), Incarnation: definer.Incarnation(incarnation), Age: time.Duration(age)}
		for len(identities) > 0 {
			length := min(len(identities), definer.RequestIdentityBytes)
			fall.Suspects = append(fall.Suspects, definer.RequestIdentity(identities[:length]))
			identities = identities[length:]
		}
		if cleared {
			fall.Cleared, fall.Suspects = fall.Suspects, nil
		}
		first, second := quarantiner.New(), quarantiner.New()
		for range 3 {
			first.Learn(startTime(), "peer", messenger.MemberLoad, []messenger.UpstreamFall{fall})
		}
		told := first.NextReport(startTime(), messenger.MemberLoad)
		second.Learn(startTime(), "peer", messenger.MemberLoad, told)
		assert.Equal(t, len(second.List(startTime())) <= len(first.List(startTime())), true)
		for _, suspicion := range first.List(startTime()) {
			assert.Equal(t, len(suspicion.Upstreams), 1)
			assert.Assert(t, !suspicion.Held)
		}
	})
}

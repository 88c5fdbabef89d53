package quarantiner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

// parts returns the identities of the parts with the names, which are separated by spaces.
func parts(names string) []definer.RequestIdentity {
	var identities []definer.RequestIdentity
	for _, name := range strings.Fields(names) {
		identities = append(identities, quarantiner.IdentifyPart("pool", name))
	}
	return identities
}

// promptStep is an event at a time after the start of the test, for a request with the parts in its prompt.
type promptStep struct {
	at time.Duration
	// ended is the upstream that crashes; with 0 an upstream answers the prompt.
	ended   int
	request string
	parts   string
}

// TestPartsOfCrashingPrompts checks which parts and requests are held off.
//
// It guards against upstreams that crash one after the other under requests that have a part in common,
// and against refusals of sound requests that share other parts with these.
func TestPartsOfCrashingPrompts(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name  string
		steps []promptStep
		// held is the part that is held off, heldRequest the request; each may be empty.
		held, heldRequest string
	}{
		{"no two requests alike", []promptStep{{0, 1, "a", "first bad"}, {600 * ms, 2, "b", "first bad"}, {1200 * ms, 3, "c", "first bad"}}, "bad", ""},
		{"with other parts before it", []promptStep{{0, 1, "a", "one bad"}, {600 * ms, 2, "b", "two more bad"}, {1200 * ms, 3, "c", "bad"}}, "bad", ""},
		{"the first part", []promptStep{{0, 1, "a", "bad x"}, {600 * ms, 2, "b", "bad y"}, {1200 * ms, 3, "c", "bad z"}, {1800 * ms, 4, "d", "bad x"}}, "bad", ""},
		{"two crashes", []promptStep{{0, 1, "a", "first bad"}, {600 * ms, 2, "b", "first bad"}}, "", ""},
		{"an answer between the crashes", []promptStep{{0, 1, "a", "first"}, {600 * ms, 2, "b", "first"}, {700 * ms, 0, "s", "first"}, {1200 * ms, 3, "c", "first"}}, "", ""},
		{"an answer shortly before them", []promptStep{{0, 0, "s", "first"}, {100 * ms, 1, "a", "first"}, {700 * ms, 2, "b", "first"}, {1300 * ms, 3, "c", "first"}}, "", ""},
		{"many upstreams lost at once", []promptStep{{0, 1, "a", "first"}, {50 * ms, 2, "b", "first"}, {100 * ms, 3, "c", "first"}, {150 * ms, 4, "d", "first"}, {200 * ms, 5, "e", "first"}}, "", ""},
		{"the same request", []promptStep{{0, 1, "a", "first rare"}, {600 * ms, 2, "a", "first rare"}, {1200 * ms, 3, "a", "first rare"}}, "", "a"},
		{"an unrelated crash under a part that is answered", []promptStep{
			{0, 9, "o", "first"}, {100 * ms, 1, "a", "first bad"}, {700 * ms, 2, "b", "first bad"}, {800 * ms, 0, "s", "first"}, {1300 * ms, 3, "c", "first bad"},
		}, "bad", ""},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			node, peer := quarantiner.New(), quarantiner.New()
			now := startTime()
			for _, step := range test.steps {
				now = startTime().Add(step.at)
				if step.ended == 0 {
					node.RecordAnswering(now, parts(step.parts)...)
				} else {
					node.RecordCrash(now, start(step.ended), identity(step.request), parts(step.parts)...)
				}
				peer.Learn(now, "node", messenger.MemberLoad, node.NextReport(now, messenger.MemberLoad))
			}
			now = now.Add(time.Second)
			for name, judge := range map[string]*quarantiner.Quarantiner{"here": node, "at a peer": peer} {
				for _, step := range test.steps {
					for _, part := range strings.Fields(step.parts) {
						verdict := judge.Check(now, identity("another"), parts(part)...)
						assert.Equal(t, verdict.HeldFor > 0, part == test.held, "%s, part %s", name, part)
						assert.Assert(t, verdict.HeldFor == 0 || verdict.RecheckAfter == 0 && verdict.Culprit == parts(part)[0])
					}
					assert.Equal(t, judge.Check(now, identity(step.request)).HeldFor > 0, step.request == test.heldRequest, "%s, request %s", name, step.request)
				}
			}
		})
	}
}

// Guards against a part that stays held off after it was answered, or after an operator has lifted it.
func TestHeldPartIsReleased(t *testing.T) {
	for name, release := range map[string]func(node *quarantiner.Quarantiner, now time.Time){
		"answered": func(node *quarantiner.Quarantiner, now time.Time) { node.RecordAnswering(now, parts("bad")...) },
		"served": func(node *quarantiner.Quarantiner, now time.Time) {
			node.RecordServed(now, identity("s"), parts("bad")...)
		},
		"lifted": func(node *quarantiner.Quarantiner, now time.Time) { node.Lift(now, parts("bad")[0]) },
	} {
		t.Run(name, func(t *testing.T) {
			node, peer := quarantiner.New(), quarantiner.New()
			for number := range 4 {
				node.RecordCrash(startTime().Add(time.Duration(number)*time.Second), start(number), identity(fmt.Sprint(number)), parts("bad")...)
			}
			now := startTime().Add(5 * time.Second)
			peer.Learn(now, "node", messenger.MemberLoad, node.NextReport(now, messenger.MemberLoad))
			assert.Assert(t, peer.Check(now, identity("n"), parts("bad")...).HeldFor > 0)
			release(node, now)
			peer.Learn(now, "node", messenger.MemberLoad, node.NextReport(now, messenger.MemberLoad))
			assert.Equal(t, node.Check(now, identity("n"), parts("bad")...).HeldFor, time.Duration(0))
			assert.Equal(t, peer.Check(now, identity("n"), parts("bad")...).HeldFor, time.Duration(0))
		})
	}
}

// TestPartIdentity compares the identity of a part with a fixed value, as nodes of two versions must compute
// the same, and checks that it differs between services.
func TestPartIdentity(t *testing.T) {
	assert.Equal(t, quarantiner.IdentifyPart("pool", "5c1e07a2").String(), "c87fa0b08d8aa6745965038aa22d196f")
	assert.Assert(t, quarantiner.IdentifyPart("other", "5c1e07a2") != quarantiner.IdentifyPart("pool", "5c1e07a2"))
}

// BenchmarkPrompt measures what a request costs whose prompt has four shared parts, while the table of suspects
// is full.
func BenchmarkPrompt(bench *testing.B) {
	node := quarantiner.New()
	for number := range 4096 {
		node.RecordCrash(startTime(), start(number), identity(fmt.Sprint(number)))
	}
	asked := identity("other")
	bench.ReportAllocs()
	for count := 0; bench.Loop(); count++ {
		now := startTime().Add(time.Duration(count) * time.Second / 2100)
		shared := parts("first second third fourth")
		node.Check(now, asked, shared...)
		node.RecordServed(now, asked, shared...)
	}
}

// Guards against nodes that hold off different parts for the same crashes, in whatever order they learn of
// them.
func TestNodesAgreeOnParts(t *testing.T) {
	names := []string{"", "first", "first second", "first second third", "second"}
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*quarantiner.Quarantiner{quarantiner.New(), quarantiner.New(), quarantiner.New()}
		now := startTime()
		crashedAt := make(map[int]time.Time)
		for count := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pauseMs")) * time.Millisecond)
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			shared := parts(rapid.SampledFrom(names).Draw(t, "parts"))
			if rapid.IntRange(0, 5).Draw(t, "what") == 0 {
				node.RecordServed(now, identity(fmt.Sprint(count)), shared...)
				continue
			}
			upstream := rapid.IntRange(1, 12).Draw(t, "upstream")
			if _, crashed := crashedAt[upstream]; !crashed {
				crashedAt[upstream] = now
			}
			node.RecordCrash(crashedAt[upstream], start(upstream), identity(fmt.Sprint(count)), shared...)
		}
		for range 8 {
			exchangeFacts(now, nodes)
		}
		for _, part := range parts("first second third") {
			for _, node := range nodes[1:] {
				assert.Equal(t, node.Check(now, part).HeldFor > 0, nodes[0].Check(now, part).HeldFor > 0, part)
				assert.Equal(t, node.UnclearedCrashes(part), nodes[0].UnclearedCrashes(part), part)
			}
		}
	})
}

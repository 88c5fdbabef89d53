package selector_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

func start() time.Time { return time.Unix(1000, 0) }

func pool(count int) []*registrar.Upstream {
	var list []*registrar.Upstream
	for index := range count {
		list = append(list, &registrar.Upstream{ID: definer.UpstreamName(fmt.Sprintf("u%d", index)), Service: "pool", DataCentre: "west", Slots: 8})
	}
	return list
}

// prompt is a demand of a kind for a subject, with a prompt of so many tokens of
// its own.
func prompt(list []*registrar.Upstream, kind, subject string, own int) *selector.Demand {
	return &selector.Demand{
		Service: "pool", Kind: kind, Candidates: list, Engine: true, Idempotent: true,
		Parts:        []selector.Part{{ID: "all", Tokens: 100}, {ID: subject, Tokens: 2000}},
		PromptTokens: 2100 + own,
	}
}

func plain(list []*registrar.Upstream) *selector.Demand {
	return &selector.Demand{Service: "pool", Candidates: list}
}

func choose(t *testing.T, choice *selector.Selector, now time.Time, demand *selector.Demand) *selector.Assignment {
	t.Helper()
	assignment, err := choice.Choose(now, demand)
	assert.NilError(t, err)
	return assignment
}

func TestChooseSpreadsPlainCalls(t *testing.T) {
	choice, list := selector.New("west"), pool(4)
	seen := make(map[definer.UpstreamName]int)
	for range 8 {
		seen[choose(t, choice, start(), plain(list)).Upstream().ID]++
	}
	for id, count := range seen {
		assert.Equal(t, count, 2, id)
	}
}

func TestChoosePrefersItsDataCentre(t *testing.T) {
	choice, list := selector.New("west"), pool(2)
	list[0].DataCentre = "east"
	assert.Equal(t, choose(t, choice, start(), plain(list)).Upstream().ID, definer.UpstreamName("u1"))
	// Nearness is worth less than a free slot.
	assert.Equal(t, choose(t, choice, start(), plain(list)).Upstream().ID, definer.UpstreamName("u0"))
}

func TestChooseKeepsSubjectsTogether(t *testing.T) {
	list := pool(6)
	for subject := range 20 {
		name := fmt.Sprintf("s%d", subject)
		// Two nodes that have not spoken choose alike.
		first := choose(t, selector.New("west"), start(), prompt(list, "k", name, 50))
		second := choose(t, selector.New("west"), start(), prompt(list, "k", name, 50))
		assert.Equal(t, first.Upstream().ID, second.Upstream().ID)
	}
}

func TestChooseGoesWherePeersHaveRead(t *testing.T) {
	list := pool(6)
	elsewhere := selector.New("west")
	home := choose(t, elsewhere, start(), prompt(list, "k", "s", 50)).Upstream()
	rest := make([]*registrar.Upstream, 0, len(list))
	for _, upstream := range list {
		if upstream != home {
			rest = append(rest, upstream)
		}
	}
	// The preferred upstream was away when a peer read the subject elsewhere.
	assignment := choose(t, elsewhere, start(), prompt(rest, "k", "s", 50))
	assignment.Begun(start())
	choice := selector.New("west")
	choice.Learn(start(), "peer", elsewhere.Report(start()), 1)
	assert.Equal(t, choose(t, choice, start(), prompt(list, "k", "s", 50)).Upstream().ID, assignment.Upstream().ID)
	// A report holds each reading once, and readings are forgotten.
	assert.Equal(t, len(elsewhere.Report(start()).Reads), 0)
	later := start().Add(time.Minute)
	assert.Equal(t, choose(t, choice, later, prompt(list, "k", "s", 50)).Upstream().ID, home.ID)
}

func TestChooseKeepsLongPromptsApart(t *testing.T) {
	choice, list, now := selector.New("west"), pool(8), start()
	sides := map[string]map[definer.UpstreamName]int{"long": {}, "short": {}}
	for step := range 400 {
		now = now.Add(50 * time.Millisecond)
		kind, own := "short", 100
		if step%4 == 0 {
			kind, own = "long", 8000
		}
		demand := prompt(list, kind, fmt.Sprintf("%s%d", kind, step%8), own)
		assignment := choose(t, choice, now, demand)
		assignment.Begun(now)
		assignment.End(now.Add(40*time.Millisecond), selector.Answered)
		if step > 40 {
			sides[kind][assignment.Upstream().ID]++
		}
	}
	for id := range sides["long"] {
		assert.Equal(t, sides["short"][id], 0, id)
	}
	assert.Assert(t, len(sides["short"]) > 0)
}

func TestReportsForgetRulesNotAskedFor(t *testing.T) {
	choice, list := selector.New("west"), pool(2)
	for index := range 50 {
		assignment := choose(t, choice, start(), prompt(list, fmt.Sprintf("rule%d", index), "s", 50))
		if index > 0 {
			assignment.End(start(), selector.Answered)
		}
	}
	assert.Equal(t, len(choice.Report(start()).Kinds), 50)
	// The rule with a request under way stays.
	later := choice.Report(start().Add(2 * time.Minute))
	assert.Equal(t, len(later.Kinds), 1)
	assert.Equal(t, later.Kinds[0].Rule, "rule0")
}

func TestUnreachableUpstreamsAreLeftAlone(t *testing.T) {
	choice, list, now := selector.New("west"), pool(2), start()
	failing := choose(t, choice, now, plain(list))
	failing.End(now, selector.Unreachable)
	gone := failing.Upstream().ID
	for range 4 {
		assert.Assert(t, choose(t, choice, now, plain(list)).Upstream().ID != gone)
	}
	// After the pause one request tries it, and no more until that has ended.
	now = now.Add(5 * time.Second)
	risky := plain(list)
	risky.Idempotent = true
	trial := choose(t, choice, now, risky)
	assert.Equal(t, trial.Upstream().ID, gone)
	assert.Assert(t, choose(t, choice, now, risky).Upstream().ID != gone)
	trial.Begun(now)
	trial.End(now, selector.Answered)
	assert.Equal(t, choose(t, choice, now.Add(10*time.Second), risky).Upstream().ID, gone)
}

// TestGoneUpstreamsAreLeftAlone holds that one request is enough to find that
// another upstream has an address.
func TestGoneUpstreamsAreLeftAlone(t *testing.T) {
	choice, list, now := selector.New("west"), pool(3), start()
	gone := choose(t, choice, now, plain(list))
	gone.Begun(now)
	gone.End(now, selector.Gone)
	for range 10 {
		now = now.Add(time.Second)
		next := choose(t, choice, now, plain(list))
		assert.Assert(t, next.Upstream().ID != gone.Upstream().ID)
	}
}

func TestFailingUpstreamsAreAvoided(t *testing.T) {
	choice, list, now := selector.New("west"), pool(3), start()
	counts := make(map[definer.UpstreamName]int)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		assignment := choose(t, choice, now, plain(list))
		counts[assignment.Upstream().ID]++
		outcome := selector.Answered
		if assignment.Upstream().ID == "u0" {
			outcome = selector.Failed
		}
		assignment.End(now, outcome)
	}
	assert.Assert(t, counts["u0"] < 10, "%v", counts)
}

func TestChooseWithoutCandidates(t *testing.T) {
	choice, list := selector.New("west"), pool(1)
	var failure *selector.Error
	_, err := choice.Choose(start(), plain(nil))
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.NoUpstream)
	tried := plain(list)
	tried.Tried = map[definer.UpstreamName]bool{"u0": true}
	_, err = choice.Choose(start(), tried)
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.NoUpstream)
	// One that is left alone is better than none.
	choose(t, choice, start(), plain(list)).End(start(), selector.Unreachable)
	choose(t, choice, start(), plain(list))
}

// TestReadingsAreToldWhenTheyAreSent holds that peers learn where a subject will be
// read before the answer begins, that they are not told again for a while, and that
// a request of which nothing came leaves nothing behind at its node.
func TestReadingsAreToldWhenTheyAreSent(t *testing.T) {
	list := pool(6)
	node, peer := selector.New("west"), selector.New("west")
	sent := choose(t, node, start(), prompt(list[1:], "k", "s", 50))
	report := node.Report(start())
	assert.Equal(t, len(report.Reads), 1)
	assert.DeepEqual(t, report.Reads[0].Parts, []string{"all", "s"})
	peer.Learn(start(), "node", report, 1)
	assert.Equal(t, choose(t, peer, start(), prompt(list, "k", "s", 50)).Upstream().ID, sent.Upstream().ID)
	assert.Equal(t, len(peer.Report(start()).Reads), 0, "all know")
	again := choose(t, node, start().Add(time.Second), prompt(list, "k", "s", 50))
	assert.Equal(t, again.Upstream().ID, sent.Upstream().ID)
	assert.Equal(t, len(node.Report(start().Add(time.Second)).Reads), 0)
	later := start().Add(11 * time.Second)
	choose(t, node, later, prompt(list, "k", "s", 50))
	assert.Equal(t, len(node.Report(later).Reads), 1, "peers forget, so they are told again")

	alone := selector.New("west")
	failed := choose(t, alone, start(), prompt(list[:1], "k", "s", 50))
	failed.End(start(), selector.Unreachable)
	elsewhere := choose(t, alone, start(), prompt(list, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(elsewhere.Basis(), "known=false"), elsewhere.Basis())
}

// TestADeepPartStandsForThoseBefore holds that a part known to be cached tells that
// those before it are.
func TestADeepPartStandsForThoseBefore(t *testing.T) {
	list := pool(6)
	node := selector.New("west")
	report := &messenger.LoadReport{Nodes: 1, Reads: []messenger.PartsRead{{Upstream: "u3", Parts: []string{"s"}}}}
	node.Learn(start(), "peer", report, 1)
	assert.Equal(t, choose(t, node, start(), prompt(list, "k", "s", 50)).Upstream().ID, definer.UpstreamName("u3"))
}

// TestReportsStandForPeersNotHeardFrom holds that a report counts for as many
// peers as there are for each that reported, and only while it is fresh.
func TestReportsStandForPeersNotHeardFrom(t *testing.T) {
	list := pool(2)
	list[1].DataCentre = "east"
	demand := func(list []*registrar.Upstream) *selector.Demand {
		return &selector.Demand{Service: "pool", Kind: "k", Candidates: list, Engine: true}
	}
	busy := selector.New("west")
	for range 2 {
		choose(t, busy, start(), demand(list[:1]))
	}
	cases := []struct {
		name   string
		peers  int
		age    time.Duration
		chosen definer.UpstreamName
	}{
		{"two requests cost less than the way to another data centre", 1, 0, "u0"},
		{"twenty of ten peers cost more", 10, 0, "u1"},
		{"a report that was not renewed does not count", 10, 10 * time.Second, "u0"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			choice := selector.New("west")
			choice.Learn(start(), "peer", busy.Report(start()), test.peers)
			assert.Equal(t, choose(t, choice, start().Add(test.age), demand(list)).Upstream().ID, test.chosen)
		})
	}
}

func TestSilent(t *testing.T) {
	choice, list := selector.New("west"), pool(1)
	first := choose(t, choice, start(), plain(list))
	second := choose(t, choice, start().Add(time.Second), plain(list))
	assert.Assert(t, first.Silent() && second.Silent())
	first.Begun(start().Add(500 * time.Millisecond))
	assert.Assert(t, !first.Silent() && second.Silent())
	second.Begun(start().Add(2 * time.Second))
	assert.Assert(t, !second.Silent())
}

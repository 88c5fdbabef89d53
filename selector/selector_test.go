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

// engineDemand returns a demand for a rule and a subject, with a prompt that has own tokens
// beyond the shared parts.
func engineDemand(list []*registrar.Upstream, kind, subject string, own int) *selector.Demand {
	return &selector.Demand{
		Service: "pool", Rule: kind, Candidates: list, Engine: true, Idempotent: true,
		Parts:        []selector.Part{{ID: "all", Tokens: 100}, {ID: subject, Tokens: 2000}},
		PromptTokens: 2100 + own,
	}
}

func serviceDemand(list []*registrar.Upstream) *selector.Demand {
	return &selector.Demand{Service: "pool", Candidates: list}
}

func choose(t *testing.T, chooser *selector.Selector, now time.Time, demand *selector.Demand) *selector.Assignment {
	t.Helper()
	assignment, err := chooser.Choose(now, demand)
	assert.NilError(t, err)
	return assignment
}

func TestChooseSpreadsPlainCalls(t *testing.T) {
	chooser, list := selector.New("west"), pool(4)
	seen := make(map[definer.UpstreamName]int)
	for range 8 {
		seen[choose(t, chooser, start(), serviceDemand(list)).Upstream().ID]++
	}
	for id, count := range seen {
		assert.Equal(t, count, 2, id)
	}
}

func TestChoosePrefersItsDataCentre(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	list[0].DataCentre = "east"
	assert.Equal(t, choose(t, chooser, start(), serviceDemand(list)).Upstream().ID, definer.UpstreamName("u1"))
	// A free slot outweighs the data centre.
	assert.Equal(t, choose(t, chooser, start(), serviceDemand(list)).Upstream().ID, definer.UpstreamName("u0"))
}

func TestChooseKeepsSubjectsTogether(t *testing.T) {
	list := pool(6)
	for subject := range 20 {
		name := fmt.Sprintf("s%d", subject)
		// Two nodes that have exchanged no reports make the same choice.
		first := choose(t, selector.New("west"), start(), engineDemand(list, "k", name, 50))
		second := choose(t, selector.New("west"), start(), engineDemand(list, "k", name, 50))
		assert.Equal(t, first.Upstream().ID, second.Upstream().ID)
	}
}

func TestChooseGoesWherePeersHaveRead(t *testing.T) {
	list := pool(6)
	elsewhere := selector.New("west")
	home := choose(t, elsewhere, start(), engineDemand(list, "k", "s", 50)).Upstream()
	rest := make([]*registrar.Upstream, 0, len(list))
	for _, upstream := range list {
		if upstream != home {
			rest = append(rest, upstream)
		}
	}
	// The preferred upstream was not listed when a peer had the subject prefilled elsewhere.
	assignment := choose(t, elsewhere, start(), engineDemand(rest, "k", "s", 50))
	assignment.RecordFirstEvent(start())
	chooser := selector.New("west")
	chooser.ApplyReport(start(), "peer", elsewhere.Report(start()), 1)
	assert.Equal(t, choose(t, chooser, start(), engineDemand(list, "k", "s", 50)).Upstream().ID, assignment.Upstream().ID)
	// A read is reported once, and cached parts expire.
	assert.Equal(t, len(elsewhere.Report(start()).Reads), 0)
	later := start().Add(time.Minute)
	assert.Equal(t, choose(t, chooser, later, engineDemand(list, "k", "s", 50)).Upstream().ID, home.ID)
}

func TestChooseKeepsLongPromptsApart(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(8), start()
	sides := map[string]map[definer.UpstreamName]int{"long": {}, "short": {}}
	for step := range 400 {
		now = now.Add(50 * time.Millisecond)
		kind, own := "short", 100
		if step%4 == 0 {
			kind, own = "long", 8000
		}
		demand := engineDemand(list, kind, fmt.Sprintf("%s%d", kind, step%8), own)
		assignment := choose(t, chooser, now, demand)
		assignment.RecordFirstEvent(now)
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
	chooser, list := selector.New("west"), pool(2)
	for index := range 50 {
		assignment := choose(t, chooser, start(), engineDemand(list, fmt.Sprintf("rule%d", index), "s", 50))
		if index > 0 {
			assignment.End(start(), selector.Answered)
		}
	}
	assert.Equal(t, len(chooser.Report(start()).Kinds), 50)
	// The rule with a request in flight stays.
	later := chooser.Report(start().Add(2 * time.Minute))
	assert.Equal(t, len(later.Kinds), 1)
	assert.Equal(t, later.Kinds[0].Rule, "rule0")
}

func TestUnreachableUpstreamsAreLeftAlone(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(2), start()
	failing := choose(t, chooser, now, serviceDemand(list))
	failing.End(now, selector.Unreachable)
	gone := failing.Upstream().ID
	for range 4 {
		assert.Assert(t, choose(t, chooser, now, serviceDemand(list)).Upstream().ID != gone)
	}
	// After the pause one request probes the upstream; no other is sent there until it has
	// ended.
	now = now.Add(5 * time.Second)
	risky := serviceDemand(list)
	risky.Idempotent = true
	probe := choose(t, chooser, now, risky)
	assert.Equal(t, probe.Upstream().ID, gone)
	assert.Assert(t, choose(t, chooser, now, risky).Upstream().ID != gone)
	probe.RecordFirstEvent(now)
	probe.End(now, selector.Answered)
	assert.Equal(t, choose(t, chooser, now.Add(10*time.Second), risky).Upstream().ID, gone)
}

// TestGoneUpstreamsAreLeftAlone checks that after one request found that an address belongs to
// another upstream, no others are sent there.
func TestGoneUpstreamsAreLeftAlone(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(3), start()
	gone := choose(t, chooser, now, serviceDemand(list))
	gone.RecordFirstEvent(now)
	gone.End(now, selector.Gone)
	for range 10 {
		now = now.Add(time.Second)
		next := choose(t, chooser, now, serviceDemand(list))
		assert.Assert(t, next.Upstream().ID != gone.Upstream().ID)
	}
}

func TestFailingUpstreamsAreAvoided(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(3), start()
	counts := make(map[definer.UpstreamName]int)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		assignment := choose(t, chooser, now, serviceDemand(list))
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
	chooser, list := selector.New("west"), pool(1)
	var failure *selector.Error
	_, err := chooser.Choose(start(), serviceDemand(nil))
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.NoUpstream)
	tried := serviceDemand(list)
	tried.Tried = map[definer.UpstreamName]bool{"u0": true}
	_, err = chooser.Choose(start(), tried)
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.NoUpstream)
	// A paused upstream is chosen if there is no other.
	choose(t, chooser, start(), serviceDemand(list)).End(start(), selector.Unreachable)
	choose(t, chooser, start(), serviceDemand(list))
}

// TestReadingsAreToldWhenTheyAreSent checks that peers learn where a subject is prefilled
// before the answer begins, that the read is not reported again for a while, and that a request
// without any response leaves no cached parts at its own node.
func TestReadingsAreToldWhenTheyAreSent(t *testing.T) {
	list := pool(6)
	node, peer := selector.New("west"), selector.New("west")
	sent := choose(t, node, start(), engineDemand(list[1:], "k", "s", 50))
	report := node.Report(start())
	assert.Equal(t, len(report.Reads), 1)
	assert.DeepEqual(t, report.Reads[0].Parts, []string{"all", "s"})
	peer.ApplyReport(start(), "node", report, 1)
	assert.Equal(t, choose(t, peer, start(), engineDemand(list, "k", "s", 50)).Upstream().ID, sent.Upstream().ID)
	assert.Equal(t, len(peer.Report(start()).Reads), 0, "all peers know of the reads")
	again := choose(t, node, start().Add(time.Second), engineDemand(list, "k", "s", 50))
	assert.Equal(t, again.Upstream().ID, sent.Upstream().ID)
	assert.Equal(t, len(node.Report(start().Add(time.Second)).Reads), 0)
	later := start().Add(11 * time.Second)
	choose(t, node, later, engineDemand(list, "k", "s", 50))
	assert.Equal(t, len(node.Report(later).Reads), 1, "the parts expire at peers, so the read is reported again")

	alone := selector.New("west")
	failed := choose(t, alone, start(), engineDemand(list[:1], "k", "s", 50))
	failed.End(start(), selector.Unreachable)
	elsewhere := choose(t, alone, start(), engineDemand(list, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(elsewhere.Basis(), "known=false"), elsewhere.Basis())
}

// TestADeepPartStandsForThoseBefore checks that a cached part implies that the parts before it
// are cached.
func TestADeepPartStandsForThoseBefore(t *testing.T) {
	list := pool(6)
	node := selector.New("west")
	report := &messenger.LoadReport{Nodes: 1, Reads: []messenger.PartsRead{{Upstream: "u3", Parts: []string{"s"}}}}
	node.ApplyReport(start(), "peer", report, 1)
	assert.Equal(t, choose(t, node, start(), engineDemand(list, "k", "s", 50)).Upstream().ID, definer.UpstreamName("u3"))
}

// TestReportsStandForPeersNotHeardFrom checks that reported loads are extrapolated to all
// peers, and that reports expire.
func TestReportsStandForPeersNotHeardFrom(t *testing.T) {
	list := pool(2)
	list[1].DataCentre = "east"
	demand := func(list []*registrar.Upstream) *selector.Demand {
		return &selector.Demand{Service: "pool", Rule: "k", Candidates: list, Engine: true}
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
			chooser := selector.New("west")
			chooser.ApplyReport(start(), "peer", busy.Report(start()), test.peers)
			assert.Equal(t, choose(t, chooser, start().Add(test.age), demand(list)).Upstream().ID, test.chosen)
		})
	}
}

func TestSilent(t *testing.T) {
	chooser, list := selector.New("west"), pool(1)
	first := choose(t, chooser, start(), serviceDemand(list))
	second := choose(t, chooser, start().Add(time.Second), serviceDemand(list))
	assert.Assert(t, first.UpstreamSilent() && second.UpstreamSilent())
	first.RecordFirstEvent(start().Add(500 * time.Millisecond))
	assert.Assert(t, !first.UpstreamSilent() && second.UpstreamSilent())
	second.RecordFirstEvent(start().Add(2 * time.Second))
	assert.Assert(t, !second.UpstreamSilent())
}

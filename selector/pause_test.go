package selector_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// streamDemand returns a demand for a short prompt of the highest tier, whose stream has an
// objective for pauses.
func streamDemand(list []*registrar.Upstream) *selector.Demand {
	return &selector.Demand{
		Service: "pool", Rule: "chat", Candidates: list, Engine: true, PromptTokens: 400,
		Objective: 400 * time.Millisecond, GapObjective: 250 * time.Millisecond, TimeLeft: 10 * time.Second,
	}
}

// longDemand returns a demand for a long prompt of a lower tier.
func longDemand(list []*registrar.Upstream, tokens int) *selector.Demand {
	return &selector.Demand{
		Service: "pool", Rule: "digest", Tier: 1, Candidates: list, Engine: true, PromptTokens: tokens,
		Objective: time.Second, GapObjective: 400 * time.Millisecond, TimeLeft: 5 * time.Second,
	}
}

// TestLongPromptsLeaveStreamsAlone guards against long prompts that interrupt the streams of a
// higher tier although another engine could read them. At the assumed speed of 40 tokens a
// millisecond, 12,000 tokens take 300 ms, above the objective of 250 ms, and 4,000 take 100 ms.
func TestLongPromptsLeaveStreamsAlone(t *testing.T) {
	cases := []struct {
		name    string
		tokens  int
		streams int
		peers   bool
		quiet   bool
	}{
		{"streams of this node", 12_000, 3, false, true},
		{"streams of peers", 12_000, 3, true, true},
		{"no streams", 12_000, 0, false, false},
		{"a prompt that causes no pause", 4_000, 3, false, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			chooser, list := selector.New("west"), pool(2)
			// u1 is in another data centre, so that u0 is preferred unless something speaks against it.
			list[1].DataCentre = "east"
			report := &messenger.LoadReport{Nodes: 1, Kinds: []messenger.KindWork{{Service: "pool", Rule: "chat", GapObjective: 250 * time.Millisecond, Requests: 1, PromptTokens: 12_000}}}
			for range test.streams {
				if !test.peers {
					choose(t, chooser, start(), streamDemand(list[:1])).RecordFirstEvent(start())
				}
			}
			if test.peers {
				report.Loads = []messenger.UpstreamLoad{{Upstream: "u0", InFlight: test.streams, Streams: test.streams}}
			}
			chooser.ApplyReport(start(), "peer", report, 1)
			expected := definer.UpstreamName("u0")
			if test.quiet {
				expected = "u1"
			}
			assert.Equal(t, choose(t, chooser, start(), longDemand(list, test.tokens)).Upstream().ID, expected)
		})
	}
}

// TestLongPromptsAreServedAmongStreams guards against starvation of long prompts where every engine
// has streams that they interrupt.
func TestLongPromptsAreServedAmongStreams(t *testing.T) {
	chooser, list := selector.New("west"), pool(3)
	for _, upstream := range list {
		choose(t, chooser, start(), streamDemand([]*registrar.Upstream{upstream})).RecordFirstEvent(start())
	}
	choose(t, chooser, start(), longDemand(list, 20_000))
}

// TestStreamsAvoidEnginesThatRead guards against streams that are sent to engines which will pause
// them: u0 has 10,000 tokens to prefill, which take 250 ms.
func TestStreamsAvoidEnginesThatRead(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	list[1].DataCentre = "east"
	choose(t, chooser, start(), longDemand(list[:1], 10_000))
	assert.Equal(t, choose(t, chooser, start(), streamDemand(list)).Upstream().ID, definer.UpstreamName("u1"))
}

// TestChangesOfPaceAreLogged guards against slow engines that are not logged, and against a line for
// each choice: an engine is slow twice, the second time within a second of the line before.
func TestChangesOfPaceAreLogged(t *testing.T) {
	var lines []string
	chooser := selector.New("west", selector.WithLog(func(number int, pairs ...any) {
		assert.Equal(t, number, logger.EventEnginePaceChanged)
		lines = append(lines, fmt.Sprintln(pairs...))
	}))
	list := pool(4)
	for _, step := range []struct {
		after  time.Duration
		actual int
		lines  int
	}{{0, 2000, 0}, {0, 20_000, 1}, {time.Second, 6000, 1}, {time.Second, 2000, 2}, {1500 * time.Millisecond, 20_000, 2}, {2200 * time.Millisecond, 20_000, 3}} {
		now := start().Add(step.after)
		report := &messenger.LoadReport{Nodes: 1}
		for index, upstream := range list {
			load := messenger.UpstreamLoad{Upstream: upstream.ID, InFlight: 1, ExpectedMs: 2000, ActualMs: 2000}
			if index == 0 {
				load.ActualMs = step.actual
			}
			report.Loads = append(report.Loads, load)
		}
		chooser.ApplyReport(now, "peer", report, 1)
		for range 3 {
			choose(t, chooser, now, longDemand(list, 800)).End(now, selector.Abandoned)
		}
		assert.Equal(t, len(lines), step.lines, "%v", lines)
	}
	assert.Assert(t, strings.Contains(lines[0], "expectedMs 2000 actualMs 20000"), lines[0])
}

// TestSlowEnginesAreKnownToAll guards against one prefill speed for all engines: peers report that
// an engine takes five times as long as expected, and this node, which never used it, leaves it out
// at once and uses it again when the reports say that it has recovered.
func TestSlowEnginesAreKnownToAll(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	list[1].DataCentre = "east"
	report := func(actual int) *messenger.LoadReport {
		return &messenger.LoadReport{Nodes: 1, Loads: []messenger.UpstreamLoad{
			{Upstream: "u0", InFlight: 1, ExpectedMs: 2000, ActualMs: actual},
			{Upstream: "u1", InFlight: 1, ExpectedMs: 2000, ActualMs: 2000},
		}}
	}
	for _, test := range []struct {
		actual int
		chosen definer.UpstreamName
	}{{2000, "u0"}, {10_000, "u1"}, {2000, "u0"}} {
		chooser.ApplyReport(start(), "peer", report(test.actual), 1)
		assignment := choose(t, chooser, start(), longDemand(list, 8000))
		assert.Equal(t, assignment.Upstream().ID, test.chosen, fmt.Sprint(test.actual))
		assignment.End(start(), selector.Abandoned)
	}
}

package selector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// BenchmarkChoose measures one choice with the reports of 60 nodes, each of which has requests at a
// third of the engines, as an aggregator without groups has them.
func BenchmarkChoose(b *testing.B) {
	benchmarkChoose(b, 90, 60)
}

// BenchmarkChooseAsMember measures one choice at a member of a group, which receives one report on
// all other nodes.
func BenchmarkChooseAsMember(b *testing.B) {
	for _, engines := range []int{60, 600, 10_000} {
		b.Run(fmt.Sprintf("%d", engines), func(b *testing.B) { benchmarkChoose(b, engines, 1) })
	}
}

// benchmarkChoose measures one choice among the engines. Each of the peers reports its load at a third
// of the engines, or at all if it is the only one, and the reads of one subject.
func benchmarkChoose(b *testing.B, engines, peers int) {
	now := start()
	chooser := selector.New("west")
	var list []*registrar.Upstream
	for index := range engines {
		list = append(list, &registrar.Upstream{ID: definer.UpstreamName(fmt.Sprintf("i-%010x", index)), Service: "pool", DataCentre: "west", Slots: 64})
	}
	step := min(peers, 3)
	for peer := range peers {
		report := &messenger.LoadReport{Nodes: 1, Kinds: []messenger.KindWork{
			{Service: "pool", Rule: "short", Work: time.Second, PromptTokens: 20_000, Requests: 20},
			{Service: "pool", Rule: "long", Work: time.Second, PromptTokens: 340_000, Requests: 20},
		}}
		for index := peer % step; index < engines; index += step {
			report.Loads = append(report.Loads, messenger.UpstreamLoad{Upstream: list[index].ID, InFlight: 1, Tokens: 4000, Unread: 900, ExpectedMs: 900, ActualMs: 1000})
		}
		report.Reads = []messenger.PartsRead{{Upstream: list[peer].ID, Parts: []string{fmt.Sprintf("s%d", peer)}}}
		chooser.ApplyReport(now, definer.VM(fmt.Sprintf("node%d", peer)), report, peers)
	}
	b.ReportAllocs()
	for index := 0; b.Loop(); index++ {
		demand := engineDemand(list, "long", fmt.Sprintf("s%d", index%120), 3700)
		demand.CacheTokens, demand.Objective, demand.Deferrable = 650_000, 1500*time.Millisecond, true
		assignment, err := chooser.Choose(now, demand)
		assert.NilError(b, err)
		assignment.End(now, selector.Answered)
	}
}

// BenchmarkPredictWork measures what judging the share of a request adds to a choice among 90
// engines.
func BenchmarkPredictWork(b *testing.B) {
	now, chooser, list := start(), selector.New("west"), pool(90)
	_, err := chooser.Choose(now, engineDemand(list, "long", "s", 3700))
	assert.NilError(b, err)
	for b.Loop() {
		chooser.PredictWork(now, engineDemand(list, "long", "s", 3700))
	}
}

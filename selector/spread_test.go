package selector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// TestNodesDoNotHerdOnOldReports guards against all nodes taking the same engine until the next
// report: 88 nodes with the same reports, in which one of 60 engines has the least load, choose
// within one report interval. Before, all of them took that engine.
func TestNodesDoNotHerdOnOldReports(t *testing.T) {
	const nodes, engines = 88, 60
	list := pool(engines)
	draws := rand.New(rand.NewPCG(1, 2))
	chosen := make(map[definer.UpstreamName]int)
	for range nodes {
		chooser, now := selector.New("west"), start()
		report := &messenger.LoadReport{Nodes: nodes - 1}
		for _, upstream := range list[1:] {
			report.Loads = append(report.Loads, messenger.UpstreamLoad{Upstream: upstream.ID, InFlight: 3, Unread: 1000})
		}
		demand := func() *selector.Demand {
			return &selector.Demand{Service: "pool", Rule: "k", Candidates: list, Engine: true, PromptTokens: 800, Draw: draws.Float64()}
		}
		for range 7 {
			now = now.Add(140 * time.Millisecond)
			chooser.ApplyReport(now, "peer", report, nodes-1)
			answer(choose(t, chooser, now, demand()), now)
		}
		chosen[choose(t, chooser, now, demand()).Upstream().ID]++
	}
	assert.Assert(t, len(chosen) > engines/2, "%d engines used", len(chosen))
	for id, count := range chosen {
		assert.Assert(t, count <= 8, "%s got %d of %d requests", id, count, nodes)
	}
}

// TestAloneTheLeastLoadedIsChosen guards against choices that are random without need: a node whose
// peers send nothing takes the least loaded engine whatever the draw is.
func TestAloneTheLeastLoadedIsChosen(t *testing.T) {
	list := pool(6)
	for _, draw := range []float64{0, 0.5, 0.999} {
		chooser := selector.New("west")
		for _, upstream := range list[1:] {
			choose(t, chooser, start(), engineDemand([]*registrar.Upstream{upstream}, "k", "s", 5000))
		}
		demand := &selector.Demand{Service: "pool", Rule: "k", Candidates: list, Engine: true, PromptTokens: 800, Draw: draw}
		assert.Equal(t, choose(t, chooser, start(), demand).Upstream().ID, list[0].ID, fmt.Sprint(draw))
	}
}

// TestRecoveredUpstreamsAreUsedAgain guards against upstreams that get nothing after failures that
// have nearly been forgotten, because the expected sends of peers make all others equal.
func TestRecoveredUpstreamsAreUsedAgain(t *testing.T) {
	list, draws := pool(4), rand.New(rand.NewPCG(1, 2))
	chooser, now := selector.New("west"), start()
	for range 5 {
		choose(t, chooser, now, serviceDemand(list[:1])).End(now, selector.Full)
	}
	now = now.Add(6 * time.Second)
	used := false
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		chooser.ApplyReport(now, "peer", &messenger.LoadReport{Nodes: 20}, 20)
		demand := serviceDemand(list)
		demand.Draw = draws.Float64()
		assignment := choose(t, chooser, now, demand)
		used = used || assignment.Upstream().ID == list[0].ID
		assignment.End(now, selector.Answered)
	}
	assert.Assert(t, used)
}

// TestAskingAgainIsNoDemand guards against requests that count as new ones each time that another upstream is
// looked for, so that nodes expect their peers to send far more than they do.
func TestAskingAgainIsNoDemand(t *testing.T) {
	list, chooser, now := pool(6), selector.New("west"), start()
	choose(t, chooser, now, serviceDemand(list)).End(now, selector.Answered)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		demand := serviceDemand(list)
		demand.Asked = true
		choose(t, chooser, now, demand).End(now, selector.Abandoned)
	}
	for _, upstream := range list[1:] {
		for range 8 {
			demand := serviceDemand([]*registrar.Upstream{upstream})
			demand.Rule = "other"
			choose(t, chooser, now, demand)
		}
	}
	chooser.ApplyReport(now, "peer", &messenger.LoadReport{Nodes: 20}, 20)
	demand := serviceDemand(list)
	demand.Draw = 0.999
	assert.Equal(t, choose(t, chooser, now, demand).Upstream().ID, list[0].ID)
}

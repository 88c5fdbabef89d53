package selector_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/selector"
)

// TestLostUpstreamsAreUsedLast guards against requests to upstreams that are presumed lost while
// another may serve them, and against refusals while only those are left.
func TestLostUpstreamsAreUsedLast(t *testing.T) {
	chooser, list := selector.New("west"), pool(3)
	until := start().Add(time.Second)
	chooser.SetLost(start(), list[0].Start(), until)
	chooser.SetLost(start(), list[1].Start(), until)
	for range 20 {
		assert.Equal(t, choose(t, chooser, start(), serviceDemand(list)).Upstream().ID, list[2].ID)
	}
	demand := serviceDemand(list)
	demand.Tried = map[definer.UpstreamName]bool{list[2].ID: true}
	assert.Assert(t, choose(t, chooser, start(), demand).Upstream().ID != list[2].ID)
	assert.Equal(t, choose(t, chooser, until, serviceDemand(list)).Upstream().ID, list[1].ID, "the presumption has ended")
	later := *list[0]
	later.Incarnation++
	list[0] = &later
	assert.Equal(t, choose(t, chooser, start(), serviceDemand(list)).Upstream().ID, list[0].ID, "another incarnation is not lost")
}

// TestLostUpstreamIsProbedOnce checks that a turn to probe lets exactly one request through, within
// its time, and only as the first send of a request.
func TestLostUpstreamIsProbedOnce(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	lost := list[1].Start()
	chooser.SetLost(start(), lost, start().Add(time.Minute))
	chooser.AllowProbe(start(), lost, start().Add(time.Second), start().Add(2*time.Second))
	assert.Equal(t, choose(t, chooser, start(), serviceDemand(list)).Upstream().ID, list[0].ID, "the turn has not begun")
	now := start().Add(time.Second)
	demand := serviceDemand(list)
	demand.Tried = map[definer.UpstreamName]bool{"u9": true}
	assert.Equal(t, choose(t, chooser, now, demand).Upstream().ID, list[0].ID, "not the first send")
	assert.Equal(t, choose(t, chooser, now, serviceDemand(list)).Upstream().ID, list[1].ID)
	assert.Equal(t, choose(t, chooser, now, serviceDemand(list)).Upstream().ID, list[0].ID, "the probe was made")
	chooser.AllowProbe(now, lost, now, now.Add(time.Second))
	chooser.SetLost(now, lost, now.Add(time.Minute))
	assert.Equal(t, choose(t, chooser, now, serviceDemand(list)).Upstream().ID, list[0].ID, "new evidence ends the turn")
}

// TestLostEnginesHaveNoShare guards against a division of engines that counts lost ones: the others
// would be too few for their side.
func TestLostEnginesHaveNoShare(t *testing.T) {
	chooser, list := selector.New("west"), pool(12)
	for _, upstream := range list[:8] {
		chooser.SetLost(start(), upstream.Start(), start().Add(time.Minute))
	}
	seen := make(map[definer.UpstreamName]bool)
	for range 40 {
		seen[choose(t, chooser, start(), engineDemand(list, "long", "s", 4000)).Upstream().ID] = true
		seen[choose(t, chooser, start(), engineDemand(list, "short", "t", 10)).Upstream().ID] = true
	}
	assert.Equal(t, len(seen), 4)
}

// TestLostEngineIsProbed guards against a probe of an engine that has no prediction, as it is not
// among the candidates whose cost is computed.
func TestLostEngineIsProbed(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	lost := list[1].Start()
	chooser.SetLost(start(), lost, start().Add(time.Minute))
	chooser.AllowProbe(start(), lost, start(), start().Add(time.Second))
	assert.Equal(t, choose(t, chooser, start(), engineDemand(list, "k", "s", 50)).Upstream().ID, list[1].ID)
}

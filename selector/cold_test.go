package selector_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

const warmUpSpan = 3 * time.Second

// warmingDemand returns a demand for a service whose upstreams warm up.
func warmingDemand(list []*registrar.Upstream) *selector.Demand {
	demand := serviceDemand(list)
	demand.Idempotent = true
	demand.WarmUp = definer.WarmUp{Span: warmUpSpan, PerSecond: 13}
	return demand
}

// TestColdUpstreamsNeedPermits checks that requests to an upstream need a permit while it is cold,
// and only where the service limits cold upstreams.
func TestColdUpstreamsNeedPermits(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	list[0].ColdUntil = now.Add(2 * time.Second)
	cold := choose(t, chooser, now, warmingDemand(list))
	assert.Assert(t, cold.NeedsPermit())
	limit, left := cold.Cold()
	assert.Equal(t, limit, definer.LimitTo(13))
	assert.Equal(t, left, 2*time.Second)
	assert.Assert(t, !choose(t, chooser, now, serviceDemand(list)).NeedsPermit())
	warm := choose(t, chooser, now.Add(2*time.Second), warmingDemand(list))
	assert.Assert(t, !warm.NeedsPermit())
	_, left = warm.Cold()
	assert.Equal(t, left, time.Duration(0))
}

// TestDenialEndsWithTheWarmUp checks that a denied permit does not withhold an upstream longer
// than it is cold.
func TestDenialEndsWithTheWarmUp(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	list[0].ColdUntil = now.Add(time.Second)
	choose(t, chooser, now, warmingDemand(list)).RecordDenial(now.Add(time.Hour))
	_, err := chooser.Choose(now, warmingDemand(list))
	var failure *selector.Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.Limited, "%v", err)
	assert.Assert(t, !choose(t, chooser, now.Add(time.Second), warmingDemand(list)).NeedsPermit())
}

// TestWithoutPermitWarmUpstreamsRemain checks that a request that may ask for no more permits goes
// to a warm upstream, and is refused as limited if there is none.
func TestWithoutPermitWarmUpstreamsRemain(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(3), start()
	list[0].ColdUntil, list[1].ColdUntil = now.Add(time.Second), now.Add(time.Second)
	demand := warmingDemand(list)
	demand.WithoutPermit = true
	for range 10 {
		assert.Equal(t, choose(t, chooser, now, demand).Upstream().ID, list[2].ID)
	}
	demand.Candidates = list[:2]
	_, err := chooser.Choose(now, demand)
	var failure *selector.Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.Limited, "%v", err)
}

// TestUpstreamThatReturnsIsCold checks that an upstream which could not be reached, and so may have
// started anew, counts as cold until a warm-up after it was reached again.
func TestUpstreamThatReturnsIsCold(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	choose(t, chooser, now, warmingDemand(list)).End(now, selector.Unreachable)
	now = now.Add(5 * time.Second)
	probe := choose(t, chooser, now, warmingDemand(list))
	assert.Assert(t, probe.NeedsPermit())
	assert.Assert(t, probe.RecordPermit(now))
	probe.RecordFirstEvent(now)
	probe.End(now, selector.Answered)
	assert.Assert(t, choose(t, chooser, now.Add(warmUpSpan-time.Millisecond), warmingDemand(list)).NeedsPermit())
	assert.Assert(t, !choose(t, chooser, now.Add(warmUpSpan), warmingDemand(list)).NeedsPermit())
}

// TestUpstreamAnnouncesThatItIsCold checks that an upstream's own statement counts.
func TestUpstreamAnnouncesThatItIsCold(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	assignment := choose(t, chooser, now, warmingDemand(list))
	assert.Assert(t, !assignment.NeedsPermit())
	assignment.RecordCold(now, time.Second)
	assert.Assert(t, choose(t, chooser, now, warmingDemand(list)).NeedsPermit())
	assert.Assert(t, !choose(t, chooser, now.Add(time.Second), warmingDemand(list)).NeedsPermit())
}

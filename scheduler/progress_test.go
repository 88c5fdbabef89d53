package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// TestEveryClassProgressesWithinItsBound guards against starvation. It loads every
// tier with twice the capacity and checks the bound on progress: a class that waits
// below its floor is granted a slot within one longest service time plus the time to
// repay what it used above its floor.
func TestEveryClassProgressesWithinItsBound(t *testing.T) {
	const length = 30 * time.Minute
	cases := []struct {
		name        string
		poolSetting poolSetting
		demands     []demand
	}{
		{"usual", poolSetting{upstreams: 6, slots: 4, protectedShare: 0.2}, usualDemands()},
		{"one slot", poolSetting{upstreams: 1, slots: 1}, []demand{
			{class: "counter", share: 2, tokens: 100},
			{class: "draft", share: 1, tokens: 100},
			{class: "proposal", share: 1, tokens: 100},
			{class: "digest", share: 1, tokens: 100},
		}},
		{"one higher tier takes all it can", poolSetting{upstreams: 3, slots: 4, protectedShare: 0.1}, []demand{
			{class: "counter", share: 3, tokens: 100}, {class: "proposal", share: 1, tokens: 400}, {class: "digest", share: 1, tokens: 800},
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(t, test.poolSetting)
			simulation.longest = 1000
			slots := test.poolSetting.upstreams * test.poolSetting.slots
			for _, demand := range test.demands {
				simulation.arrive(demand, 2, slots, length)
			}
			simulation.run(length)
			simulation.checker.audit()
			assert.Assert(t, len(simulation.checker.faults) == 0, "%v", simulation.checker.faults)
			service := prefill + 1000*tokenTime
			for name, tally := range simulation.tallies {
				class := simulation.scheduler.classes[name]
				if tally.arrived == 0 {
					continue
				}
				bound := 4*service + time.Duration(debtShare*float64(class.definition.LongestWait()))
				t.Logf("%s: %d of %d finished, gap %s, bound %s", name, tally.finished, tally.arrived, tally.gap, bound)
				assert.Assert(t, tally.finished >= 20, "%s", name)
				if !class.protected() {
					assert.Assert(t, tally.gap <= bound, "%s went without a grant for %s, its bound is %s", name, tally.gap, bound)
				}
				assert.Assert(t, tally.longest <= class.definition.LongestWait()+expiryStep, "%s", name)
			}
		})
	}
}

// TestProgressCheckCanFail checks that the lowest class starves when floors are
// disabled, so that the progress test can fail.
func TestProgressCheckCanFail(t *testing.T) {
	simulation := newSimulation(t, poolSetting{upstreams: 3, slots: 4}, func(scheduler *Scheduler) { scheduler.features.floors = false })
	simulation.arrive(demand{class: "counter", share: 3, tokens: 100}, 2, 12, 10*time.Minute)
	simulation.arrive(demand{class: "digest", share: 1, tokens: 800}, 2, 12, 10*time.Minute)
	simulation.run(10 * time.Minute)
	digest := simulation.tallies["digest"]
	assert.Assert(t, digest.finished < 5, "%d finished", digest.finished)
}

// TestFloorsAreKept checks that a class under the load of a higher tier gets its floor
// share of the slots and not much more.
func TestFloorsAreKept(t *testing.T) {
	const length = 30 * time.Minute
	for _, test := range []struct {
		name  string
		slots int
		// most is the upper bound of the share. It is higher with one slot: while
		// asks of the counter class are refused as late, digests use the idle slot.
		most float64
	}{{"part of a slot", 1, 0.3}, {"whole slots", 20, 0.13}} {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(t, poolSetting{upstreams: 1, slots: test.slots})
			simulation.longest = 400
			simulation.arrive(demand{class: "counter", share: 2, tokens: 100}, 2, test.slots, length)
			simulation.arrive(demand{class: "digest", share: 1, tokens: 100}, 2, test.slots, length)
			simulation.run(length)
			counter, digest := simulation.tallies["counter"], simulation.tallies["digest"]
			share := float64(digest.tokens) / float64(digest.tokens+counter.tokens)
			t.Logf("digest got %.3f of the tokens, %d and %d finished", share, digest.finished, counter.finished)
			assert.Assert(t, share > 0.08 && share < test.most, "%.3f", share)
		})
	}
}

// TestOrganisationsGetTheirShare checks weighted fairness between organisations of
// different weight and demand in one tier.
func TestOrganisationsGetTheirShare(t *testing.T) {
	const length = 30 * time.Minute
	simulation := newSimulation(t, poolSetting{upstreams: 4, slots: 5})
	simulation.longest = 1000
	demands := []demand{
		{organisation: "flood", share: 5, tokens: 400, weight: 1},
		{organisation: "double", share: 2, tokens: 200, weight: 2},
		{organisation: "single", share: 2, tokens: 600, weight: 1},
		{organisation: "small", share: 0.1, tokens: 300, weight: 1},
	}
	for _, demand := range demands {
		demand.class = "digest"
		simulation.arrive(demand, 1, 20, length)
	}
	simulation.run(length)
	got := simulation.organisations
	t.Logf("tokens %v, refused %v", got, simulation.tallies["digest"].reasons)
	// The organisation small demands less than its share and gets all of it; the rest
	// is divided 1 : 2 : 1.
	rest := float64(got["flood"] + got["double"] + got["single"])
	for name, share := range map[definer.OrganisationName]float64{"flood": 0.25, "double": 0.5, "single": 0.25} {
		part := float64(got[name]) / rest
		assert.Assert(t, part > 0.85*share && part < 1.15*share, "%s got %.3f of the rest, its share is %.3f", name, part, share)
	}
	assert.Assert(t, float64(got["small"]) > 0.85*0.1/7.7*rest, "small got %d", got["small"])
}

// TestCountersStayTogether checks the fairness bound on the counters of organisations
// that always have asks waiting: no counter leads the lowest one by more than the work
// of one largest request for each of the three slots plus one.
func TestCountersStayTogether(t *testing.T) {
	simulation := newSimulation(t, poolSetting{upstreams: 2, slots: 3})
	simulation.longest = 500
	for _, name := range []string{"a", "b", "c"} {
		simulation.arrive(demand{class: "digest", organisation: name, share: 3, tokens: 150}, 1, 6, 10*time.Minute)
	}
	simulation.run(2 * time.Minute)
	largest := 500 + promptTokenCost*300
	for step := range 1000 {
		simulation.run(2*time.Minute + time.Duration(step)*100*time.Millisecond)
		accounts := simulation.scheduler.tiers[4].active.elements
		assert.Equal(t, len(accounts), 3)
		for _, account := range accounts {
			lead := account.counter - simulation.scheduler.tiers[4].minCounter()
			assert.Assert(t, lead <= (1+3)*largest, "%s leads by %.0f tokens", account.organisation, lead)
		}
	}
}

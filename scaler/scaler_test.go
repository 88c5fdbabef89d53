package scaler_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
	"limpetcleat/scaler"
)

// bootTime is how long an engine takes to start.
const bootTime = 4 * time.Second

func terms(spotPrice float64) *scaler.Terms {
	return &scaler.Terms{Least: 1, Most: 56, SpotPrice: spotPrice, DataCentres: []definer.DataCentre{"a", "b", "c", "d"}}
}

// deployment simulates a scaler with engines that start and end as ordered.
type deployment struct {
	terms    *scaler.Terms
	scaler   *scaler.Scaler
	plan     scaler.Plan
	now      time.Time
	standing map[definer.DataCentre]scaler.Counts
	starting map[time.Time]map[definer.DataCentre]scaler.Counts
	changes  int
}

func newDeployment(spotPrice float64, each int) *deployment {
	deployment := &deployment{
		terms: terms(spotPrice), scaler: scaler.New(scaler.DefaultHeadroom), now: time.Unix(1000, 0),
		standing: make(map[definer.DataCentre]scaler.Counts), starting: make(map[time.Time]map[definer.DataCentre]scaler.Counts),
	}
	for _, dataCentre := range deployment.terms.DataCentres {
		deployment.standing[dataCentre] = scaler.Counts{Ordinary: each}
	}
	deployment.plan = scaler.InitialPlan(deployment.terms, deployment.situation(0, true))
	return deployment
}

func (deployment *deployment) situation(busy float64, whole bool) *scaler.Situation {
	standing := make(map[definer.DataCentre]scaler.Counts)
	for dataCentre, counts := range deployment.standing {
		standing[dataCentre] = counts
	}
	return &scaler.Situation{Busy: busy, Complete: whole, Standing: standing}
}

// step advances the clock by half a second under a load that occupies busy engines.
func (deployment *deployment) step(busy float64, whole bool) {
	deployment.now = deployment.now.Add(500 * time.Millisecond)
	for at, wanted := range deployment.starting {
		if !at.After(deployment.now) {
			for dataCentre, counts := range wanted {
				deployment.standing[dataCentre] = scaler.Counts{Ordinary: max(deployment.standing[dataCentre].Ordinary, min(counts.Ordinary, deployment.plan.Counts[dataCentre].Ordinary)), Spot: max(deployment.standing[dataCentre].Spot, min(counts.Spot, deployment.plan.Counts[dataCentre].Spot))}
			}
			delete(deployment.starting, at)
		}
	}
	next := deployment.scaler.NextPlan(deployment.now, deployment.terms, &deployment.plan, deployment.situation(busy, whole))
	for dataCentre, counts := range next.Counts {
		if counts != deployment.plan.Counts[dataCentre] {
			deployment.changes++
		}
		stand := deployment.standing[dataCentre]
		deployment.standing[dataCentre] = scaler.Counts{Ordinary: min(stand.Ordinary, counts.Ordinary), Spot: min(stand.Spot, counts.Spot)}
	}
	deployment.starting[deployment.now.Add(bootTime)] = next.Counts
	deployment.plan = next
}

func (deployment *deployment) run(lasts time.Duration, busy func(at time.Duration) float64) {
	for at := time.Duration(0); at < lasts; at += 500 * time.Millisecond {
		deployment.step(busy(at), true)
	}
}

func (deployment *deployment) sum() scaler.Counts {
	var sum scaler.Counts
	for _, counts := range deployment.standing {
		sum.Ordinary += counts.Ordinary
		sum.Spot += counts.Spot
	}
	return sum
}

// oscillating returns a load that varies by about a quarter, as the traffic of users does.
func oscillating(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 { return mean * (1 + 0.27*math.Sin(at.Seconds()/11*2*math.Pi)) }
}

// TestSteadyWorkOrdersNothing checks that an oscillating load changes no order once its need is
// known.
func TestSteadyWorkOrdersNothing(t *testing.T) {
	for _, spotPrice := range []float64{0, 0.18} {
		deployment := newDeployment(spotPrice, 28)
		deployment.run(10*time.Minute, oscillating(30))
		settled := deployment.changes
		deployment.run(30*time.Minute, oscillating(30))
		assert.Equal(t, deployment.changes, settled)
	}
}

// TestWorkThatFallsGivesEnginesUp checks that engines are given up once the recent peak load is
// forgotten, in steps, and that enough remain for the load.
func TestWorkThatFallsGivesEnginesUp(t *testing.T) {
	for _, spotPrice := range []float64{0, 0.18} {
		deployment := newDeployment(spotPrice, 28)
		deployment.run(5*time.Minute, oscillating(50))
		high := deployment.sum().Total()
		deployment.run(time.Minute, oscillating(10))
		assert.Equal(t, deployment.sum().Total(), high, "the recent peak load still counts")
		least := high
		deployment.run(10*time.Minute, func(at time.Duration) float64 {
			least = min(least, deployment.sum().Total())
			return oscillating(10)(at)
		})
		low := deployment.sum().Total()
		assert.Assert(t, low < high/2 && least >= 2*13, "%d engines, then %d, lowest %d", high, low, least)
	}
}

// TestBurstsOfLongPromptsMeetEnginesThatStand simulates consecutive bursts of three times the
// load that rise at once and last twice the boot time of an engine: the engines have to exist
// beforehand.
func TestBurstsOfLongPromptsMeetEnginesThatStand(t *testing.T) {
	deployment := newDeployment(0.18, 28)
	deployment.run(5*time.Minute, oscillating(50))
	for burst := range 3 {
		deployment.run(8*time.Second, func(time.Duration) float64 {
			assert.Assert(t, deployment.sum().Total() >= 150, "%d engines in burst %d", deployment.sum().Total(), burst)
			return 150
		})
		deployment.run(3*time.Second, oscillating(50))
	}
}

// TestABurstIsNoUsualWork checks that a burst leaves no more engines ordered than it occupied
// itself plus the peak headroom: the larger headroom applies to the usual load only.
func TestABurstIsNoUsualWork(t *testing.T) {
	deployment := newDeployment(0, 28)
	deployment.run(5*time.Minute, oscillating(20))
	deployment.run(8*time.Second, func(time.Duration) float64 { return 100 })
	deployment.run(10*time.Second, oscillating(20))
	assert.Assert(t, deployment.sum().Ordinary >= 100 && deployment.sum().Ordinary <= 160, "%+v", deployment.sum())
}

// TestOnlyOrdinaryEngines checks that a service without cheaper spot engines gets the ordinary
// engines that its load needs, less the twentieth by which orders may lag, within its bounds.
func TestOnlyOrdinaryEngines(t *testing.T) {
	deployment := newDeployment(0, 4)
	deployment.run(2*time.Minute, oscillating(30))
	assert.Assert(t, float64(deployment.sum().Ordinary) >= 30*scaler.DefaultHeadroom/1.05 && deployment.sum().Spot == 0, "%+v", deployment.sum())
	deployment.run(2*time.Minute, oscillating(300))
	assert.Equal(t, deployment.sum().Ordinary, 4*56)
}

// TestCountsStayWithinBounds draws random loads, partial views and refusals: the orders stay
// within the bounds, and a partial view gives no engine up.
func TestCountsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deployment := newDeployment(rapid.SampledFrom([]float64{0, 0.18, 0.9, 1}).Draw(t, "spotPrice"), rapid.IntRange(0, 56).Draw(t, "each"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			whole := rapid.Bool().Draw(t, "whole")
			before := deployment.plan
			if rapid.Bool().Draw(t, "refused") {
				deployment.scaler.MarkUnavailable(deployment.now, "a")
			}
			deployment.step(rapid.Float64Range(0, 400).Draw(t, "busy"), whole)
			for dataCentre, counts := range deployment.plan.Counts {
				assert.Assert(t, counts.Ordinary >= 0 && counts.Spot >= 0 && counts.Total() >= 1 && counts.Total() <= 56, "%+v", counts)
				assert.Assert(t, whole || counts.Total() >= before.Counts[dataCentre].Total(), "%s: %+v reduced to %+v in a partial view", dataCentre, before.Counts[dataCentre], counts)
			}
		}
	})
}

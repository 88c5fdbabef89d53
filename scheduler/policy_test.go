package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

const (
	policyRun       = runScale * 4 * time.Minute
	policyUpstreams = 12
	policySlots     = 8
)

func simulate(t testing.TB, policy Policy, load float64) *simulation {
	simulation := newSimulation(t, poolSetting{upstreams: policyUpstreams, slots: policySlots, protectedShare: 0.15}, WithPolicy(policy))
	for _, demand := range usualDemands() {
		simulation.arrive(demand, load, policyUpstreams*policySlots, policyRun)
	}
	simulation.run(policyRun)
	simulation.checker.audit()
	return simulation
}

func (simulation *simulation) attainment(class definer.ClassName) float64 {
	tally := simulation.tallies[class]
	// Requests still open at the end have not missed their target yet.
	open := tally.arrived - tally.finished - tally.refused
	return float64(tally.met) / float64(max(tally.arrived-open, 1))
}

// batchTokensPerSecond returns the finished tokens per second of the two batch classes.
func (simulation *simulation) batchTokensPerSecond() float64 {
	return float64(simulation.tallies["proposal"].tokens+simulation.tallies["digest"].tokens) / policyRun.Seconds()
}

func TestPoliciesSideBySide(t *testing.T) {
	for _, load := range []float64{0.5, 1, 2} {
		results := make(map[Policy]*simulation)
		for _, policy := range []Policy{FirstCome, StrictTiers, ServiceLevels} {
			simulation := simulate(t, policy, load)
			results[policy] = simulation
			line := fmt.Sprintf("load %.1f %-13s", load, policy)
			for _, class := range simulation.scheduler.classesByTier {
				tally := simulation.tallies[class.definition.Name()]
				line += fmt.Sprintf(" %s %.1f%% (%d/%d, wait %.0fs, %v, late %d)", class.definition.Name(), 100*simulation.attainment(class.definition.Name()), tally.finished, tally.arrived, tally.longest.Seconds(), tally.reasons, tally.lateRefusals)
			}
			t.Logf("%s batch %.0f tokens/s", line, simulation.batchTokensPerSecond())
		}
		ours := results[ServiceLevels]
		assert.Assert(t, len(ours.checker.faults) == 0, "%v", ours.checker.faults)
		assert.Assert(t, ours.attainment("confirm") >= 0.99, "load %v: %v", load, ours.attainment("confirm"))
		for name, tally := range ours.tallies {
			assert.Assert(t, tally.finished > 0, "load %v: %s made no progress", load, name)
		}
	}
}

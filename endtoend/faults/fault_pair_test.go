package faults_test

import (
	"fmt"
	"testing"

	"limpetcleat/standin/tester"
)

// combineFaults combines faults into one; they are injected and healed in the given order.
func combineFaults(faults ...fault) fault {
	combined := fault{
		inject: func(scenario *scenario) {
			for _, fault := range faults {
				fault.inject(scenario)
			}
		},
		heal: func(scenario *scenario) {
			for _, fault := range faults {
				fault.heal(scenario)
			}
		},
	}
	for _, fault := range faults {
		if combined.name != "" {
			combined.name += "+"
		}
		combined.name += fault.name
		combined.hitsCaller = combined.hitsCaller || fault.hitsCaller
	}
	return combined
}

// faultNamed returns the fault with the name.
func faultNamed(name string) fault {
	for _, fault := range reservationFaults() {
		if fault.name == name {
			return fault
		}
	}
	return fault{name: "unknown fault " + name}
}

// TestReservationFaultPairs injects two faults at the steps at which both affect the same call.
func TestReservationFaultPairs(t *testing.T) {
	pairs := []fault{
		combineFaults(faultNamed("platformAway"), faultNamed("entryKilled")),
		combineFaults(faultNamed("answerLost"), faultNamed("entryKilled")),
		combineFaults(faultNamed("ownerFrozen"), faultNamed("serviceCut")),
		combineFaults(faultNamed("platformAway"), faultNamed("ownerKilled")),
	}
	slots := make(chan struct{}, parallelSystems)
	for _, pair := range pairs {
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West, tester.West}})
			for index, step := range reservationSteps() {
				switch step.name {
				case "claiming", "granted", "running", "storing":
					runCell(system, fmt.Sprintf("%s-%d-%s", pair.name, index, step.name), pair, step)
				}
			}
		})
	}
}

// TestStreamFaultPairs injects two faults at every step of a streamed response.
func TestStreamFaultPairs(t *testing.T) {
	pair := func() streamFault {
		engine := engineFault("engineKilled", func(_ *scenario, engine *tester.Upstream) { engine.Process.Kill() }, func(scenario *scenario, engine *tester.Upstream) { engine.Restart(scenario.System) })
		return streamFault{fault: combineFaults(engine.fault, faultNamed("ownerFrozen"))}
	}()
	system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West, tester.West}, Engines: []string{tester.West, tester.West}})
	for index, step := range streamSteps() {
		runStreamCell(system, fmt.Sprintf("%s-%d-%s", pair.name, index, step.name), pair, step)
	}
}

package endtoend_test

import (
	"fmt"
	"testing"
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
			system := startTopology(t, topology{entries: []string{west, west, west}})
			for index, step := range reservationSteps() {
				switch step.name {
				case "claiming", "granted", "running", "storing":
					system.runCell(fmt.Sprintf("%s-%d-%s", pair.name, index, step.name), pair, step)
				}
			}
		})
	}
}

// TestStreamFaultPairs injects two faults at every step of a streamed response.
func TestStreamFaultPairs(t *testing.T) {
	pair := func() streamFault {
		engine := engineFault("engineKilled", func(_ *scenario, engine *upstream) { engine.process.Kill() }, func(scenario *scenario, engine *upstream) { engine.restart(scenario.system) })
		return streamFault{fault: combineFaults(engine.fault, faultNamed("ownerFrozen"))}
	}()
	system := startTopology(t, topology{entries: []string{west, west, west}, engines: []string{west, west}})
	for index, step := range streamSteps() {
		system.runStreamCell(fmt.Sprintf("%s-%d-%s", pair.name, index, step.name), pair, step)
	}
}

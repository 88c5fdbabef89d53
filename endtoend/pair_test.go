package endtoend_test

import (
	"fmt"
	"testing"
)

// pairOf joins faults into one, injected in order and mended in order.
func pairOf(faults ...fault) fault {
	joined := fault{
		inject: func(scene *scene) {
			for _, fault := range faults {
				fault.inject(scene)
			}
		},
		heal: func(scene *scene) {
			for _, fault := range faults {
				fault.heal(scene)
			}
		},
	}
	for _, fault := range faults {
		if joined.name != "" {
			joined.name += "+"
		}
		joined.name += fault.name
		joined.silent = joined.silent || fault.silent
	}
	return joined
}

// named returns the fault of the name.
func named(name string) fault {
	for _, fault := range reservationFaults() {
		if fault.name == name {
			return fault
		}
	}
	return fault{name: "unknown fault " + name}
}

// TestReservationFaultPairs meets the steps at which two faults touch the same
// call with both.
func TestReservationFaultPairs(t *testing.T) {
	pairs := []fault{
		pairOf(named("platformAway"), named("entryKilled")),
		pairOf(named("answerLost"), named("entryKilled")),
		pairOf(named("ownerFrozen"), named("serviceCut")),
		pairOf(named("platformAway"), named("ownerKilled")),
	}
	slots := make(chan struct{}, parallelSystems)
	for _, pair := range pairs {
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := startShape(t, shape{entries: []string{west, west, west}})
			for index, step := range reservationSteps() {
				switch step.name {
				case "claiming", "granted", "running", "storing":
					system.play(fmt.Sprintf("%s-%d-%s", pair.name, index, step.name), pair, step)
				}
			}
		})
	}
}

// TestStreamFaultPairs does the same for streamed answers.
func TestStreamFaultPairs(t *testing.T) {
	pair := func() streamFault {
		engine := engineFault("engineKilled", func(_ *scene, engine *upstream) { engine.process.Kill() }, func(scene *scene, engine *upstream) { engine.restart(scene.system) })
		return streamFault{fault: pairOf(engine.fault, named("ownerFrozen"))}
	}()
	system := startShape(t, shape{entries: []string{west, west, west}, engines: []string{west, west}})
	for index, step := range streamSteps() {
		system.stream(fmt.Sprintf("%s-%d-%s", pair.name, index, step.name), pair, step)
	}
}

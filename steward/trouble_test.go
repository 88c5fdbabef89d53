package steward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/steward"
)

// seeds is the number of random runs for each fleet size.
const seeds = 6

// beginFault begins one random fault of the scenario and returns the function that ends it.
func (simulation *simulation) beginFault() (end func()) {
	draw := simulation.scenario.IntN(11)
	part := func(share float64) func(*node) bool {
		chosen := make(map[*node]bool)
		for _, node := range simulation.nodes {
			chosen[node] = simulation.scenario.Float64() < share
		}
		// The first node holds the duties, so it is included more often.
		chosen[simulation.nodes[0]] = chosen[simulation.nodes[0]] || simulation.scenario.IntN(2) == 0
		return func(node *node) bool { return chosen[node] }
	}
	all := func(*node) bool { return true }
	victim := simulation.nodes[simulation.scenario.IntN(min(len(simulation.nodes), 3))]
	switch draw {
	case 0:
		if victim.process == nil || victim.thawed != nil {
			return func() {}
		}
		victim.kill()
		return victim.start
	case 1:
		if victim.process == nil || victim.thawed != nil {
			return func() {}
		}
		victim.freeze()
		return func() {
			if victim.thawed != nil {
				victim.thaw()
			}
		}
	case 2:
		cut := part(0.4)
		simulation.partition(func(from, to *node) bool { return cut(from) != cut(to) })
		return func() { simulation.partition(func(_, _ *node) bool { return false }) }
	case 3:
		return simulation.setFault(&simulation.store, fault{down: part(0.35)})
	case 4:
		return simulation.setFault(&simulation.store, fault{silent: part(0.35)})
	case 5:
		return simulation.setFault(&simulation.store, fault{lost: 0.3})
	case 6:
		return simulation.setFault(&simulation.store, fault{late: 0.3})
	case 7:
		return simulation.setFault(&simulation.store, fault{slow: 240 * time.Millisecond})
	case 8:
		return simulation.setFault(&simulation.cloudAPI, fault{late: 0.4, lost: 0.1})
	case 9:
		return simulation.setFault(&simulation.cloudAPI, fault{silent: all})
	default:
		return simulation.setFault(&simulation.store, fault{down: all})
	}
}

// TestNeverTwoHoldersUnderTroubles runs sequences of random faults that may overlap: no window
// is reported with two different contents, no token has two holders, and no holder acts again
// within a lease after another has acted. Once the faults end, every window is reported in time.
func TestNeverTwoHoldersUnderTroubles(t *testing.T) {
	for _, size := range []int{2, 8, 40} {
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprintf("%d/%d", size, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					simulation := newSimulation(t, seed*1000+uint64(size), size)
					for _, node := range simulation.nodes {
						node.start()
					}
					defer simulation.stopAll()
					defer simulation.logEvents()
					simulation.runTraffic(6*time.Second, 50)
					for range 6 {
						first := simulation.beginFault()
						simulation.runTraffic(time.Duration(500+simulation.scenario.IntN(4000))*time.Millisecond, 50)
						second := simulation.beginFault()
						simulation.runTraffic(time.Duration(500+simulation.scenario.IntN(6000))*time.Millisecond, 50)
						first()
						simulation.runTraffic(time.Duration(100+simulation.scenario.IntN(2000))*time.Millisecond, 50)
						second()
						simulation.runTraffic(time.Duration(100+simulation.scenario.IntN(5000))*time.Millisecond, 50)
					}
					for _, node := range simulation.nodes {
						if node.thawed != nil {
							node.thaw()
						}
						if node.process == nil {
							node.start()
						}
					}
					// Wait for delayed calls and for the pauses after failures to end.
					simulation.runTraffic(30*time.Second, 50)
					first := currentWindow()
					simulation.runTraffic(20*time.Second, 50)
					assert.Equal(t, simulation.checkReported(first, currentWindow()-2), 0)
				})
			})
		}
	}
}

// TestPowerOfAllIsLost kills all processes at once and restarts them: the windows from then on
// are reported, and the windows in between as far as their counts are known.
func TestPowerOfAllIsLost(t *testing.T) {
	runWithSizes(t, []int{8, 81}, func(_ *testing.T, simulation *simulation) {
		simulation.runTraffic(13*time.Second, 200)
		first := currentWindow()
		for _, node := range simulation.nodes {
			node.kill()
		}
		time.Sleep(1500 * time.Millisecond)
		for _, node := range simulation.nodes {
			node.start()
		}
		simulation.runTraffic(25*time.Second, 200)
		simulation.checkReported(first, currentWindow()-2)
	})
}

// TestPlannedStopHandsOver checks that a holder in a planned stop hands its duties over to the
// next node at once.
func TestPlannedStopHandsOver(t *testing.T) {
	runWithSizes(t, []int{8, 81}, func(t *testing.T, simulation *simulation) {
		simulation.runTraffic(11*time.Second, 200)
		first := currentWindow()
		simulation.nodes[0].stop()
		simulation.runTraffic(12*time.Second, 200)
		simulation.checkReported(first, currentWindow()-2)
		latest := simulation.maxDelay(first, currentWindow()-2)
		assert.Assert(t, latest < usageDeadline/2, "%v", latest)
	})
}

// TestWrongAnswersOfThePlatform checks that unreadable claims in the store are not overwritten,
// and that they are not read repeatedly.
func TestWrongAnswersOfThePlatform(t *testing.T) {
	for name, content := range map[string]string{
		"no claim":           `"text"`,
		"of another program": `{"holder":"x"}`,
		"a newer format":     `{"format":99,"holder":"x","token":1,"record":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, 1, 8)
				object := simulation.objects[steward.UsageDuty]
				object.Revision, object.Content = 1, []byte(content)
				simulation.objects[steward.UsageDuty], simulation.revision = object, 1
				for _, node := range simulation.nodes {
					node.start()
				}
				defer simulation.stopAll()
				simulation.runTraffic(30*time.Second, 20)
				simulation.mutex.Lock()
				defer simulation.mutex.Unlock()
				assert.Equal(t, len(simulation.reports), 0)
				assert.Equal(t, string(simulation.objects[steward.UsageDuty].Content), content)
				assert.Assert(t, simulation.storeCalls[steward.UsageDuty] < 15, "%d store calls", simulation.storeCalls[steward.UsageDuty])
			})
		})
	}
}

package steward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestHowLongADutyRests checks that each window is reported in time whatever fault befalls the
// node that reports usage, and at whatever point of a window. It logs the longest time between
// the end of a window and its report.
func TestHowLongADutyRests(t *testing.T) {
	holderAlone := func(simulation *simulation) func(*node) bool {
		return func(node *node) bool { return node == simulation.nodes[0] }
	}
	cases := []struct {
		name  string
		fault func(simulation *simulation) (end func())
	}{
		{"killed", func(simulation *simulation) func() { simulation.nodes[0].kill(); return simulation.nodes[0].start }},
		{"stopped as planned", func(simulation *simulation) func() { simulation.nodes[0].stop(); return simulation.nodes[0].start }},
		{"frozen", func(simulation *simulation) func() { simulation.nodes[0].freeze(); return simulation.nodes[0].thaw }},
		{"cut from all nodes", func(simulation *simulation) func() {
			simulation.partition(func(from, to *node) bool { return (from.index == 0) != (to.index == 0) })
			return func() { simulation.partition(func(_, _ *node) bool { return false }) }
		}},
		{"turned away by the store", func(simulation *simulation) func() {
			return simulation.setFault(&simulation.store, fault{down: holderAlone(simulation)})
		}},
		{"not answered by the store", func(simulation *simulation) func() {
			return simulation.setFault(&simulation.store, fault{silent: holderAlone(simulation)})
		}},
		{"not answered by the platform", func(simulation *simulation) func() {
			return simulation.setFault(&simulation.cloudAPI, fault{silent: holderAlone(simulation)})
		}},
		{"before a slow store", func(simulation *simulation) func() {
			return simulation.setFault(&simulation.store, fault{slow: 240 * time.Millisecond})
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var longest time.Duration
			for second := range 5 {
				synctest.Test(t, func(t *testing.T) {
					simulation := newSimulation(t, uint64(second), 12)
					for _, node := range simulation.nodes {
						node.start()
					}
					defer simulation.stopAll()
					simulation.runTraffic(11*time.Second, 20)
					first := currentWindow()
					simulation.runTraffic(time.Duration(second)*time.Second, 20)
					end := test.fault(simulation)
					simulation.runTraffic(12*time.Second, 20)
					end()
					simulation.runTraffic(15*time.Second, 20)
					simulation.checkReported(first, currentWindow()-2)
					longest = max(longest, simulation.maxDelay(first, currentWindow()-2))
				})
			}
			t.Logf("longest delay of a report: %v", longest.Round(10*time.Millisecond))
			assert.Assert(t, longest <= usageDeadline)
		})
	}
}

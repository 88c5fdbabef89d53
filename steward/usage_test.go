package steward_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/steward"
)

// runWithSizes runs a test with fleets of several sizes in a synctest bubble.
func runWithSizes(t *testing.T, sizes []int, test func(t *testing.T, simulation *simulation)) {
	t.Helper()
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, uint64(size), size)
				for _, node := range simulation.nodes {
					node.start()
					time.Sleep(time.Millisecond)
				}
				defer simulation.stopAll()
				defer simulation.logEvents()
				test(t, simulation)
			})
		})
	}
}

// TestUsageIsToldWholeAndInTime checks that the usage of each window is reported within the
// tolerance and in time, by a single node, with one write to the store for each window.
func TestUsageIsToldWholeAndInTime(t *testing.T) {
	runWithSizes(t, []int{1, 2, 8, 81, 390}, func(t *testing.T, simulation *simulation) {
		simulation.runTraffic(6*time.Second, 500)
		first, calls := currentWindow(), simulation.storeCallCount(steward.UsageDuty)
		simulation.runTraffic(25*time.Second, 500)
		last := currentWindow() - 2
		assert.Equal(t, simulation.checkReported(first, last), 0)
		assert.Assert(t, simulation.storeCallCount(steward.UsageDuty)-calls <= 7, "%d store calls in 25 s", simulation.storeCallCount(steward.UsageDuty)-calls)
		assert.Equal(t, len(holders(simulation)), 1)
		t.Logf("reported %v after the end of the window", simulation.maxDelay(last, last))
	})
}

// holders returns the VMs that reported usage.
func holders(simulation *simulation) map[string]bool {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	machines := make(map[string]bool)
	for _, act := range simulation.acts["usage"] {
		machines[act.machine] = true
	}
	return machines
}

// TestUsageOutlivesItsHolder kills the node that reports usage at each half second of a window:
// every window is still reported in time.
func TestUsageOutlivesItsHolder(t *testing.T) {
	for second := range 10 {
		t.Run(fmt.Sprint(second), func(t *testing.T) {
			runWithSizes(t, []int{8, 30}, func(t *testing.T, simulation *simulation) {
				simulation.runTraffic(11*time.Second, 300)
				first := currentWindow()
				simulation.runTraffic(time.Duration(second)*500*time.Millisecond, 300)
				simulation.nodes[0].kill()
				simulation.runTraffic(2*time.Second, 300)
				simulation.nodes[0].start()
				simulation.runTraffic(20*time.Second, 300)
				off := simulation.checkReported(first, currentWindow()-2)
				// Counts of the killed process from its last half second are lost with it.
				assert.Assert(t, off <= 1, "%d windows are off", off)
			})
		})
	}
}

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

// TestMinorityDoesNotSettleFirst kills and restarts the first node around the end of a window,
// while two fifths of the nodes are cut off from the others. Those wait for the counts of the
// killed process; the smaller part, which misses nobody, must not settle the window meanwhile.
func TestMinorityDoesNotSettleFirst(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				simulation := newSimulation(t, seed, 44)
				for _, node := range simulation.nodes {
					node.start()
				}
				defer simulation.stopAll()
				simulation.runTraffic(6*time.Second, 100)
				first, silent := simulation.nodes[0], false
				cut := make(map[*node]bool)
				for _, index := range simulation.scenario.Perm(43)[:18] {
					cut[simulation.nodes[index+1]] = true
				}
				simulation.partition(func(from, to *node) bool {
					return cut[from] != cut[to] || silent && (from == first || to == first)
				})
				window := currentWindow() + 1
				end := windowEnd(window)
				draw := func(least, most int) time.Duration {
					return time.Duration(least+simulation.scenario.IntN(most-least)) * time.Millisecond
				}
				simulation.runTraffic(time.Until(end.Add(-draw(1300, 3500))), 100)
				first.kill()
				simulation.runTraffic(draw(200, 2500), 100)
				simulation.mutex.Lock()
				silent = true
				simulation.mutex.Unlock()
				first.start()
				simulation.runTraffic(draw(100, 2400), 100)
				simulation.mutex.Lock()
				silent = false
				simulation.mutex.Unlock()
				simulation.runTraffic(time.Until(end.Add(usageDeadline)), 100)
				simulation.checkReported(window, window)
				simulation.mutex.Lock()
				defer simulation.mutex.Unlock()
				var reported, begun uint64
				for organisation, count := range simulation.begun[window] {
					reported, begun = reported+simulation.reports[window][organisation], begun+count
				}
				assert.Assert(t, 2*reported > begun, "reported %d of %d, %v after the end", reported, begun, simulation.lateness[window])
			})
		})
	}
}

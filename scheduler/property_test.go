package scheduler

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func unchanged(*Scheduler) {}

func TestRandomStepsKeepTheInvariants(t *testing.T) {
	// A fixed seed makes the result reproducible.
	assert.NilError(t, flag.Set("rapid.seed", "20261202"))
	rapid.Check(t, func(check *rapid.T) {
		driver := newDriver(t, unchanged)
		draw := func(bound int) int { return rapid.IntRange(0, bound-1).Draw(check, "n") }
		for range draw(250) + 1 {
			driver.step(draw)
			driver.audit()
			assert.Assert(check, len(driver.faults) == 0, "%v", driver.faults)
		}
	})
}

func TestLongSeededRunsKeepTheInvariants(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3, 4} {
		driver, draw := newDriver(t, unchanged), seeded(seed)
		for step := range longRunSteps {
			driver.step(draw)
			if step%64 == 0 {
				driver.audit()
			}
			assert.Assert(t, len(driver.faults) == 0, "seed %d, step %d: %v", seed, step, driver.faults)
		}
		t.Log("seed", seed, "asked", driver.asked, "decisions", driver.counts)
		for _, counted := range []string{"protected refused", "queueFull", "shed", "waitExceeded", "deadlineMissed"} {
			assert.Assert(t, driver.counts[counted] > 0, "no %s in the run, so it proves little", counted)
		}
	}
}

// TestChecksCanFail disables parts of the policy one by one; the checks must then find
// faults, else they prove nothing.
func TestChecksCanFail(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Scheduler)
	}{
		{"no protection", func(scheduler *Scheduler) { scheduler.features.protection = false }},
		{"no preemption", func(scheduler *Scheduler) { scheduler.features.preemption = false }},
		{"first come first served", func(scheduler *Scheduler) { scheduler.features = FirstCome.features() }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			driver, draw := newDriver(t, test.change), seeded(1)
			for range 50_000 {
				driver.step(draw)
			}
			assert.Assert(t, len(driver.faults) > 0, "%v", driver.counts)
		})
	}
}

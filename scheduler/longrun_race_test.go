//go:build race

package scheduler

// The race detector is slow, so the runs are shorter.
const (
	// longRunSteps is the number of steps of each long run.
	longRunSteps = 20_000
	// runScale multiplies the simulated time.
	runScale = 1
)

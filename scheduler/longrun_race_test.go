//go:build race

package scheduler

// The race detector is slow, so the runs are shorter.
const (
	// longRun is the number of steps of each long run.
	longRun = 20_000
	// runScale lengthens the simulations.
	runScale = 1
)

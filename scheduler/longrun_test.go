//go:build !race

package scheduler

const (
	// longRun is the number of steps of each long run.
	longRun = 550_000
	// runScale lengthens the simulations.
	runScale = 5
)

//go:build !race

package scheduler

const (
	// longRunSteps is the number of steps of each long run.
	longRunSteps = 550_000
	// runScale multiplies the simulated time.
	runScale = 5
)

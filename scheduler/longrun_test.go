//go:build !race

package scheduler

// longRun is the number of steps of each long run.
const longRun = 550_000

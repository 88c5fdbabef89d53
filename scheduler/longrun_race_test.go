//go:build race

package scheduler

// longRun is the number of steps of each long run; the race detector is slow.
const longRun = 30_000

// Package clock stands in for time: a stepped clock with what is to happen at its times, so that a
// run of parts which take the time as an argument is the same each time and takes no time itself.
package clock

import (
	"container/heap"
	"time"
)

// Clock stands still but for Run. Everything happens in the caller's goroutine.
type Clock struct {
	now time.Time
	// steps is a heap by time and then by the order in which they were entered.
	steps steps
	count int
}

// New returns a Clock that shows the time.
func New(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the time shown.
func (clock *Clock) Now() time.Time { return clock.now }

// After has something done once the wait has passed; what has a time in common is done in the order
// in which it was entered, and a wait below zero is none.
func (clock *Clock) After(wait time.Duration, do func()) {
	clock.count++
	heap.Push(&clock.steps, step{at: clock.now.Add(max(wait, 0)), number: clock.count, do: do})
}

// Run does what is due within the length and then shows its end.
func (clock *Clock) Run(length time.Duration) {
	clock.RunUntil(length, func() bool { return false })
}

// RunUntil does the same, but stops behind the first step after which done holds, and tells whether
// there was one.
func (clock *Clock) RunUntil(length time.Duration, done func() bool) bool {
	end := clock.now.Add(length)
	for len(clock.steps) > 0 && !clock.steps[0].at.After(end) {
		next, _ := heap.Pop(&clock.steps).(step)
		clock.now = next.at
		next.do()
		if done() {
			return true
		}
	}
	clock.now = end
	return false
}

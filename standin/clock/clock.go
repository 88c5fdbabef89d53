// Package clock provides a simulated clock with a queue of scheduled events. Tests of components
// that take the current time as an argument run on it deterministically and without waiting.
package clock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock whose time advances only in Advance and AdvanceUntil. Events run in
// the goroutine that calls these methods. A Clock is not safe for concurrent use.
type Clock struct {
	now time.Time
	// queue is a heap ordered by time, then by the order of scheduling.
	queue     eventQueue
	scheduled int
}

// New returns a Clock whose current time is now.
func New(now time.Time) *Clock { return &Clock{now: now} }

// Now returns the current simulated time.
func (clock *Clock) Now() time.Time { return clock.now }

// Schedule schedules an action to run once the wait has elapsed. Actions due at the same time run
// in the order in which they were scheduled. A negative wait counts as zero.
func (clock *Clock) Schedule(wait time.Duration, action func()) {
	clock.scheduled++
	heap.Push(&clock.queue, event{at: clock.now.Add(max(wait, 0)), sequence: clock.scheduled, action: action})
}

// Advance advances the clock by the length and runs every event that falls due, its end included.
func (clock *Clock) Advance(length time.Duration) {
	clock.AdvanceUntil(length, func() bool { return false })
}

// AdvanceUntil is like Advance, but stops after the first event after which done returns true. It
// reports whether done returned true; if so, the clock stays at the time of that event.
func (clock *Clock) AdvanceUntil(length time.Duration, done func() bool) bool {
	end := clock.now.Add(length)
	for len(clock.queue) > 0 && !clock.queue[0].at.After(end) {
		next, _ := heap.Pop(&clock.queue).(event)
		clock.now = next.at
		next.action()
		if done() {
			return true
		}
	}
	clock.now = end
	return false
}

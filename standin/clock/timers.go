package clock

import "time"

// Timers are the timers of one part, by key, as package timer keeps them for a process. They hold the
// number of times that each was set or cleared, so that none fires after it was.
type Timers[Key comparable] map[Key]int

// Set has fire called when the clock comes to the time, unless the timer is set anew or cleared
// before.
func (timers Timers[Key]) Set(clock *Clock, key Key, at time.Time, fire func()) {
	timers[key]++
	number := timers[key]
	clock.After(at.Sub(clock.now), func() {
		if timers[key] == number {
			fire()
		}
	})
}

// Clear ends a timer.
func (timers Timers[Key]) Clear(key Key) { timers[key]++ }

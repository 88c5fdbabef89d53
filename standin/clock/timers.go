package clock

import "time"

// Timers holds the timers of one component by key, as package timer does for a process. The value
// is the generation of the timer, incremented by each Set and Clear, so that a timer that was
// replaced or cleared does not fire.
type Timers[Key comparable] map[Key]int

// Set schedules fire to be called when the clock reaches the time, unless the timer is set again or
// cleared first.
func (timers Timers[Key]) Set(clock *Clock, key Key, at time.Time, fire func()) {
	timers[key]++
	generation := timers[key]
	clock.Schedule(at.Sub(clock.now), func() {
		if timers[key] == generation {
			fire()
		}
	})
}

// Clear cancels the timer of the key.
func (timers Timers[Key]) Clear(key Key) { timers[key]++ }

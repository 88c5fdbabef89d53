package measurer

import "time"

// MaxInWindow returns the largest number of times within any window of the given length, both ends
// included. The times must be in ascending order.
func MaxInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

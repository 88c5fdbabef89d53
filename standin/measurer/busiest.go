package measurer

import "time"

// Busiest returns the most of the times that lie within any window of the length; they are in
// order.
func Busiest(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

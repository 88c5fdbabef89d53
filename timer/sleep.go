package timer

import (
	"context"
	"time"
)

// Sleep waits for the given time. If the context ends first, Sleep returns its error.
func Sleep(ctx context.Context, wait time.Duration) error {
	clock := time.NewTimer(wait)
	defer clock.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-clock.C:
		return nil
	}
}

// maxDoublings keeps the doubled time from overflowing. Doubled is meant for values of longest
// that are reached in fewer doublings.
const maxDoublings = 8

// Doubled returns an exponential backoff: first, doubled the given number of times, but at
// most longest.
func Doubled(first, longest time.Duration, times int) time.Duration {
	return min(first<<min(times, maxDoublings), longest)
}

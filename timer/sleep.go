package timer

import (
	"context"
	"time"
)

// Sleep waits, or until the context ends; the error is then the context's.
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

// maxDoublings keeps a doubled time from overflowing; longest is reached before.
const maxDoublings = 8

// Doubled returns the first time, doubled so many times, and the longest at most.
func Doubled(first, longest time.Duration, times int) time.Duration {
	return min(first<<min(times, maxDoublings), longest)
}

package scheduler

import "time"

const (
	// breakerThreshold is the number of consecutive failures that open the breaker.
	breakerThreshold = 3
	// minOpenTime is how long the breaker first stays open; each failed trial doubles
	// the time up to maxOpenTime.
	minOpenTime = 250 * time.Millisecond
	maxOpenTime = 5 * time.Second
)

// breaker is the circuit breaker of one upstream. While it is open, the upstream gets
// no unprotected requests: an upstream whose attempts all fail fast looks idle and
// would attract every request. After each open time one trial request is allowed; a
// success closes the breaker. Protected requests use the upstream as a last resort and
// never wait for the breaker.
type breaker struct {
	// failures counts consecutive failures.
	failures int
	// openTime is the length of the last open time; 0 while there was none.
	openTime  time.Duration
	openUntil time.Time
	// open reports whether openUntil was in the future at the last update.
	open bool
}

// observe records the result of an attempt.
func (breaker *breaker) observe(now time.Time, failed bool) {
	if !failed {
		breaker.failures, breaker.openTime, breaker.openUntil, breaker.open = 0, 0, time.Time{}, false
		return
	}
	breaker.failures++
	if breaker.failures < breakerThreshold || now.Before(breaker.openUntil) {
		return
	}
	breaker.openTime = min(max(2*breaker.openTime, minOpenTime), maxOpenTime)
	breaker.openUntil = now.Add(breaker.openTime)
	breaker.open = true
}

// update ends an open time that has passed.
func (breaker *breaker) update(now time.Time) { breaker.open = now.Before(breaker.openUntil) }

// admits reports whether the upstream may get another unprotected request while it
// has the given number of active grants: always below the failure threshold, and
// above it only as the single trial.
func (breaker *breaker) admits(active int) bool {
	if breaker.failures < breakerThreshold {
		return true
	}
	return !breaker.open && active == 0
}

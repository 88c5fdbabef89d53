package scheduler

import "time"

// trialTimeout is how long the trial request after a backoff counts as undecided; an upstream
// that has not refused the request by then has accepted it.
const trialTimeout = time.Second

// backOff records, at the end of an attempt, for how long the upstream asked not to be sent
// requests (0 if it did not ask) and whether the attempt failed. An earlier backoff that ends
// later stays in force.
func (upstream *upstream) backOff(now time.Time, span time.Duration, failed bool) {
	upstream.trialUntil = time.Time{}
	if span > 0 {
		if until := now.Add(span); until.After(upstream.backoffUntil) {
			upstream.backoffUntil = until
		}
		upstream.unproven = true
	}
	if !failed {
		upstream.unproven = false
	}
	upstream.updateBackoff(now)
}

// startTrial makes the request that is being sent the trial request if the upstream has not
// accepted a request since its last backoff.
func (upstream *upstream) startTrial(now time.Time) {
	if upstream.unproven {
		upstream.trialUntil = now.Add(trialTimeout)
	}
}

// updateBackoff ends a backoff and a trial whose time has passed.
func (upstream *upstream) updateBackoff(now time.Time) {
	upstream.backingOff = now.Before(upstream.backoffUntil)
	if !upstream.trialUntil.IsZero() && !now.Before(upstream.trialUntil) {
		upstream.unproven, upstream.trialUntil = false, time.Time{}
	}
}

// acceptsRequests reports whether the upstream may be sent requests: its rate limit is not
// exhausted, it does not back off, and no trial request is under way.
func (upstream *upstream) acceptsRequests() bool {
	return !upstream.rateExhausted && !upstream.backingOff && upstream.trialUntil.IsZero()
}

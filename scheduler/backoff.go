package scheduler

import "time"

// trialFor is how long a request that tries an upstream behind its backoff may take to be turned
// away; one that takes longer was taken.
const trialFor = time.Second

// backOff takes in how long an upstream wants nothing, 0 when it said nothing of the kind, at the
// end of an attempt that failed or not. What it asked for before still holds if that is longer.
func (slots *slots) backOff(now time.Time, span time.Duration, failed bool) {
	slots.trialUntil = time.Time{}
	if span > 0 {
		if until := now.Add(span); until.After(slots.backoffUntil) {
			slots.backoffUntil = until
		}
		slots.unproven = true
	}
	if !failed {
		slots.unproven = false
	}
	slots.wake(now)
}

// try notes that a request is sent.
func (slots *slots) try(now time.Time) {
	if slots.unproven {
		slots.trialUntil = now.Add(trialFor)
	}
}

// wake takes up what the time has ended: a backoff, and a trial that was not turned away.
func (slots *slots) wake(now time.Time) {
	slots.backingOff = now.Before(slots.backoffUntil)
	if !slots.trialUntil.IsZero() && !now.Before(slots.trialUntil) {
		slots.unproven, slots.trialUntil = false, time.Time{}
	}
}

// open tells whether the upstream takes requests at all: its limit is not used up, it does not
// back off, and no request tries it behind its backoff.
func (slots *slots) open() bool {
	return !slots.spent && !slots.backingOff && slots.trialUntil.IsZero()
}

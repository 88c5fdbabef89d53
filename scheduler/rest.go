package scheduler

import "time"

// trialFor is how long a request that tries an upstream behind its rest may take to be turned
// away; one that takes longer was taken.
const trialFor = time.Second

// rest takes in how long an upstream wants nothing, 0 when it said nothing of the kind, at the
// end of an attempt that failed or not. What it asked for before still holds if that is longer.
func (slots *slots) rest(now time.Time, rest time.Duration, failed bool) {
	slots.trialUntil = time.Time{}
	if rest > 0 {
		if until := now.Add(rest); until.After(slots.restUntil) {
			slots.restUntil = until
		}
		slots.rested = true
	}
	if !failed {
		slots.rested = false
	}
	slots.wake(now)
}

// try notes that a request is sent.
func (slots *slots) try(now time.Time) {
	if slots.rested {
		slots.trialUntil = now.Add(trialFor)
	}
}

// wake takes up what the time has ended: a rest, and a trial that was not turned away.
func (slots *slots) wake(now time.Time) {
	slots.resting = now.Before(slots.restUntil)
	if !slots.trialUntil.IsZero() && !now.Before(slots.trialUntil) {
		slots.rested, slots.trialUntil = false, time.Time{}
	}
}

// open tells whether the upstream takes requests at all: its limit is not used up, it does not
// rest, and no request tries it behind its rest.
func (slots *slots) open() bool { return !slots.spent && !slots.resting && slots.trialUntil.IsZero() }

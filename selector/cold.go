package selector

import "time"

// coldFor returns how much longer a candidate counts as cold, so that a request to it needs a
// permit; 0 if it is warm. An upstream that cannot be reached may have ended, in which case it
// is cold when it can be reached again.
func (choice *choice) coldFor(candidate *candidate) time.Duration {
	warmUp := choice.demand.WarmUp
	if _, limited := warmUp.Limit().PerSecond(); !limited {
		return 0
	}
	until := candidate.upstream.ColdUntil
	if candidate.state.coldUntil.After(until) {
		until = candidate.state.coldUntil
	}
	left := max(until.Sub(choice.now), 0)
	if candidate.state.consecutiveFailures > 0 {
		return max(left, warmUp.Span)
	}
	return left
}

// needsPermit reports whether a request to the candidate needs a permit.
func (choice *choice) needsPermit(candidate *candidate) bool {
	return choice.demand.NeedsPlace || candidate.state.limited || choice.coldFor(candidate) > 0
}

// withheld reports whether there is no permit now for the request at the candidate.
func (choice *choice) withheld(candidate *candidate) bool {
	if !choice.needsPermit(candidate) {
		return false
	}
	return choice.demand.WithoutPermit || candidate.state.withheld(choice.demand.Tier, choice.now)
}

// markCold records that the upstream may be cold until the time.
func (state *state) markCold(until time.Time) {
	if until.After(state.coldUntil) {
		state.coldUntil = until
	}
}

// RecordCold records that the upstream announced that it is cold for the span.
func (assignment *Assignment) RecordCold(now time.Time, span time.Duration) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.state.markCold(now.Add(span))
}

// recordResponse records that something came from the upstream. If it could not be reached
// before, it may have started anew and counts as cold. The selector's mutex is held.
func (assignment *Assignment) recordResponse(now time.Time) {
	if assignment.state.consecutiveFailures > 0 {
		assignment.state.markCold(now.Add(assignment.warmUp.Span))
	}
	assignment.state.recordResponse(now)
}

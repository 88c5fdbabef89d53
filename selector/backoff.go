package selector

import "time"

// backOff records that the upstream accepts nothing from this node before the time until. A
// longer backoff that it asked for earlier stays in force.
func (state *state) backOff(until time.Time) {
	if until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
	state.needsProbe = true
}

// backsOff reports whether nothing may be sent to the upstream: its backoff has not ended, or
// the one request that probes it afterwards has no answer yet.
func (state *state) backsOff(now time.Time) bool {
	return now.Before(state.backoffUntil) || state.probing
}

// endProbe ends the probe of the upstream after its backoff, if the assignment is that probe.
// If the upstream accepted the request, it is used without restriction again; otherwise the
// next request is a probe. The selector's mutex is held.
func (assignment *Assignment) endProbe(accepted bool) {
	if !assignment.probe {
		return
	}
	assignment.probe = false
	assignment.state.probing = false
	if accepted {
		assignment.state.needsProbe = false
	}
}

// shortestBackoff returns the time until the first backoff ends, among the untried candidates
// in backoff, and whether there is one.
func (choice *choice) shortestBackoff() (after time.Duration, backsOff bool) {
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		if choice.demand.Tried[candidate.upstream.ID] || !candidate.state.backsOff(choice.now) {
			continue
		}
		left := max(candidate.state.backoffUntil.Sub(choice.now), 0)
		if !backsOff || left < after {
			after, backsOff = left, true
		}
	}
	return after, backsOff
}

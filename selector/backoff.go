package selector

import "time"

// backOff notes that the upstream wants nothing from this node before the time. What it asked for
// before still holds if that is longer.
func (state *state) backOff(until time.Time) {
	if until.After(state.backoffUntil) {
		state.backoffUntil = until
	}
	state.unproven = true
}

// backsOff tells whether the upstream is not to be sent anything: its backoff lasts, or the one
// request that tries it behind the backoff has no answer yet.
func (state *state) backsOff(now time.Time) bool {
	return now.Before(state.backoffUntil) || state.tried
}

// endTrial ends the trial of an upstream behind its backoff, if the assignment is that; one that
// took the request is used as before. The selector's mutex is held.
func (assignment *Assignment) endTrial(taken bool) {
	if !assignment.trial {
		return
	}
	assignment.trial = false
	assignment.state.tried = false
	if taken {
		assignment.state.unproven = false
	}
}

// backoffOver returns after what time the first backoff is over, of the candidates that back
// off, and whether there is one.
func (choice *choice) backoffOver() (after time.Duration, backsOff bool) {
	for index := range choice.views {
		view := &choice.views[index]
		if choice.demand.Tried[view.upstream.ID] || !view.state.backsOff(choice.now) {
			continue
		}
		left := max(view.state.backoffUntil.Sub(choice.now), 0)
		if !backsOff || left < after {
			after, backsOff = left, true
		}
	}
	return after, backsOff
}

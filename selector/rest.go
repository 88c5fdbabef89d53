package selector

import "time"

// rest notes that the upstream wants nothing from this node before the time. What it asked for
// before still holds if that is longer.
func (state *state) rest(until time.Time) {
	if until.After(state.restUntil) {
		state.restUntil = until
	}
	state.rested = true
}

// rests tells whether the upstream is not to be sent anything: its rest lasts, or the one
// request that tries it behind the rest has no answer yet.
func (state *state) rests(now time.Time) bool {
	return now.Before(state.restUntil) || state.tried
}

// endTrial ends the trial of an upstream behind its rest, if the assignment is that; one that
// took the request is used as before. The selector's mutex is held.
func (assignment *Assignment) endTrial(taken bool) {
	if !assignment.trial {
		return
	}
	assignment.trial = false
	assignment.state.tried = false
	if taken {
		assignment.state.rested = false
	}
}

// restOver returns after what time the first candidate has rested, of those that do, and
// whether there is one.
func (choice *choice) restOver() (after time.Duration, rests bool) {
	for index := range choice.views {
		view := &choice.views[index]
		if choice.demand.Tried[view.upstream.ID] || !view.state.rests(choice.now) {
			continue
		}
		left := max(view.state.restUntil.Sub(choice.now), 0)
		if !rests || left < after {
			after, rests = left, true
		}
	}
	return after, rests
}

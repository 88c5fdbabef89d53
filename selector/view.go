package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// view is what is known of one candidate when an upstream is chosen.
type view struct {
	upstream *registrar.Upstream
	state    *state
	// load is what peers have there.
	load messenger.UpstreamLoad
	// share is how much of it belongs to the request's side, 0 to 1. It and what
	// follows are set for engines only.
	share float64
	// wait is how long a request without a prompt would wait there for its first event.
	wait time.Duration
	// cached counts the tokens of the prompt's shared parts that it is believed to
	// hold.
	cached int
}

// inFlight counts the requests of all nodes there.
func (view *view) inFlight() int { return view.state.inFlight + view.load.InFlight }

// unread counts the prompt tokens there that no first event has come for.
func (view *view) unread() int { return view.state.unread + view.load.Unread }

// deferred counts those of requests that are behind all others there.
func (view *view) deferred() int { return view.state.deferred + view.load.Deferred }

// tokens counts what the requests there may take of an engine's memory.
func (view *view) tokens() int { return view.state.tokens + view.load.Tokens }

// look returns the views of all candidates.
func (choice *choice) look() []view {
	demand, selector := choice.demand, choice.selector
	views := make([]view, len(demand.Candidates))
	for index, upstream := range demand.Candidates {
		state := selector.of(upstream.Start(), choice.now)
		start := definer.UpstreamStart{Upstream: upstream.ID, Incarnation: state.incarnation}
		views[index] = view{upstream: upstream, state: state, load: selector.others.load(start)}
	}
	return views
}

// mean returns the mean of a count over the engines of the request's side.
func (choice *choice) mean(count func(*view) int) float64 {
	total, engines := 0.0, 0.0
	for index := range choice.views {
		view := &choice.views[index]
		total += view.share * float64(count(view))
		engines += view.share
	}
	if engines == 0 {
		return 0
	}
	return total / engines
}

func (choice *choice) near(view *view) bool {
	return view.upstream.DataCentre == choice.selector.dataCentre
}

// waitAt returns how long a request without a prompt would wait at a candidate for its
// first event.
func (choice *choice) waitAt(view *view) time.Duration {
	return view.state.expectedDelay(choice.now) + choice.pace.reading(view.unread()) + choice.slotWait(view)
}

// slotWait returns how long a request would wait there for a slot.
func (choice *choice) slotWait(view *view) time.Duration {
	slots := view.upstream.Slots
	ahead := view.inFlight() + 1 - slots
	if slots <= 0 || ahead <= 0 {
		return 0
	}
	return choice.service.stay.mean() * time.Duration(ahead) / time.Duration(slots)
}

package selector

import (
	"fmt"
	"time"

	"limpetcleat/definer"
	"limpetcleat/ranker"
)

// choice is one request for which an upstream is chosen; the selector's mutex is
// held as long as it lasts.
type choice struct {
	selector *Selector
	now      time.Time
	demand   *Demand
	service  *service
	pace     *pace
	side     *side
	// memory is how long an engine keeps a part that is not used.
	memory    time.Duration
	views     []view
	preferred definer.UpstreamName
	// objective is within what time the first event is aimed for, counted from when the
	// caller first came.
	objective time.Duration
	// known tells whether some candidate is believed to hold the subject.
	known bool
	// price is what a moment of an engine's time costs others, against that moment.
	price float64
}

func (selector *Selector) consider(now time.Time, demand *Demand) *choice {
	selector.others.expire(now)
	choice := &choice{selector: selector, now: now, demand: demand}
	if !demand.Engine {
		choice.views = choice.look()
		return choice
	}
	service := selector.service(demand.Service)
	kind := service.division.of(demand.Kind)
	kind.tier = demand.Tier
	if kind.since.IsZero() {
		kind.since = now
	}
	choice.objective = demand.Objective - kind.patience.waited(demand.TimeLeft)
	choice.service, choice.pace = service, &service.pace
	choice.side = service.division.side(now, demand, selector.others.works(now, demand.Service))
	choice.views = choice.look()
	for index := range choice.views {
		view := &choice.views[index]
		view.share = choice.side.share(view.upstream.ID)
		view.wait = choice.waitAt(view)
	}
	choice.memory = choice.memoryOfSide()
	choice.price = choice.priceOfTime()
	for index := range choice.views {
		view := &choice.views[index]
		view.cached = view.state.cached(demand.Parts, now, choice.memory)
		choice.known = choice.known || view.state.holds(demand.subject(), now, choice.memory)
	}
	choice.preferred = choice.prefer()
	return choice
}

// prefer returns the engine of the side that the subject's requests go to when all are
// well.
func (choice *choice) prefer() definer.UpstreamName {
	subject := choice.demand.subject()
	if subject == "" {
		return ""
	}
	var best definer.UpstreamName
	var highest uint64
	for index := range choice.views {
		view := &choice.views[index]
		if view.share < 0.5 {
			continue
		}
		if weight := ranker.Weight(subject, string(view.upstream.ID)); best == "" || weight > highest {
			best, highest = view.upstream.ID, weight
		}
	}
	return best
}

// eligible tells whether a candidate was not tried for the request yet and does not back off.
func (choice *choice) eligible(view *view) bool {
	return !choice.demand.Tried[view.upstream.ID] && !view.state.backsOff(choice.now)
}

// cheapest returns the candidate with the least cost, and that; those that are left alone
// count only when paused is set.
func (choice *choice) cheapest(paused bool) (*view, time.Duration) {
	var best *view
	var lowest time.Duration
	for index := range choice.views {
		view := &choice.views[index]
		if !choice.eligible(view) || view.state.withheld(choice.demand.Tier, choice.now) {
			continue
		}
		if !paused && view.state.paused(choice.now) {
			continue
		}
		if cost := choice.cost(view); best == nil || cost < lowest {
			best, lowest = view, cost
		}
	}
	return best, lowest
}

// soonest returns the candidate that is expected to have a permit first, of those that have
// none now and do not back off, and when.
func (choice *choice) soonest() (*view, time.Time) {
	var best *view
	var earliest time.Time
	for index := range choice.views {
		view := &choice.views[index]
		if !choice.eligible(view) {
			continue
		}
		until := view.state.withheldUntil(choice.demand.Tier)
		if until.After(choice.now) && (best == nil || until.Before(earliest)) {
			best, earliest = view, until
		}
	}
	return best, earliest
}

// assign puts the request on the upstream, which costs as much as was found.
func (choice *choice) assign(view *view, cost time.Duration) *Assignment {
	demand, now, state := choice.demand, choice.now, view.state
	assignment := &Assignment{
		selector: choice.selector,
		upstream: view.upstream,
		state:    state,
		parts:    demand.Parts,
		prompt:   demand.PromptTokens,
		memory:   choice.memory,
		sentAt:   now,
		kind:     demand.Kind,
		engine:   demand.Engine,
		tier:     demand.Tier,
		pending:  state.limited,
	}
	reread := 0
	if demand.Engine {
		reread = choice.plan(assignment, view)
	}
	assignment.basis = fmt.Sprintf("inFlight=%d others=%d side=%s failures=%.0f%% expectedMs=%d costMs=%d price=%.1f memoryMs=%d reread=%d deferred=%t preferred=%t known=%t",
		state.inFlight, view.load.InFlight, choice.side, 100*state.failureShare(now),
		assignment.expected.Milliseconds(), cost.Milliseconds(), choice.price, choice.memory.Milliseconds(), reread, assignment.deferred,
		view.upstream.ID == choice.preferred, choice.known)
	if !assignment.pending {
		assignment.count(now)
	}
	return assignment
}

// plan settles what an engine is to read of the prompt and when its first event is
// expected; it returns how much of that other engines hold.
func (choice *choice) plan(assignment *Assignment, view *view) (reread int) {
	demand := choice.demand
	cached := view.cached
	if !choice.known && view.upstream.ID == choice.preferred && choice.selector.others.partial() {
		// Peers that were not heard from have most likely read it there.
		cached = demand.sharedTokens()
	}
	if choice.known {
		reread = choice.missing(view)
	}
	assignment.deferred = choice.deferred(view)
	assignment.unread = max(demand.PromptTokens-cached, 0)
	assignment.tokens = assignment.unread + demand.OutputTokens
	assignment.ahead = view.unread()
	assignment.expected = choice.pace.reading(view.state.unread + assignment.unread)
	return reread
}

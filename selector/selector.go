// Package selector chooses the upstream of a request from what this node's own
// requests have shown: how much it has sent where, what came back and how late,
// and which prompts were read where.
package selector

import (
	"fmt"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxReads bounds the readings that wait to be told to peers.
	maxReads = 256
	// decodeCost is what one more request in flight costs the others of an
	// engine, as time: some hundred steps, each some hundredths of a
	// millisecond longer.
	decodeCost = 3 * time.Millisecond
	// serviceCost is what a request in flight costs the next at a plain service,
	// where work takes 15 to 60 ms on 6 slots.
	serviceCost = 10 * time.Millisecond
	// fullCost is added for each request in flight above an upstream's slots; an
	// estimate, above what a slot takes to become free.
	fullCost = 200 * time.Millisecond
	// memoryShare is the part of an engine's memory that requests in flight may
	// take; above it the engine would preempt, and read again what it dropped.
	memoryShare = 0.85
	// memoryCost is added for an engine whose memory would be above that; an
	// estimate of what a preempted request loses.
	memoryCost = 600 * time.Millisecond
	// farCost is added for an upstream of another data centre; the way there and
	// back is 1 to 3 ms, and the platform bills the bytes.
	farCost = 8 * time.Millisecond
	// failureCost is added for an upstream that fails all requests, in square of
	// the share that fails; plain services fail up to 14 in 100 on calm days, which
	// costs 20 ms.
	failureCost = time.Second
	// riskCost is added for an upstream that could not be reached lately when the
	// request may not be sent twice.
	riskCost = 2 * time.Second
	// forgetAfter is how long an upstream that is no longer listed is remembered.
	forgetAfter = time.Minute
	// sweepAt is how many upstreams may be known before those are forgotten.
	sweepAt = 64
)

// Selector chooses upstreams. It is safe for concurrent use.
type Selector struct {
	dataCentre definer.DataCentre
	// mutex guards states and every Assignment; no other lock is taken under it.
	mutex    sync.Mutex
	states   map[definer.UpstreamName]*state
	services map[definer.PoolName]*service
	others   others
	// reads are the readings that peers have not been told of, at most maxReads.
	reads []messenger.PartsRead
}

// New returns a selector for a node of the data centre.
func New(dataCentre definer.DataCentre) *Selector {
	return &Selector{
		dataCentre: dataCentre,
		states:     make(map[definer.UpstreamName]*state),
		services:   make(map[definer.PoolName]*service),
		others:     newOthers(),
	}
}

// Choose returns the upstream that a request is expected to be served by
// soonest. The error is of kind NoUpstream. The caller ends the assignment.
func (selector *Selector) Choose(now time.Time, demand *Demand) (*Assignment, error) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.forget(now)
	choice := selector.consider(now, demand)
	best, cost := choice.cheapest(false)
	if best == nil {
		// All are left alone: rather try one than none.
		best, cost = choice.cheapest(true)
	}
	if best == nil {
		return nil, fail("choose", NoUpstream, "%d upstreams are listed, %d were tried", len(demand.Candidates), len(demand.Tried))
	}
	return choice.assign(best, cost), nil
}

// service is what is known of the engines of one service together.
type service struct {
	division division
	pace     pace
	// read is what this node's requests bring into the memory of engines.
	read readShare
}

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
	service.division.of(demand.Kind).addPrompt(now, demand.PromptTokens)
	choice.service, choice.pace = service, &service.pace
	choice.side = service.division.side(now, demand, selector.others.works(now, demand.Service))
	choice.views = choice.look()
	choice.memory = choice.memoryOfSide()
	choice.price = choice.priceOfTime()
	for index := range choice.views {
		view := &choice.views[index]
		view.cached = view.state.cached(demand.Parts, now, choice.memory)
	}
	choice.preferred = demand.preferred(choice.side)
	choice.known = choice.isKnown()
	return choice
}

func (selector *Selector) service(name definer.PoolName) *service {
	known, ok := selector.services[name]
	if !ok {
		known = &service{division: division{kinds: make(map[string]*kind)}, pace: newPace()}
		selector.services[name] = known
	}
	return known
}

// cheapest returns the candidate with the least cost, and that; those that are left alone
// count only when paused is set.
func (choice *choice) cheapest(paused bool) (*view, time.Duration) {
	var best *view
	var lowest time.Duration
	for index := range choice.views {
		view := &choice.views[index]
		if choice.demand.Tried[view.upstream.ID] {
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

// paused tells whether the upstream is left alone: its pause lasts, or the one
// request that tries it after the pause has not ended.
func (state *state) paused(now time.Time) bool {
	return now.Before(state.pauseUntil) || state.broken > 0 && state.inFlight > 0
}

// cost returns how long the request is expected to wait, as far as upstreams
// differ, and what it costs others.
func (choice *choice) cost(view *view) time.Duration {
	demand := choice.demand
	cost := choice.riskCost(view)
	if !choice.near(view) {
		cost += farCost
	}
	if slots := view.upstream.Slots; slots > 0 && view.inFlight() >= slots {
		cost += fullCost * time.Duration(1+view.inFlight()-slots)
	}
	if !demand.Engine {
		return cost + serviceCost*time.Duration(view.inFlight())
	}
	if free := int(memoryShare*float64(demand.CacheTokens)) - view.tokens() - demand.tokens() + view.cached; demand.CacheTokens > 0 && free < 0 {
		cost += memoryCost + choice.pace.reading(-free)
	}
	cost += decodeCost * time.Duration(view.inFlight())
	cost += time.Duration((1 - choice.side.share(view.upstream.ID)) * float64(crossingCost))
	if choice.deferred(view) {
		// It takes nothing of those in time, and waits for all of them.
		return cost + choice.lateCost() + choice.pace.reading(view.deferred()) + choice.supplyCost(view, basePrice)
	}
	return cost + choice.wait(view) + choice.supplyCost(view, choice.price)
}

// deferred tells whether the request is to be put behind all others at a candidate:
// it would be late there anyway.
func (choice *choice) deferred(view *view) bool {
	demand := choice.demand
	return demand.Deferrable && demand.Objective != 0 && choice.first(view) > demand.Objective
}

// first returns when the first event is expected from a candidate.
func (choice *choice) first(view *view) time.Duration {
	return choice.wait(view) + choice.pace.reading(choice.demand.PromptTokens-view.cached)
}

// lateCost returns what it costs that the request is late: as much as the time of an
// engine that it would take from another that was in time in its place.
func (choice *choice) lateCost() time.Duration {
	own := choice.pace.reading(choice.demand.PromptTokens - choice.demand.sharedTokens())
	return choice.demand.Objective + time.Duration(choice.price*float64(own))
}

// riskCost returns what it costs that the upstream failed lately.
func (choice *choice) riskCost(view *view) time.Duration {
	share := view.state.failureShare(choice.now)
	cost := time.Duration(share * share * float64(failureCost))
	if view.state.broken > 0 && !choice.demand.Idempotent {
		cost += riskCost
	}
	return cost
}

// isKnown tells whether some candidate is believed to hold the subject.
func (choice *choice) isKnown() bool {
	subject := choice.demand.subject()
	for index := range choice.views {
		if choice.views[index].state.holds(subject, choice.now, choice.memory) {
			return true
		}
	}
	return false
}

// priceOfTime returns what a moment of an engine's time costs: those who wait there
// wait for it, and so do all who come until nobody waits any more.
func (choice *choice) priceOfTime() float64 {
	unread := choice.mean((*view).unread)
	waiting := choice.side.arrivals * choice.pace.reading(int(unread)).Seconds()
	return basePrice + waiting/(1-min(choice.side.busy, fullestSide))
}

// assign puts the request on the upstream, which costs as much as was found.
func (choice *choice) assign(view *view, cost time.Duration) *Assignment {
	demand, now, state := choice.demand, choice.now, view.state
	assignment := &Assignment{
		selector: choice.selector,
		upstream: view.upstream,
		state:    state,
		parts:    demand.Parts,
		sentAt:   now,
		kind:     demand.Kind,
		engine:   demand.Engine,
	}
	reread := 0
	if demand.Engine {
		reread = choice.plan(assignment, view)
	}
	assignment.basis = fmt.Sprintf("inFlight=%d others=%d side=%s failures=%.0f%% expectedMs=%d costMs=%d price=%.1f memoryMs=%d reread=%d deferred=%t preferred=%t known=%t",
		state.inFlight, view.load.InFlight, choice.side, 100*state.failureShare(now),
		assignment.expected.Milliseconds(), cost.Milliseconds(), choice.price, choice.memory.Milliseconds(), reread, assignment.deferred,
		view.upstream.ID == choice.preferred, choice.known)
	state.inFlight++
	*assignment.backlog() += assignment.unread
	state.tokens += assignment.tokens
	assignment.countReading(now)
	assignment.countWriting(now, 1)
	// Told at once: until the answer begins, others would have it read elsewhere.
	choice.selector.noteRead(view.upstream.ID, state.remember(demand.Parts, now, choice.memory))
	return assignment
}

// plan settles what an engine is to read and to fetch, and when its first event is
// expected.
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
	choice.service.read.add(choice.now, assignment.unread, demand.PromptTokens)
	assignment.expected = choice.pace.reading(view.state.unread + assignment.unread)
	return reread
}

// of returns what is known of an upstream; mutex is held.
func (selector *Selector) of(id definer.UpstreamName, now time.Time) *state {
	known, ok := selector.states[id]
	if !ok {
		known = &state{parts: make(map[string]partState)}
		selector.states[id] = known
	}
	known.seen = now
	return known
}

// forget drops the upstreams that have not been candidates for long; mutex is
// held.
func (selector *Selector) forget(now time.Time) {
	if len(selector.states) < sweepAt {
		return
	}
	for id, state := range selector.states {
		if state.inFlight == 0 && now.Sub(state.seen) > forgetAfter {
			delete(selector.states, id)
		}
	}
}

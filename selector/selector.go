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
	"limpetcleat/registrar"
)

const (
	// tokensPerMillisecond is how fast an engine reads a prompt, from the
	// platform's sheets (38.4 for every engine of both sites).
	tokensPerMillisecond = 38.4
	// rereadWeight is the cost of reading cached tokens again against that of
	// reading new ones: besides the time it is billed, at about half of what a long
	// request earns. 8 was better than 1.5 and 4 on the standard days.
	rereadWeight = 8.0
	// coldWeight is the cost of reading a prompt, whose shared parts are known
	// nowhere, elsewhere than where all nodes would, against the time it takes; 1
	// and 3 are within noise of it.
	coldWeight = 2.0
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
	mutex     sync.Mutex
	states    map[definer.UpstreamName]*state
	divisions map[definer.PoolName]*division
	others    others
	// reads are the readings that peers have not been told of, at most maxReads.
	reads []messenger.PartsRead
}

// New returns a selector for a node of the data centre.
func New(dataCentre definer.DataCentre) *Selector {
	return &Selector{
		dataCentre: dataCentre,
		states:     make(map[definer.UpstreamName]*state),
		divisions:  make(map[definer.PoolName]*division),
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

// choice is one request for which an upstream is chosen; the selector's mutex is
// held as long as it lasts.
type choice struct {
	selector  *Selector
	now       time.Time
	demand    *Demand
	side      *side
	preferred definer.UpstreamName
	// known tells whether some candidate is known to hold the subject.
	known bool
}

func (selector *Selector) consider(now time.Time, demand *Demand) *choice {
	selector.others.expire(now)
	choice := &choice{selector: selector, now: now, demand: demand}
	if demand.Engine {
		division := selector.division(demand.Service)
		division.of(demand.Kind).addPrompt(now, demand.PromptTokens)
		choice.side = division.side(now, demand, selector.others.works(now, demand.Service))
	}
	choice.preferred = demand.preferred(choice.side)
	choice.known = choice.isKnown()
	return choice
}

func (selector *Selector) division(service definer.PoolName) *division {
	known, ok := selector.divisions[service]
	if !ok {
		known = &division{kinds: make(map[string]*kind)}
		selector.divisions[service] = known
	}
	return known
}

// cheapest returns the upstream with the least cost, and that; those that are left alone
// count only when paused is set.
func (choice *choice) cheapest(paused bool) (*registrar.Upstream, time.Duration) {
	demand, now := choice.demand, choice.now
	var best *registrar.Upstream
	var lowest time.Duration
	for _, upstream := range demand.Candidates {
		if demand.Tried[upstream.ID] {
			continue
		}
		state := choice.selector.of(upstream.ID, now)
		if !paused && state.paused(now) {
			continue
		}
		if cost := choice.cost(upstream, state); best == nil || cost < lowest {
			best, lowest = upstream, cost
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
// differ.
func (choice *choice) cost(upstream *registrar.Upstream, state *state) time.Duration {
	demand, now := choice.demand, choice.now
	share := state.failureShare(now)
	cost := time.Duration(share * share * float64(failureCost))
	if state.broken > 0 && !demand.Idempotent {
		cost += riskCost
	}
	if upstream.DataCentre != choice.selector.dataCentre {
		cost += farCost
	}
	other := choice.selector.others.load(upstream.ID)
	inFlight := state.inFlight + other.InFlight
	if upstream.Slots > 0 && inFlight >= upstream.Slots {
		cost += fullCost * time.Duration(1+inFlight-upstream.Slots)
	}
	if !demand.Engine {
		return cost + serviceCost*time.Duration(inFlight)
	}
	if free := int(memoryShare*float64(demand.CacheTokens)) - state.tokens - other.Tokens - demand.tokens(); demand.CacheTokens > 0 && free < 0 {
		cost += memoryCost + reading(-free)
	}
	cost += state.expectedDelay(now) + reading(state.unread+other.Unread) + decodeCost*time.Duration(inFlight)
	cost += time.Duration((1 - choice.side.share(upstream.ID)) * float64(crossingCost))
	return cost + choice.cacheCost(upstream, state)
}

// cacheCost returns what it costs that the upstream does not hold the shared
// parts. Of a subject that is known nowhere, all nodes prefer the same upstream.
func (choice *choice) cacheCost(upstream *registrar.Upstream, state *state) time.Duration {
	if choice.known {
		missing := choice.demand.sharedTokens() - state.cached(choice.demand.Parts, choice.now)
		return time.Duration(rereadWeight * float64(reading(missing)))
	}
	if upstream.ID == choice.preferred {
		return 0
	}
	weight := coldWeight
	if choice.selector.others.partial() {
		// Nodes know too little of each other's readings to agree otherwise.
		weight = rereadWeight
	}
	return time.Duration(weight * float64(reading(choice.demand.sharedTokens())))
}

// isKnown tells whether some candidate is known to hold the subject.
func (choice *choice) isKnown() bool {
	subject := choice.demand.subject()
	for _, upstream := range choice.demand.Candidates {
		if choice.selector.of(upstream.ID, choice.now).holds(subject, choice.now) {
			return true
		}
	}
	return false
}

// reading returns how long an engine takes to read so many tokens.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMillisecond * float64(time.Millisecond))
}

// assign puts the request on the upstream, which costs as much as was found.
func (choice *choice) assign(upstream *registrar.Upstream, cost time.Duration) *Assignment {
	demand, now := choice.demand, choice.now
	state := choice.selector.of(upstream.ID, now)
	cached := state.cached(demand.Parts, now)
	if !choice.known && upstream.ID == choice.preferred && choice.selector.others.partial() {
		// Peers that were not heard from have most likely read it there.
		cached = demand.sharedTokens()
	}
	assignment := &Assignment{
		selector: choice.selector,
		upstream: upstream,
		state:    state,
		unread:   max(demand.PromptTokens-cached, 0),
		tokens:   demand.tokens(),
		parts:    demand.Parts,
		sentAt:   now,
		kind:     demand.Kind,
		engine:   demand.Engine,
		expected: reading(state.unread),
	}
	assignment.expected += reading(assignment.unread)
	assignment.basis = fmt.Sprintf("inFlight=%d others=%d side=%s failures=%.0f%% expectedMs=%d costMs=%d preferred=%t known=%t",
		state.inFlight, choice.selector.others.load(upstream.ID).InFlight, choice.side, 100*state.failureShare(now),
		assignment.expected.Milliseconds(), cost.Milliseconds(), upstream.ID == choice.preferred, choice.known)
	state.inFlight++
	state.unread += assignment.unread
	state.tokens += assignment.tokens
	assignment.countReading(now)
	assignment.countWriting(now, 1)
	// Told at once: until the answer begins, others would have it read elsewhere.
	choice.selector.noteRead(upstream.ID, state.remember(demand.Parts, now))
	return assignment
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

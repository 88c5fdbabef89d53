// Package selector chooses the upstream of a request from what this node's own
// requests have shown: how much it has sent where, what came back and how late,
// and which prompts were read where.
package selector

import (
	"fmt"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

const (
	// tokensPerMillisecond is how fast an engine reads a prompt, from the
	// platform's sheets (38.4 for every engine of both sites).
	tokensPerMillisecond = 38.4
	// rereadWeight is the cost of reading cached tokens again against that of
	// reading new ones: besides the time it is priced.
	rereadWeight = 1.5
	// decodeCost is what one more request in flight costs the others of an
	// engine, as time: some hundred steps, each some hundredths of a
	// millisecond longer.
	decodeCost = 3 * time.Millisecond
	// serviceCost is what a request in flight costs the next at a plain service.
	serviceCost = 10 * time.Millisecond
	// fullCost is added for each request in flight above an upstream's slots.
	fullCost = 200 * time.Millisecond
	// farCost is added for an upstream of another data centre; the way there and
	// back is 1 to 3 ms, and the platform bills the bytes.
	farCost = 8 * time.Millisecond
	// failureCost is added for an upstream that fails all requests, in square of
	// the share that fails.
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
	mutex  sync.Mutex
	states map[definer.UpstreamName]*state
}

// New returns a selector for a node of the data centre.
func New(dataCentre definer.DataCentre) *Selector {
	return &Selector{dataCentre: dataCentre, states: make(map[definer.UpstreamName]*state)}
}

// Choose returns the upstream that a request is expected to be served by
// soonest. The error is of kind NoUpstream. The caller ends the assignment.
func (selector *Selector) Choose(now time.Time, demand *Demand) (*Assignment, error) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.forget(now)
	best := selector.cheapest(now, demand, false)
	if best == nil {
		// All are left alone: rather try one than none.
		best = selector.cheapest(now, demand, true)
	}
	if best == nil {
		return nil, fail("choose", NoUpstream, "%d upstreams are listed, %d were tried", len(demand.Candidates), len(demand.Tried))
	}
	return selector.assign(now, demand, best), nil
}

func (selector *Selector) cheapest(now time.Time, demand *Demand, paused bool) *registrar.Upstream {
	preferred := demand.preferred()
	var best *registrar.Upstream
	var lowest time.Duration
	for _, upstream := range demand.Candidates {
		if demand.Tried[upstream.ID] {
			continue
		}
		state := selector.of(upstream.ID, now)
		if !paused && state.paused(now) {
			continue
		}
		if cost := selector.cost(now, demand, upstream, state, preferred); best == nil || cost < lowest {
			best, lowest = upstream, cost
		}
	}
	return best
}

// paused tells whether the upstream is left alone: its pause lasts, or the one
// request that tries it after the pause has not ended.
func (state *state) paused(now time.Time) bool {
	return now.Before(state.pauseUntil) || state.broken > 0 && state.inFlight > 0
}

// cost returns how long the request is expected to wait, as far as upstreams
// differ.
func (selector *Selector) cost(now time.Time, demand *Demand, upstream *registrar.Upstream, state *state, preferred definer.UpstreamName) time.Duration {
	share := state.failureShare(now)
	cost := time.Duration(share * share * float64(failureCost))
	if state.broken > 0 && !demand.Idempotent {
		cost += riskCost
	}
	if upstream.DataCentre != selector.dataCentre {
		cost += farCost
	}
	if upstream.Slots > 0 && state.inFlight >= upstream.Slots {
		cost += fullCost * time.Duration(1+state.inFlight-upstream.Slots)
	}
	if !demand.Engine {
		return cost + serviceCost*time.Duration(state.inFlight)
	}
	cost += state.expectedDelay(now) + reading(state.unread) + decodeCost*time.Duration(state.inFlight)
	if upstream.ID != preferred {
		missing := demand.sharedTokens() - state.cached(demand.Parts, now)
		cost += time.Duration(rereadWeight * float64(reading(missing)))
	}
	return cost
}

// reading returns how long an engine takes to read so many tokens.
func reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / tokensPerMillisecond * float64(time.Millisecond))
}

func (selector *Selector) assign(now time.Time, demand *Demand, upstream *registrar.Upstream) *Assignment {
	state := selector.of(upstream.ID, now)
	cached := state.cached(demand.Parts, now)
	if upstream.ID == demand.preferred() {
		cached = demand.sharedTokens()
	}
	assignment := &Assignment{
		selector: selector,
		upstream: upstream,
		state:    state,
		unread:   max(demand.PromptTokens-cached, 0),
		parts:    demand.Parts,
		sentAt:   now,
		expected: reading(state.unread),
	}
	assignment.expected += reading(assignment.unread)
	assignment.basis = fmt.Sprintf("inFlight=%d failures=%.0f%% expectedMs=%d preferred=%t",
		state.inFlight, 100*state.failureShare(now), assignment.expected.Milliseconds(), upstream.ID == demand.preferred())
	state.inFlight++
	state.unread += assignment.unread
	return assignment
}

// of returns what is known of an upstream; mutex is held.
func (selector *Selector) of(id definer.UpstreamName, now time.Time) *state {
	known, ok := selector.states[id]
	if !ok {
		known = &state{parts: make(map[string]time.Time)}
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

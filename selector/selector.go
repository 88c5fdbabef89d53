// Package selector chooses the upstream of a request from what this node's own
// requests have shown: how much it has sent where, what came back and how late,
// and which prompts were read where.
package selector

import (
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxReads bounds the readings that wait to be told to peers.
	maxReads = 256
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
		return choice.wait()
	}
	if choice.hopeless(best) {
		return nil, fail("choose", Saturated, "%w", &Saturation{Pause: choice.pause()})
	}
	return choice.assign(best, cost), nil
}

// wait returns the assignment of a request that no upstream takes at once, if one is expected
// to take it within its patience. The error is of kind NoUpstream, Limited or BackingOff.
func (choice *choice) wait() (*Assignment, error) {
	demand := choice.demand
	view, until := choice.soonest()
	if view == nil {
		if after, backsOff := choice.backoffOver(); backsOff {
			return nil, fail("choose", BackingOff, "%w", &Limitation{Pause: choice.comeAgain(after)})
		}
		return nil, fail("choose", NoUpstream, "%d upstreams are listed, %d were tried", len(demand.Candidates), len(demand.Tried))
	}
	after := until.Sub(choice.now)
	if after > demand.Patience {
		return nil, fail("choose", Limited, "%w", &Limitation{Pause: choice.comeAgain(after)})
	}
	assignment := choice.assign(view, after)
	assignment.waits = true
	return assignment, nil
}

// Limit tells whether an upstream has a limit, so that requests to it need permits.
func (selector *Selector) Limit(now time.Time, start definer.UpstreamStart, limited bool) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	if state := selector.of(start, now); state.incarnation == start.Incarnation {
		state.limited, state.permits = limited, nil
	}
}

// service is what is known of the engines of one service together.
type service struct {
	division division
	pace     pace
	// read is what this node's requests bring into the memory of engines.
	read readShare
	// stay is how long answers take an engine's slot, from their first event on.
	stay stay
}

func (selector *Selector) service(name definer.PoolName) *service {
	known, ok := selector.services[name]
	if !ok {
		known = &service{division: division{kinds: make(map[string]*kind)}, pace: newPace()}
		selector.services[name] = known
	}
	return known
}

// of returns what is known of an upstream's latest start that was heard of, which may be
// later than the one asked for; mutex is held. With a later start all that was known of
// the one before goes: what it had read and under way, its failures, pauses and delays.
func (selector *Selector) of(start definer.UpstreamStart, now time.Time) *state {
	known, ok := selector.states[start.Upstream]
	if !ok || known.incarnation < start.Incarnation {
		known = &state{incarnation: start.Incarnation, parts: make(map[string]partState)}
		selector.states[start.Upstream] = known
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
		if state.inFlight == 0 && !state.limited && now.Sub(state.seen) > forgetAfter {
			delete(selector.states, id)
		}
	}
}

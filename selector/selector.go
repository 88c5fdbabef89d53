// Package selector chooses the upstream that a request is sent to (load balancing), from what
// this node has observed of its own requests and what its peers report: requests in flight,
// failures, delays, and which engines hold the prompt's shared parts in their prefix caches.
// Reading a prompt on an engine is called prefill. An upstream's start is one run of its
// process, identified by the incarnation; nothing observed of one start is applied to the next.
package selector

import (
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/predictor"
)

const (
	// maxQueuedReads bounds the reads queued for the next report to peers.
	maxQueuedReads = 256
	// stateLifetime is how long the state of an upstream that is no longer listed is kept.
	stateLifetime = time.Minute
	// sweepInterval is the least time between two sweeps, which look at all states.
	sweepInterval = time.Second
	// sweepThreshold is how many upstreams must be known before such states are removed.
	sweepThreshold = 64
)

// Selector chooses upstreams. It is safe for concurrent use.
type Selector struct {
	dataCentre definer.DataCentre
	// mutex guards the fields below and every Assignment; no other lock is taken while it is
	// held.
	mutex       sync.Mutex
	states      map[definer.UpstreamName]*state
	services    map[definer.PoolName]*service
	peerReports peerReports
	// reads lists the reads not yet reported to peers, at most maxQueuedReads.
	reads []messenger.PartsRead
	// anyLostUntil is the latest time until which an upstream was presumed lost.
	anyLostUntil time.Time
	log          func(number int, pairs ...any)
	// sweptAt is when states were last swept.
	sweptAt time.Time
	scratch scratch
}

// Option sets an optional property of a Selector.
type Option func(*Selector)

// WithLog sets the function that log events are passed to; it must not block. By default they are
// discarded.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(selector *Selector) { selector.log = log }
}

// New returns a Selector for a node in the data centre.
func New(dataCentre definer.DataCentre, options ...Option) *Selector {
	selector := &Selector{
		dataCentre:  dataCentre,
		states:      make(map[definer.UpstreamName]*state),
		services:    make(map[definer.PoolName]*service),
		peerReports: newPeerReports(),
		log:         func(int, ...any) {},
		scratch:     scratch{kinds: make(map[string]messenger.KindWork)},
	}
	for _, option := range options {
		option(selector)
	}
	return selector
}

// Choose returns an assignment of the request to the upstream that is expected to serve it at
// the lowest cost. The caller must end the assignment with End or RecordDenial. The error is an
// *Error of kind NoUpstream, Saturated, Limited or BackingOff.
func (selector *Selector) Choose(now time.Time, demand *Demand) (*Assignment, error) {
	assignment, changes, err := selector.choose(now, demand)
	for _, change := range changes {
		change.log(selector.log)
	}
	return assignment, err
}

// choose returns what Choose returns, and the changes of paces that are to be logged.
func (selector *Selector) choose(now time.Time, demand *Demand) (*Assignment, []paceChange, error) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.sweep(now)
	choice := selector.newChoice(now, demand)
	if probe := choice.dueProbe(demand); probe != nil {
		return choice.assign(probe, 0), choice.paceChanges, nil
	}
	assignment, err := choice.decide()
	return assignment, choice.paceChanges, err
}

// decide returns the assignment of the request, or an error as Choose does.
func (choice *choice) decide() (*Assignment, error) {
	best, cost := choice.pick(false)
	if best == nil {
		// All eligible upstreams are paused: trying one is better than failing the request.
		best, cost = choice.pick(true)
	}
	if best == nil {
		return choice.assignWaiting()
	}
	if choice.saturated(best) {
		return nil, fail("choose", Saturated, "%w", &Saturation{RetryAfter: choice.saturationPause()})
	}
	return choice.assign(best, cost), nil
}

// assignWaiting returns an assignment that waits for a permit, if one is expected within the
// demand's MaxPermitWait. The error is of kind NoUpstream, Limited or BackingOff.
func (choice *choice) assignWaiting() (*Assignment, error) {
	demand := choice.demand
	candidate, until := choice.earliestPermit()
	if candidate == nil {
		if after, backsOff := choice.shortestBackoff(); backsOff {
			return nil, fail("choose", BackingOff, "%w", &Limitation{RetryAfter: choice.retryAfter(after)})
		}
		return nil, fail("choose", NoUpstream, "no upstream may be tried: %d are listed, %d were tried", len(demand.Candidates), len(demand.Tried))
	}
	after := max(until.Sub(choice.now), 0)
	if after > demand.MaxPermitWait || demand.WithoutPermit {
		return nil, fail("choose", Limited, "%w", &Limitation{RetryAfter: choice.retryAfter(after)})
	}
	assignment := choice.assign(candidate, after)
	assignment.waits = true
	return assignment, nil
}

// SetLimited records whether a start of an upstream has a rate limit, in which case each request to
// it needs a permit.
func (selector *Selector) SetLimited(now time.Time, start definer.UpstreamStart, limited bool) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	if state := selector.stateOf(start, now); state.incarnation == start.Incarnation {
		state.limited, state.noPermitUntil = limited, nil
	}
}

// service is what is known of all engines of one service together.
type service struct {
	partition partition
	// order is the order of the engines that were last divided.
	order     engineOrder
	predicted *predictor.Service
	// cacheMisses is the part of prompt tokens that engines had to prefill.
	cacheMisses cacheMisses
	// slotTime is the mean time that an answer occupies an engine's slot, from its first event
	// on.
	slotTime slotTime
	// arrivals holds the rates at which this node receives requests, by rule.
	arrivals map[string]*arrivalRate
}

// arrivalsOf returns the arrival rate of a rule.
func (service *service) arrivalsOf(rule string) *arrivalRate {
	known, ok := service.arrivals[rule]
	if !ok {
		known = &arrivalRate{}
		service.arrivals[rule] = known
	}
	return known
}

func (selector *Selector) service(name definer.PoolName) *service {
	known, ok := selector.services[name]
	if !ok {
		known = &service{partition: partition{rules: make(map[string]*ruleWork)}, predicted: predictor.NewService(), arrivals: make(map[string]*arrivalRate)}
		selector.services[name] = known
	}
	return known
}

// stateOf returns the state of the latest known start of an upstream, which may be later than
// the start passed in; mutex is held. A later start replaces the state of the one before: its
// cached parts, requests in flight, failures, pauses and delays.
func (selector *Selector) stateOf(start definer.UpstreamStart, now time.Time) *state {
	known, ok := selector.states[start.Upstream]
	if !ok || known.incarnation < start.Incarnation {
		known = &state{incarnation: start.Incarnation, parts: make(map[string]partState)}
		selector.states[start.Upstream] = known
	}
	known.lastSeen = now
	return known
}

// sweep removes the states of upstreams that have not been looked up for stateLifetime and
// have neither requests in flight nor a limit and are not presumed lost; mutex is held.
func (selector *Selector) sweep(now time.Time) {
	if len(selector.states) < sweepThreshold || now.Sub(selector.sweptAt) < sweepInterval {
		return
	}
	selector.sweptAt = now
	for id, state := range selector.states {
		if state.inFlight == 0 && !state.limited && !state.lost(now) && now.Sub(state.lastSeen) > stateLifetime {
			delete(selector.states, id)
		}
	}
}

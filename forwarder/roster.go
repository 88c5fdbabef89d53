package forwarder

import (
	"errors"
	"sync"

	"limpetcleat/definer"
)

// errRestarted is the cancellation cause of an attempt whose upstream has restarted: the new
// incarnation knows nothing of the request.
var errRestarted = errors.New("the upstream restarted")

// attemptSet is a set of attempts.
type attemptSet map[*attempt]bool

// attemptRegistry holds the attempts in flight. It is safe for concurrent use.
type attemptRegistry struct {
	// mutex guards attempts; no other lock is taken under it.
	mutex    sync.Mutex
	attempts map[definer.UpstreamName]attemptSet
}

func newAttemptRegistry() *attemptRegistry {
	return &attemptRegistry{attempts: make(map[definer.UpstreamName]attemptSet)}
}

// add registers an attempt.
func (attemptRegistry *attemptRegistry) add(attempt *attempt) {
	attemptRegistry.mutex.Lock()
	defer attemptRegistry.mutex.Unlock()
	upstream := attempt.assignment.Upstream().ID
	if attemptRegistry.attempts[upstream] == nil {
		attemptRegistry.attempts[upstream] = make(attemptSet)
	}
	attemptRegistry.attempts[upstream][attempt] = true
}

// remove deletes an attempt.
func (attemptRegistry *attemptRegistry) remove(attempt *attempt) {
	attemptRegistry.mutex.Lock()
	defer attemptRegistry.mutex.Unlock()
	upstream := attempt.assignment.Upstream().ID
	delete(attemptRegistry.attempts[upstream], attempt)
	if len(attemptRegistry.attempts[upstream]) == 0 {
		delete(attemptRegistry.attempts, upstream)
	}
}

// ofService returns the attempts at the upstreams of a service.
func (attemptRegistry *attemptRegistry) ofService(service definer.PoolName) []*attempt {
	attemptRegistry.mutex.Lock()
	defer attemptRegistry.mutex.Unlock()
	var attempts []*attempt
	for _, set := range attemptRegistry.attempts {
		for attempt := range set {
			if attempt.assignment.Upstream().Service == service {
				attempts = append(attempts, attempt)
			}
		}
	}
	return attempts
}

// atEarlierStarts returns the attempts at earlier incarnations of an upstream. Attempts at an
// upstream without an incarnation number are never ended by a restart.
func (attemptRegistry *attemptRegistry) atEarlierStarts(start definer.UpstreamStart) []*attempt {
	attemptRegistry.mutex.Lock()
	defer attemptRegistry.mutex.Unlock()
	var earlier []*attempt
	for attempt := range attemptRegistry.attempts[start.Upstream] {
		if incarnation := attempt.assignment.Upstream().Incarnation; incarnation != 0 && incarnation < start.Incarnation {
			earlier = append(earlier, attempt)
		}
	}
	return earlier
}

// UpstreamStarted ends the attempts at earlier incarnations of an upstream, which has started anew.
// Requests that may be repeated are sent to another upstream; the callers of the others are
// answered that the request may have run.
func (forwarder *Forwarder) UpstreamStarted(start definer.UpstreamStart) {
	for _, attempt := range forwarder.attempts.atEarlierStarts(start) {
		attempt.cancel(errRestarted)
	}
}

package forwarder

import (
	"errors"
	"sync"

	"limpetcleat/definer"
)

// errRestarted is the cause of an attempt's end when its upstream has started again: the
// start that had the request knows nothing of it any more.
var errRestarted = errors.New("the upstream has started again")

// attempts is a set of attempts.
type attempts map[*attempt]bool

// roster holds the attempts under way at upstreams that tell their starts; those at
// others are never ended for a later one. It is safe for concurrent use.
type roster struct {
	// mutex guards attempts; no other lock is taken under it.
	mutex    sync.Mutex
	attempts map[definer.UpstreamName]attempts
}

func newRoster() *roster {
	return &roster{attempts: make(map[definer.UpstreamName]attempts)}
}

// add takes an attempt in.
func (roster *roster) add(attempt *attempt) {
	start := attempt.assignment.Upstream().Start()
	if start.Incarnation == 0 {
		return
	}
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.attempts[start.Upstream] == nil {
		roster.attempts[start.Upstream] = make(attempts)
	}
	roster.attempts[start.Upstream][attempt] = true
}

// remove takes an attempt out, if it is in.
func (roster *roster) remove(attempt *attempt) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	upstream := attempt.assignment.Upstream().ID
	delete(roster.attempts[upstream], attempt)
	if len(roster.attempts[upstream]) == 0 {
		delete(roster.attempts, upstream)
	}
}

// before returns the attempts at earlier starts of an upstream.
func (roster *roster) before(start definer.UpstreamStart) []*attempt {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	var earlier []*attempt
	for known := range roster.attempts[start.Upstream] {
		if known.assignment.Upstream().Incarnation < start.Incarnation {
			earlier = append(earlier, known)
		}
	}
	return earlier
}

// Started tells that an upstream has started: requests at earlier starts of it end now.
// What may be repeated goes elsewhere, the rest is answered that it may have run.
func (forwarder *Forwarder) Started(start definer.UpstreamStart) {
	for _, attempt := range forwarder.roster.before(start) {
		attempt.cancel(errRestarted)
	}
}

package forwarder

import (
	"sync"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/registrar"
	"limpetcleat/throttler"
)

// place is the permit in use of an attempt, which is returned once. The zero value has none.
type place struct {
	// mutex guards the fields below; the permit is returned without it.
	mutex    sync.Mutex
	holding  *throttler.Holding
	returned bool
}

// set sets the permit. It returns false if the attempt has one, or has returned it.
func (place *place) set(holding *throttler.Holding) bool {
	place.mutex.Lock()
	defer place.mutex.Unlock()
	if place.holding != nil || place.returned {
		return false
	}
	place.holding = holding
	return true
}

// end ends the use of the permit and returns it, or nil if there is none to return.
func (place *place) end() *throttler.Holding {
	place.mutex.Lock()
	defer place.mutex.Unlock()
	if place.returned {
		return nil
	}
	place.returned = true
	return place.holding
}

// needed reports whether the attempt has not ended and has no permit.
func (place *place) needed() bool {
	place.mutex.Lock()
	defer place.mutex.Unlock()
	return place.holding == nil && !place.returned
}

// endPlace returns the attempt's permit once its upstream has ended the request, or need not be
// waited for any more. Further calls have no effect.
func (attempt *attempt) endPlace() {
	holding := attempt.place.end()
	if holding == nil {
		return
	}
	outcome := issuer.Unused
	switch {
	case attempt.accepted:
		outcome = issuer.Served
	case attempt.rejected:
		outcome = issuer.Rejected
	}
	attempt.exchange.forwarder.permits.Return(holding, outcome)
}

// permitRequest describes the permit that the request needs at an upstream.
func (exchange *exchange) permitRequest(upstream *registrar.Upstream) throttler.PermitRequest {
	return throttler.PermitRequest{
		Start: upstream.Start(), DataCentre: upstream.DataCentre, Tier: exchange.rule.Tier,
		Service: upstream.Service, Slots: upstream.Slots, Placed: true,
	}
}

// HoldPlaces makes the attempts in flight at the upstreams of a service, which were sent without a
// permit, count towards the permits in use.
func (forwarder *Forwarder) HoldPlaces(service definer.PoolName) {
	for _, attempt := range forwarder.attempts.ofService(service) {
		if !attempt.place.needed() {
			continue
		}
		holding := forwarder.permits.Adopt(attempt.exchange.permitRequest(attempt.assignment.Upstream()))
		if holding != nil && !attempt.place.set(holding) {
			forwarder.permits.Return(holding, issuer.Unused)
		}
	}
}

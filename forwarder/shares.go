package forwarder

import (
	"sync"
	"time"

	"limpetcleat/apportioner"
	"limpetcleat/definer"
)

// Shares judges which requests exceed their organisation's share of a service whose capacity is
// short.
type Shares interface {
	// SetCapacity sets the number of a service's engines that can be sent requests.
	SetCapacity(now time.Time, service definer.PoolName, engines float64)
	// Record counts a request, whether it will be served or refused.
	Record(now time.Time, claim apportioner.Claim)
	// Judge determines whether a recorded request exceeds its organisation's share; the draw is a
	// random number between 0 and 1.
	Judge(now time.Time, claim apportioner.Claim, draw float64) apportioner.Verdict
}

// WithShares sets what judges which requests exceed their organisation's share; by default none
// does.
func WithShares(shares Shares) Option {
	return func(forwarder *Forwarder) { forwarder.shares = shares }
}

// capacityInterval is how often the live upstreams of a service are counted, which takes some
// milliseconds for 10,000.
const capacityInterval = 100 * time.Millisecond

// capacityClock holds when the live upstreams of each service were last counted. It is safe for
// concurrent use.
type capacityClock struct {
	// mutex guards counted; no other lock is taken while it is held.
	mutex   sync.Mutex
	counted map[definer.PoolName]time.Time
}

// due reports whether the live upstreams of a service have to be counted now, and records that
// they are.
func (capacityClock *capacityClock) due(now time.Time, service definer.PoolName) bool {
	capacityClock.mutex.Lock()
	defer capacityClock.mutex.Unlock()
	if last, ok := capacityClock.counted[service]; ok && now.Sub(last) < capacityInterval {
		return false
	}
	capacityClock.counted[service] = now
	return true
}

// judgeShare counts the request and determines whether it exceeds its organisation's share. Only
// requests of an organisation to a service with engines are judged.
func (exchange *exchange) judgeShare() {
	if exchange.forwarder.shares == nil || exchange.result.Organisation == "" || !exchange.service.Engine {
		return
	}
	forwarder, now := exchange.forwarder, time.Now()
	service := exchange.service.Name
	claim := apportioner.Claim{
		Service:      service,
		Tier:         exchange.rule.Tier,
		Organisation: exchange.result.Organisation,
		Work:         forwarder.selector.PredictWork(now, exchange.demand()),
	}
	if forwarder.capacities.due(now, service) {
		// All listed upstreams count, not only those in the regions of this request: capacity is
		// that of the service, for all organisations.
		live := forwarder.selector.LiveUpstreams(now, forwarder.directory.Upstreams(service))
		forwarder.shares.SetCapacity(now, service, float64(live))
	}
	forwarder.shares.Record(now, claim)
	exchange.result.BeyondShare = forwarder.shares.Judge(now, claim, forwarder.random()).Beyond
}

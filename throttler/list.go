package throttler

import (
	"time"

	"limpetcleat/definer"
)

// Issuance describes to operators the permits that this node issues for an upstream.
type Issuance struct {
	Start definer.UpstreamStart
	// PerSecond is the rate of permits as of the last ask, and Position the current number of
	// present nodes earlier in the order.
	PerSecond float64
	Position  int
	// Waiting is the number of queued asks, and AskedAgo the time since the last ask.
	Waiting  int
	AskedAgo time.Duration
}

// Issuances returns the upstreams whose permits this node issues, in no particular order.
func (throttler *Throttler) Issuances(now time.Time) []Issuance {
	list := throttler.listNodes()
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	var issuances []Issuance
	for start, issuance := range throttler.issuances {
		order := throttler.order(now, list.nodes, start, issuance.dataCentre, issuance.cold.inForce(now))
		issuances = append(issuances, Issuance{
			Start: start, PerSecond: issuance.issuer.Rate(), Position: throttler.countPresent(now, predecessors(order, throttler.self.VM)),
			Waiting: issuance.issuer.Waiting(), AskedAgo: now.Sub(issuance.askedAt),
		})
	}
	return issuances
}

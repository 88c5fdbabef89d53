package throttler

import (
	"time"

	"limpetcleat/definer"
)

// Issuance is what this node hands out of an upstream's permits, for operators.
type Issuance struct {
	Start definer.UpstreamStart
	// PerSecond is the permits a second as of the last ask, Position how many nodes go before
	// this one by now.
	PerSecond float64
	Position  int
	// Waiting counts the asks that wait, AskedAgo is how long ago the last one came.
	Waiting  int
	AskedAgo time.Duration
}

// Issuances returns the upstreams whose permits this node hands out, in no order.
func (throttler *Throttler) Issuances(now time.Time) []Issuance {
	view := throttler.look()
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	var issuances []Issuance
	for start, issuance := range throttler.issuances {
		order := throttler.order(now, view.nodes, start, issuance.dataCentre)
		issuances = append(issuances, Issuance{
			Start: start, PerSecond: issuance.issuer.Rate(), Position: throttler.countPresent(now, before(order, throttler.self.VM)),
			Waiting: issuance.issuer.Waiting(), AskedAgo: now.Sub(issuance.askedAt),
		})
	}
	return issuances
}

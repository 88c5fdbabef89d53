package throttler

import (
	"time"

	"limpetcleat/definer"
)

// Desk is what this node hands out of an upstream's permits, for operators.
type Desk struct {
	Start definer.UpstreamStart
	// PerSecond is the permits a second, Position how many nodes go before this one.
	PerSecond float64
	Position  int
	// Waiting counts the asks that wait, AskedAgo is how long ago the last one came.
	Waiting  int
	AskedAgo time.Duration
}

// Desks returns the upstreams whose permits this node hands out, in no order.
func (throttler *Throttler) Desks(now time.Time) []Desk {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	var desks []Desk
	for start, desk := range throttler.desks {
		desks = append(desks, Desk{
			Start: start, PerSecond: desk.issuer.Rate(), Position: desk.position,
			Waiting: desk.issuer.Waiting(), AskedAgo: now.Sub(desk.askedAt),
		})
	}
	return desks
}

package throttler

import (
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// maxColdSpan bounds for how long a peer's ask makes an upstream count as cold.
const maxColdSpan = time.Minute

// coldSpan is the limit of an upstream while it warms up. The zero value means that it is warm.
type coldSpan struct {
	limit definer.RateLimit
	until time.Time
}

// decodeCold returns what a peer's ask states of the upstream. Values that no configuration can
// contain are ignored.
func decodeCold(now time.Time, message *messenger.PermitAsk) coldSpan {
	perSecond := message.ColdPerSecond
	if message.ColdFor <= 0 || !(perSecond > 0) || math.IsInf(perSecond, 0) {
		return coldSpan{}
	}
	return coldSpan{limit: definer.LimitTo(perSecond), until: now.Add(min(message.ColdFor, maxColdSpan))}
}

// inForce reports whether the upstream is still cold.
func (coldSpan coldSpan) inForce(now time.Time) bool { return now.Before(coldSpan.until) }

// later returns the one of two spans that ends later, with the stricter limit if both are in
// force.
func (coldSpan coldSpan) later(now time.Time, other coldSpan) coldSpan {
	if coldSpan.until.Before(other.until) {
		coldSpan, other = other, coldSpan
	}
	if other.inForce(now) && other.limit.Below(coldSpan.limit) {
		coldSpan.limit = other.limit
	}
	return coldSpan
}

// coldRate returns how many permits a second a node issues for a cold upstream, with the number
// of nodes that precede it on the list. These count whether or not they are present: unlike an
// announced limit, the bound on a cold upstream holds for all nodes together even while they
// cannot reach each other, and it is in force for only a few seconds.
func coldRate(limit float64, predecessors int, listKnown bool) float64 {
	rate := max(limit, minRate) * math.Pow(standInShare, float64(predecessors))
	if !listKnown {
		rate *= unknownListShare
	}
	return rate
}

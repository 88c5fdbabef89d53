package definer

import "strconv"

// RateLimit limits the requests per second that all nodes together send to an upstream, or those
// of them that it rejects. The zero value means no limit.
type RateLimit struct {
	// perSecond is finite and not negative; 0 allows no requests.
	perSecond float64
	limited   bool
}

// LimitTo returns a limit of perSecond per second, which must be finite and not negative.
func LimitTo(perSecond float64) RateLimit { return RateLimit{perSecond: perSecond, limited: true} }

// PerSecond returns the limit per second, and whether there is a limit.
func (rateLimit RateLimit) PerSecond() (perSecond float64, limited bool) {
	return rateLimit.perSecond, rateLimit.limited
}

// Below reports whether rateLimit is stricter than other.
func (rateLimit RateLimit) Below(other RateLimit) bool {
	if !rateLimit.limited || !other.limited {
		return rateLimit.limited && !other.limited
	}
	return rateLimit.perSecond < other.perSecond
}

// String returns the limit per second, or "none" without a limit.
func (rateLimit RateLimit) String() string {
	if !rateLimit.limited {
		return "none"
	}
	return strconv.FormatFloat(rateLimit.perSecond, 'g', -1, 64)
}

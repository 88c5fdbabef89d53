package definer

import "strconv"

// RateLimit is how many requests a second an upstream takes from all nodes together. The
// zero value is no limit.
type RateLimit struct {
	// perSecond is finite and not negative; 0 takes no request at all.
	perSecond float64
	named     bool
}

// LimitTo returns a limit of so many requests a second, which is finite and not negative.
func LimitTo(perSecond float64) RateLimit { return RateLimit{perSecond: perSecond, named: true} }

// PerSecond returns the requests a second, and whether there is a limit at all.
func (rateLimit RateLimit) PerSecond() (perSecond float64, named bool) {
	return rateLimit.perSecond, rateLimit.named
}

// Below tells whether the limit lets less through than the other.
func (rateLimit RateLimit) Below(other RateLimit) bool {
	if !rateLimit.named || !other.named {
		return rateLimit.named && !other.named
	}
	return rateLimit.perSecond < other.perSecond
}

// String returns the requests a second, or none.
func (rateLimit RateLimit) String() string {
	if !rateLimit.named {
		return "none"
	}
	return strconv.FormatFloat(rateLimit.perSecond, 'g', -1, 64)
}

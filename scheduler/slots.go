package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/definer"
)

// upstream holds the scheduling state of one upstream.
type upstream struct {
	name definer.UpstreamName
	// definition is nil until the upstream is configured.
	definition *definer.Upstream
	// present is false once the upstream has left the configuration.
	present bool
	// position is the index of the upstream's bit in the mask of an upstream set.
	position int
	// limit is the number of requests that may run at once.
	limit int
	// unprotectedLimit is the part of limit that unprotected classes may use.
	unprotectedLimit int
	// active counts the grants that run and are not paused; unprotectedActive counts
	// the unprotected ones among them.
	active            int
	unprotectedActive int
	breaker           breaker
	// rateLimiter bounds the requests per second; nil means that there is no bound.
	rateLimiter *rate.Limiter
	// rateExhausted reports whether rateLimiter allows no request now.
	rateExhausted bool
	// backoffUntil is the time until which the upstream asked not to be sent requests;
	// backingOff reports whether it was in the future at the last updateBackoff; unproven reports
	// whether the upstream has accepted no request since.
	backoffUntil time.Time
	backingOff   bool
	unproven     bool
	// trialUntil is when the trial request after a backoff counts as accepted; zero while no
	// trial is under way.
	trialUntil time.Time
	// cost is the expected work of all grants of the upstream, in tokens.
	cost float64
	// preemptible holds the active grants that may be paused, oldest first.
	preemptible []*grant
	// paused holds the paused grants, oldest first. At each unprotected grant, the
	// paused and the unprotected active grants together are bounded by unprotectedLimit
	// plus pausedAllowance.
	paused []*grant
}

// hasRoom reports whether a protected or an unprotected request may start now.
func (upstream *upstream) hasRoom(protected bool) bool {
	if upstream.active >= upstream.limit || !upstream.present || !upstream.acceptsRequests() {
		return false
	}
	if protected {
		return true
	}
	return upstream.unprotectedActive < upstream.unprotectedLimit && upstream.withinPausedBound() && upstream.breaker.admits(upstream.active)
}

// withinPausedBound reports whether one more unprotected grant respects the bound on
// paused grants.
func (upstream *upstream) withinPausedBound() bool {
	if len(upstream.paused) == 0 {
		return true
	}
	return upstream.unprotectedActive+len(upstream.paused) < upstream.unprotectedLimit+upstream.pausedAllowance()
}

// resumable reports whether a paused grant may run again.
func (upstream *upstream) resumable() bool {
	if len(upstream.paused) == 0 || upstream.active >= upstream.limit {
		return false
	}
	return upstream.unprotectedActive < upstream.unprotectedLimit
}

// load returns the number of grants, paused ones included, relative to the limit.
func (upstream *upstream) load() float64 {
	return float64(upstream.active+len(upstream.paused)) / float64(max(upstream.limit, 1))
}

// reserve divides each upstream's limit between protected and unprotected
// classes. The protected slots add up to the share of all slots, rounded up;
// at least one slot of each upstream stays unprotected unless the share is 1.
func reserve(table []*upstream, share float64) {
	wanted, given := 0.0, 0
	for _, upstream := range table {
		if share >= 1 {
			upstream.unprotectedLimit = 0
			continue
		}
		wanted += share * float64(upstream.limit)
		part := int(math.Ceil(wanted - rounding - float64(given)))
		part = max(0, min(part, upstream.limit-1))
		given += part
		upstream.unprotectedLimit = upstream.limit - part
	}
}

// rounding is a tolerance that keeps floating-point errors from reserving one slot too
// many.
const rounding = 1e-9

// victim returns the grant that the engine would pause for a request of the given
// priority, or nil.
func (upstream *upstream) victim(priority int) *grant {
	var victim *grant
	for _, candidate := range upstream.preemptible {
		if candidate.priority <= priority {
			continue
		}
		if victim == nil || compareUrgency(candidate, victim) > 0 {
			victim = candidate
		}
	}
	return victim
}

// allowsPreemption reports whether one more unprotected request may start by pausing
// another grant.
func (upstream *upstream) allowsPreemption() bool {
	if upstream.active > upstream.limit || upstream.unprotectedActive > upstream.unprotectedLimit {
		return false
	}
	return upstream.unprotectedActive+len(upstream.paused) < upstream.unprotectedLimit+upstream.pausedAllowance()
}

// pausedAllowance is the number of paused grants up to which unprotected requests may
// cause grants to be paused.
func (upstream *upstream) pausedAllowance() int { return upstream.limit }

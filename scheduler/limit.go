package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/definer"
)

const (
	// burstWindow is the time over which the unused requests of a rate limit accumulate into
	// the burst size; minBurst is the smallest burst size.
	burstWindow = 250 * time.Millisecond
	minBurst    = 2
	// minPerSecond is the lowest rate at which an upstream gets requests: an upstream with a
	// limit of 0 could otherwise never announce a higher limit.
	minPerSecond = 0.2
	// maxPerSecond bounds limits to values that the rate limiter can count.
	maxPerSecond = 1e6
)

// SetRateLimit sets the rate limit of an upstream, in requests per second, and returns the
// decisions that are now possible. It ignores an unknown upstream. A new limit starts with no
// accumulated requests: another scheduler may have granted all of them already.
func (scheduler *Scheduler) SetRateLimit(now time.Time, name definer.UpstreamName, limit definer.RateLimit) []Decision {
	upstream, known := scheduler.byName[name]
	if !known {
		return nil
	}
	perSecond, limited := limit.PerSecond()
	if !limited {
		upstream.rateLimiter = nil
		return scheduler.decide(now)
	}
	bounded := min(max(perSecond, minPerSecond), maxPerSecond)
	burst := max(minBurst, int(math.Ceil(bounded*burstWindow.Seconds())))
	if upstream.rateLimiter == nil {
		upstream.rateLimiter = rate.NewLimiter(rate.Limit(bounded), burst)
		upstream.rateLimiter.AllowN(now, burst)
	}
	upstream.rateLimiter.SetLimitAt(now, rate.Limit(bounded))
	upstream.rateLimiter.SetBurstAt(now, burst)
	return scheduler.decide(now)
}

// updateRate sets rateExhausted to whether the limit allows no request now.
func (upstream *upstream) updateRate(now time.Time) {
	upstream.rateExhausted = upstream.rateLimiter != nil && upstream.rateLimiter.TokensAt(now) < 1
}

// consumePermit counts one request against the rate limit.
func (upstream *upstream) consumePermit(now time.Time) {
	if upstream.rateLimiter != nil {
		upstream.rateLimiter.AllowN(now, 1)
		upstream.updateRate(now)
	}
}

package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/definer"
)

const (
	// burstTime is the time whose allowance an organisation may use at once.
	burstTime = time.Second
	// minSweepSize is the least number of buckets at which full ones are dropped.
	minSweepSize = 256
)

// Rate rateLimiter the requests per second of each organisation at one entry VM, with
// a token bucket for each. It is not safe for concurrent use.
type Rate struct {
	// buckets holds a token bucket for each organisation whose bucket may not be
	// full.
	buckets map[definer.OrganisationName]*rate.Limiter
	// nextSweepSize is the number of buckets at which full ones are dropped next.
	nextSweepSize int
}

// NewRate returns a Rate in which each organisation may use its whole burst.
func NewRate() *Rate {
	return &Rate{buckets: make(map[definer.OrganisationName]*rate.Limiter), nextSweepSize: minSweepSize}
}

// Allow reports whether the organisation may send a request now, and takes a token
// from its bucket if it may. Otherwise it takes none and returns the time until the
// next request is allowed. An organisation without a positive rate is not limited.
func (rateLimiter *Rate) Allow(now time.Time, organisation *definer.Organisation) (bool, time.Duration) {
	perSecond := organisation.RequestsPerSecond()
	if perSecond <= 0 {
		delete(rateLimiter.buckets, organisation.Name())
		return true, 0
	}
	bucket := rateLimiter.bucket(now, organisation.Name(), perSecond)
	reservation := bucket.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return true, 0
	}
	reservation.CancelAt(now)
	return false, delay
}

func (rateLimiter *Rate) bucket(now time.Time, name definer.OrganisationName, perSecond float64) *rate.Limiter {
	burst := max(1, int(perSecond*burstTime.Seconds()))
	found, ok := rateLimiter.buckets[name]
	if !ok {
		rateLimiter.sweep(now)
		found = rate.NewLimiter(rate.Limit(perSecond), burst)
		rateLimiter.buckets[name] = found
		return found
	}
	if found.Limit() != rate.Limit(perSecond) {
		found.SetLimitAt(now, rate.Limit(perSecond))
		found.SetBurstAt(now, burst)
	}
	return found
}

// sweep drops full buckets: a new bucket is full as well. The next sweep follows
// when the number of buckets kept has doubled, which keeps the amortised cost of a
// request small.
func (rateLimiter *Rate) sweep(now time.Time) {
	if len(rateLimiter.buckets) < rateLimiter.nextSweepSize {
		return
	}
	for name, bucket := range rateLimiter.buckets {
		if bucket.TokensAt(now) >= float64(bucket.Burst()) {
			delete(rateLimiter.buckets, name)
		}
	}
	rateLimiter.nextSweepSize = max(minSweepSize, 2*len(rateLimiter.buckets))
}

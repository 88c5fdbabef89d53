package limiter

import (
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/definer"
)

const (
	// burstTime is how much of its rate an organisation may use at once.
	burstTime = time.Second
	// sweepAt is the number of organisations at which idle ones are dropped.
	sweepAt = 256
)

// Rate bounds the requests a second of each organisation at one entry VM.
type Rate struct {
	// buckets holds the organisations that may not have their whole burst.
	buckets map[definer.OrganisationName]*rate.Limiter
	// sweepAt is the number of buckets at which full ones are dropped next.
	sweepAt int
}

// NewRate returns a rate that has counted nothing.
func NewRate() *Rate {
	return &Rate{buckets: make(map[definer.OrganisationName]*rate.Limiter), sweepAt: sweepAt}
}

// Allow counts one request. It returns true when the organisation is within
// its rate, else how long until it may send the next one.
func (limits *Rate) Allow(now time.Time, organisation *definer.Organisation) (bool, time.Duration) {
	perSecond := organisation.RequestsPerSecond()
	if perSecond <= 0 {
		delete(limits.buckets, organisation.Name())
		return true, 0
	}
	bucket := limits.bucket(now, organisation.Name(), perSecond)
	reservation := bucket.ReserveN(now, 1)
	delay := reservation.DelayFrom(now)
	if delay == 0 {
		return true, 0
	}
	reservation.CancelAt(now)
	return false, delay
}

func (limits *Rate) bucket(now time.Time, name definer.OrganisationName, perSecond float64) *rate.Limiter {
	burst := max(1, int(perSecond*burstTime.Seconds()))
	found, ok := limits.buckets[name]
	if !ok {
		limits.sweep(now)
		found = rate.NewLimiter(rate.Limit(perSecond), burst)
		limits.buckets[name] = found
		return found
	}
	if found.Limit() != rate.Limit(perSecond) {
		found.SetLimitAt(now, rate.Limit(perSecond))
		found.SetBurstAt(now, burst)
	}
	return found
}

// sweep drops full buckets; a new one would be the same. What is kept then may
// double before the next look, so that looking costs little for each request.
func (limits *Rate) sweep(now time.Time) {
	if len(limits.buckets) < limits.sweepAt {
		return
	}
	for name, bucket := range limits.buckets {
		if bucket.TokensAt(now) >= float64(bucket.Burst()) {
			delete(limits.buckets, name)
		}
	}
	limits.sweepAt = max(sweepAt, 2*len(limits.buckets))
}

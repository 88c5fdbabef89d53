package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/definer"
)

const (
	// permitBurst is the time for which requests that an upstream with a limit did not get
	// are kept, and leastBurst how many are at least.
	permitBurst = 250 * time.Millisecond
	leastBurst  = 2
	// leastPerSecond is the least rate at which an upstream is asked: one that takes nothing
	// would otherwise never be heard to take something again.
	leastPerSecond = 0.2
	// mostPerSecond bounds limits to what can be counted.
	mostPerSecond = 1e6
)

// SetLimit bounds how many requests a second an upstream gets, and returns what can now be
// decided. Those of a limit that is new are counted from now on: another scheduler may have
// granted all before.
func (scheduler *Scheduler) SetLimit(now time.Time, name definer.UpstreamName, limit definer.RateLimit) []Decision {
	slots, known := scheduler.byName[name]
	if !known {
		return nil
	}
	perSecond, limited := limit.PerSecond()
	if !limited {
		slots.permits = nil
		return scheduler.decide(now)
	}
	bounded := min(max(perSecond, leastPerSecond), mostPerSecond)
	burst := max(leastBurst, int(math.Ceil(bounded*permitBurst.Seconds())))
	if slots.permits == nil {
		slots.permits = rate.NewLimiter(rate.Limit(bounded), burst)
		slots.permits.AllowN(now, burst)
	}
	slots.permits.SetLimitAt(now, rate.Limit(bounded))
	slots.permits.SetBurstAt(now, burst)
	return scheduler.decide(now)
}

// refill takes up what the limit allows by now.
func (slots *slots) refill(now time.Time) {
	slots.spent = slots.permits != nil && slots.permits.TokensAt(now) < 1
}

// spend counts a request.
func (slots *slots) spend(now time.Time) {
	if slots.permits != nil {
		slots.permits.AllowN(now, 1)
		slots.refill(now)
	}
}

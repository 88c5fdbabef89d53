package limiter

import (
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// increaseStep is what a limit grows by after as many observations within the
	// target as the limit allows concurrent requests.
	increaseStep = 1.0
	// latencyDecreaseFactor multiplies the limit of an upstream that is slower than
	// the target.
	latencyDecreaseFactor = 0.85
	// failureDecreaseFactor multiplies the limit after a failed attempt.
	failureDecreaseFactor = 0.7
	// minUtilisation is the share of a limit that must be in use for it to be raised.
	minUtilisation = 0.75
	// meanDecay is the weight of the previous mean in the exponential moving average
	// of latency ratios.
	meanDecay = 0.8
	// decreaseInterval is the least time between two decreases. Requests that were
	// running at the first decrease were sent under the old limit and would
	// otherwise lower the new one as well. The limit is not raised in it either.
	decreaseInterval = 2 * time.Second
	// queueingFactor is the multiple of its least latency above which a service is
	// taken to queue requests.
	queueingFactor = 2.0
	// leastLatencyGrowth multiplies the least latency at each observation, so that
	// a service that became slower for good gets a new least latency in time.
	leastLatencyGrowth = 1.002
)

// Limiter adapts the concurrency limit of each upstream by additive increase and
// multiplicative decrease. It compares the latencies of attempts with the targets
// of their class and ignores the load that the upstream reports itself. A limit
// is raised only while it is in use. It never falls below 1, so that a slow
// upstream keeps getting requests, by which its recovery shows. A Limiter is not
// safe for concurrent use.
type Limiter struct {
	// states holds one entry for each upstream that was observed.
	states map[definer.UpstreamName]*upstreamState
}

// upstreamState is the limit of one upstream and what it is derived from.
type upstreamState struct {
	// limit is between 1 and the maximum of slots of the upstream.
	limit float64
	// latencyRatios holds, for each class, the exponential moving average of
	// latency divided by target; a ratio above 1 misses the target.
	latencyRatios map[definer.ClassName]float64
	// running is the number of requests that ran when the last one ended.
	running int
	// leastLatency is the least latency of a service, raised by leastLatencyGrowth
	// at each observation.
	leastLatency time.Duration
	// decreasedAt is when the limit was last decreased; zero if it never was.
	decreasedAt time.Time
}

// New returns a Limiter that starts each upstream with its configured number of
// slots.
func New() *Limiter { return &Limiter{states: make(map[definer.UpstreamName]*upstreamState)} }

// Limit returns the number of requests that the upstream may run concurrently.
func (limiter *Limiter) Limit(upstream *definer.Upstream) int {
	found, ok := limiter.states[upstream.Name()]
	if !ok {
		return upstream.Slots()
	}
	return min(max(int(found.limit), 1), upstream.MaxSlots())
}

// Retain drops the state of all upstreams except the given ones.
func (limiter *Limiter) Retain(upstreams []*definer.Upstream) {
	kept := make(map[definer.UpstreamName]*upstreamState, len(upstreams))
	for _, upstream := range upstreams {
		if found, ok := limiter.states[upstream.Name()]; ok {
			kept[upstream.Name()] = found
		}
	}
	limiter.states = kept
}

// Observe adapts the limit of the upstream to the outcome of one attempt.
// ObserveConcurrency must be called first with the number of requests that ran.
func (limiter *Limiter) Observe(now time.Time, upstream *definer.Upstream, class *definer.Class, observation messenger.Observation) {
	found := limiter.stateOf(upstream)
	if observation.Failed {
		found.decrease(now, failureDecreaseFactor)
		return
	}
	latencyRatio, known := found.latencyRatio(class, observation)
	if !known {
		return
	}
	mean := meanDecay*found.latencyRatios[class.Name()] + (1-meanDecay)*latencyRatio
	found.latencyRatios[class.Name()] = mean
	if mean > 1 && latencyRatio > 1 {
		found.decrease(now, latencyDecreaseFactor)
		return
	}
	if latencyRatio <= 1 {
		found.increase(now, upstream.MaxSlots())
	}
}

// ObserveConcurrency records how many requests ran on the upstream when one of them ended. It
// must be called before Observe for that request.
func (limiter *Limiter) ObserveConcurrency(upstream *definer.Upstream, running int) {
	limiter.stateOf(upstream).running = running
}

func (limiter *Limiter) stateOf(upstream *definer.Upstream) *upstreamState {
	found, ok := limiter.states[upstream.Name()]
	if !ok {
		found = &upstreamState{limit: float64(upstream.Slots()), latencyRatios: make(map[definer.ClassName]float64)}
		limiter.states[upstream.Name()] = found
	}
	return found
}

// increase raises the limit, up to most, if it is in use and was not decreased
// within the decreaseInterval.
func (upstreamState *upstreamState) increase(now time.Time, most int) {
	recovering := !upstreamState.decreasedAt.IsZero() && now.Sub(upstreamState.decreasedAt) < decreaseInterval
	if recovering || float64(upstreamState.running) < minUtilisation*math.Floor(upstreamState.limit) {
		return
	}
	upstreamState.limit = min(upstreamState.limit+increaseStep/upstreamState.limit, float64(most))
}

// decrease multiplies the limit by the factor, at most once in each
// decreaseInterval.
func (upstreamState *upstreamState) decrease(now time.Time, factor float64) {
	if !upstreamState.decreasedAt.IsZero() && now.Sub(upstreamState.decreasedAt) < decreaseInterval {
		return
	}
	upstreamState.decreasedAt = now
	upstreamState.limit = max(1, upstreamState.limit*factor)
}

// latencyRatio returns the latency of an attempt divided by its target, and whether
// the observation holds a latency. A ratio above 1 misses the target.
func (upstreamState *upstreamState) latencyRatio(class *definer.Class, observation messenger.Observation) (float64, bool) {
	latencyRatio := 0.0
	if observation.BetweenTokens > 0 && class.BetweenTokens() > 0 {
		latencyRatio = ratio(observation.BetweenTokens, class.BetweenTokens())
	}
	// An engine whose batch is full delays the first token only: the time between
	// tokens stays short.
	first := observation.FirstToken - observation.Paused
	if first > 0 && class.FirstToken() > 0 {
		latencyRatio = max(latencyRatio, ratio(first, class.FirstToken()))
	}
	if latencyRatio > 0 {
		return latencyRatio, true
	}
	if observation.Tokens > 0 || observation.Total <= 0 {
		return 0, false
	}
	return upstreamState.serviceLatencyRatio(observation.Total), true
}

// serviceLatencyRatio returns the duration of a call to a service divided by the
// latency at which the service is taken to queue. Calls to services have no target.
func (upstreamState *upstreamState) serviceLatencyRatio(total time.Duration) float64 {
	least := time.Duration(float64(upstreamState.leastLatency) * leastLatencyGrowth)
	if upstreamState.leastLatency == 0 || total < least {
		least = total
	}
	upstreamState.leastLatency = least
	return float64(total) / (queueingFactor * float64(least))
}

func ratio(observed, target time.Duration) float64 { return float64(observed) / float64(target) }

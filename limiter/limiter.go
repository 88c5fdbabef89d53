package limiter

import (
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// raise is what a full round of good observations adds to a limit.
	raise = 1.0
	// lower is the factor of a limit after a round with too slow an upstream.
	lower = 0.85
	// fail is the factor of a limit after a failed attempt.
	fail = 0.7
	// inUse is the part of a limit that must run for it to be raised.
	inUse = 0.75
	// keep is the part of the past in the mean of observations.
	keep = 0.8
	// calm is the least time between two decreases, so that the requests that
	// were under way do not count against a limit twice.
	calm = 2 * time.Second
	// queued is the factor of the least latency of a service at which it is
	// taken to queue.
	queued = 2.0
	// drift is the part by which the least latency is raised with each
	// observation, so that it is learnt anew after a change.
	drift = 1.002
)

// Limiter adapts the limit of each upstream: additive increase, multiplicative
// decrease. It compares what attempts saw with the targets of their class; the
// upstream's own report plays no part. A limit is raised only while it is in
// use, and falls to 1 at least, so that a straggler keeps getting requests and
// shows by them when it has recovered.
type Limiter struct {
	// states holds what is known of each upstream.
	states map[definer.UpstreamName]*state
}

// state is what is known of one upstream.
type state struct {
	// limit is between 1 and the upstream's most slots.
	limit float64
	// strain is, for each class, the decayed mean of what was observed, relative
	// to the target; above 1 is too slow.
	strain map[definer.ClassName]float64
	// used is the number of requests that ran when one ended last.
	used int
	// least is the least latency of a service seen of late.
	least time.Duration
	// lowered is when the limit was last decreased.
	lowered time.Time
}

// New returns a limiter that starts each upstream with its configured slots.
func New() *Limiter { return &Limiter{states: make(map[definer.UpstreamName]*state)} }

// Limit returns how many requests the upstream may run at once.
func (limiter *Limiter) Limit(upstream *definer.Upstream) int {
	found, ok := limiter.states[upstream.Name()]
	if !ok {
		return upstream.Slots()
	}
	return min(max(int(found.limit), 1), upstream.MaxSlots())
}

// Retain drops what is known of all upstreams but the given ones.
func (limiter *Limiter) Retain(upstreams []*definer.Upstream) {
	kept := make(map[definer.UpstreamName]*state, len(upstreams))
	for _, upstream := range upstreams {
		if found, ok := limiter.states[upstream.Name()]; ok {
			kept[upstream.Name()] = found
		}
	}
	limiter.states = kept
}

// Observe takes in what one attempt showed.
func (limiter *Limiter) Observe(now time.Time, upstream *definer.Upstream, class *definer.Class, observation messenger.Observation) {
	found := limiter.state(upstream)
	if observation.Failed {
		found.decrease(now, fail)
		return
	}
	strain, known := found.measure(class, observation)
	if !known {
		return
	}
	mean := keep*found.strain[class.Name()] + (1-keep)*strain
	found.strain[class.Name()] = mean
	if mean > 1 && strain > 1 {
		found.decrease(now, lower)
		return
	}
	if strain <= 1 {
		found.increase(now, upstream.MaxSlots())
	}
}

// Use takes in how many requests ran on an upstream when one of them ended. It
// is to be called before Observe.
func (limiter *Limiter) Use(upstream *definer.Upstream, running int) {
	limiter.state(upstream).used = running
}

func (limiter *Limiter) state(upstream *definer.Upstream) *state {
	found, ok := limiter.states[upstream.Name()]
	if !ok {
		found = &state{limit: float64(upstream.Slots()), strain: make(map[definer.ClassName]float64)}
		limiter.states[upstream.Name()] = found
	}
	return found
}

// increase raises the limit if it is in use and nothing was too slow of late.
func (state *state) increase(now time.Time, most int) {
	recovering := !state.lowered.IsZero() && now.Sub(state.lowered) < calm
	if recovering || float64(state.used) < inUse*math.Floor(state.limit) {
		return
	}
	state.limit = min(state.limit+raise/state.limit, float64(most))
}

// decrease lowers the limit, at most once in a calm time.
func (state *state) decrease(now time.Time, factor float64) {
	if !state.lowered.IsZero() && now.Sub(state.lowered) < calm {
		return
	}
	state.lowered = now
	state.limit = max(1, state.limit*factor)
}

// measure returns how an attempt compares with its target; above 1 is too slow.
func (state *state) measure(class *definer.Class, observation messenger.Observation) (float64, bool) {
	strain := 0.0
	if observation.BetweenTokens > 0 && class.BetweenTokens() > 0 {
		strain = ratio(observation.BetweenTokens, class.BetweenTokens())
	}
	// An engine whose batch is full shows it by the first token alone.
	first := observation.FirstToken - observation.Paused
	if first > 0 && class.FirstToken() > 0 {
		strain = max(strain, ratio(first, class.FirstToken()))
	}
	if strain > 0 {
		return strain, true
	}
	if observation.Tokens > 0 || observation.Total <= 0 {
		return 0, false
	}
	return state.latency(observation.Total), true
}

// latency compares the time of a service's call with the least seen of late.
func (state *state) latency(total time.Duration) float64 {
	least := time.Duration(float64(state.least) * drift)
	if state.least == 0 || total < least {
		least = total
	}
	state.least = least
	return float64(total) / (queued * float64(least))
}

func ratio(seen, target time.Duration) float64 { return float64(seen) / float64(target) }

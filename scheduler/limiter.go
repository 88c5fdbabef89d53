package scheduler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Limiter gives the number of slots of an upstream and learns from what is
// observed of it.
type Limiter interface {
	// Limit returns how many requests the upstream may run at once.
	Limit(upstream *definer.Upstream) int
	// Observe takes in what one attempt showed.
	Observe(now time.Time, upstream *definer.Upstream, class *definer.Class, observation messenger.Observation)
}

// UseLimiter is a Limiter that also learns how many requests ran on an upstream
// when one of them ended.
type UseLimiter interface {
	Limiter
	// Use takes in the number of running requests; it is called before Observe.
	Use(upstream *definer.Upstream, running int)
}

// fixedLimiter gives each upstream the slots of its configuration.
type fixedLimiter struct{}

// Limit returns the configured slots.
func (fixedLimiter) Limit(upstream *definer.Upstream) int { return upstream.Slots() }

// Observe learns nothing.
func (fixedLimiter) Observe(time.Time, *definer.Upstream, *definer.Class, messenger.Observation) {}

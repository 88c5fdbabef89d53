package scheduler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Limiter determines the concurrency limit of each upstream and may adapt it to the
// observed attempts.
type Limiter interface {
	// Limit returns how many requests the upstream may run at once.
	Limit(upstream *definer.Upstream) int
	// Observe records the observation of one finished attempt.
	Observe(now time.Time, upstream *definer.Upstream, class *definer.Class, observation messenger.Observation)
}

// ConcurrencyLimiter is a Limiter that is also told how many requests ran on an upstream when
// one of them ended.
type ConcurrencyLimiter interface {
	Limiter
	// ObserveConcurrency records the number of running requests, the one that ended included; it is
	// called before Observe.
	ObserveConcurrency(upstream *definer.Upstream, running int)
}

// fixedLimiter gives each upstream the slots of its configuration.
type fixedLimiter struct{}

// Limit returns the configured slots.
func (fixedLimiter) Limit(upstream *definer.Upstream) int { return upstream.Slots() }

// Observe does nothing.
func (fixedLimiter) Observe(time.Time, *definer.Upstream, *definer.Class, messenger.Observation) {}

package definer

import "time"

// WarmUp describes how the upstreams of a service warm up. After a start an upstream is cold for
// some time, in which it accepts only a limited rate of requests from all nodes together. The zero
// value means that upstreams need no warm-up.
type WarmUp struct {
	// Span is how long an upstream is cold after a start.
	Span time.Duration
	// PerSecond is the rate of requests that a cold upstream accepts; 0 means no limit.
	PerSecond float64
}

// Limit returns the limit of a cold upstream.
func (warmUp WarmUp) Limit() RateLimit {
	if warmUp.PerSecond <= 0 {
		return RateLimit{}
	}
	return LimitTo(warmUp.PerSecond)
}

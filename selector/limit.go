package selector

import (
	"fmt"
	"time"
)

// Limitation is the error for a request whose upstreams have limits without a permit left, or
// have asked for a backoff.
type Limitation struct {
	// RetryAfter is the time after which one of the upstreams may accept the request.
	RetryAfter time.Duration
}

// Error returns the message with the pause.
func (limitation *Limitation) Error() string {
	return fmt.Sprintf("no upstream accepts the request; retry after %v", limitation.RetryAfter)
}

// withhold records that there are no permits before the time until for requests of a tier, and
// thus for those of lower tiers.
func (state *state) withhold(tier int, until time.Time) {
	if state.noPermitUntil == nil {
		state.noPermitUntil = make(map[int]time.Time)
	}
	state.noPermitUntil[tier] = until
}

// withheldUntil returns the time before which there are no permits for requests of a tier.
func (state *state) withheldUntil(tier int) time.Time {
	var latest time.Time
	for above, until := range state.noPermitUntil {
		if above <= tier && until.After(latest) {
			latest = until
		}
	}
	return latest
}

// withheld reports whether there are no permits now for requests of a tier.
func (state *state) withheld(tier int, now time.Time) bool {
	return state.noPermitUntil != nil && state.withheldUntil(tier).After(now)
}

package selector

import (
	"fmt"
	"time"
)

// Limitation tells that the upstreams that would serve a request have limits, which are used
// up, or have asked for a backoff.
type Limitation struct {
	// Pause is after what time one of them may take it.
	Pause time.Duration
}

// Error describes the limitation.
func (limitation *Limitation) Error() string {
	return fmt.Sprintf("no upstream takes a request for %v", limitation.Pause)
}

// withhold notes that there are no permits for requests of a tier before the time, and so
// none for those of lower ones.
func (state *state) withhold(tier int, until time.Time) {
	if state.permits == nil {
		state.permits = make(map[int]time.Time)
	}
	state.permits[tier] = until
}

// withheldUntil returns until when there are no permits for requests of a tier.
func (state *state) withheldUntil(tier int) time.Time {
	var latest time.Time
	for above, until := range state.permits {
		if above <= tier && until.After(latest) {
			latest = until
		}
	}
	return latest
}

// withheld tells whether there are no permits for requests of a tier.
func (state *state) withheld(tier int, now time.Time) bool {
	return state.permits != nil && state.withheldUntil(tier).After(now)
}

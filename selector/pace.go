package selector

import "time"

const (
	// initialSpeed is the assumed prefill speed, in tokens per millisecond, until one is
	// observed; models of 30 to 120 billion parameters read 20 to 100.
	initialSpeed = 40.0
	// speedStep is the relative change of the speed for one observation: forty of them correct
	// a factor of three, and an outlier counts no more than any other observation.
	speedStep = 0.03
	// minObservedTokens is the least number of tokens for which the speed is observed: with
	// fewer, the parts of the latency other than prefill would distort it.
	minObservedTokens = 2000
)

// prefillSpeed estimates how fast the engines of a service prefill prompts. It tracks the
// median of the observed speeds: the tokens queued and requested, divided by the time to the
// first event.
type prefillSpeed struct {
	// tokens is the speed in tokens per millisecond, above 0.
	tokens float64
}

func newPrefillSpeed() prefillSpeed { return prefillSpeed{tokens: initialSpeed} }

// prefillTime returns how long an engine takes to prefill the tokens.
func (prefillSpeed *prefillSpeed) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / prefillSpeed.tokens * float64(time.Millisecond))
}

// observe adjusts the speed by one observation: the first event came after the time took, with
// that many tokens to prefill before it.
func (prefillSpeed *prefillSpeed) observe(tokens int, took time.Duration) {
	if tokens < minObservedTokens || took <= 0 {
		return
	}
	if took < prefillSpeed.prefillTime(tokens) {
		prefillSpeed.tokens *= 1 + speedStep
		return
	}
	prefillSpeed.tokens /= 1 + speedStep
}

package selector

import "time"

const (
	// firstPace is how many prompt tokens an engine is taken to read in a millisecond
	// until it is known; models of 30 to 120 billion parameters read 20 to 100.
	firstPace = 40.0
	// paceStep is the part by which one observation moves the pace: forty of them
	// correct it by three times, and one that is far off counts like any other.
	paceStep = 0.03
	// leastObserved is the least number of tokens from which a pace is learned: below
	// it, what an answer takes beside reading counts for too much.
	leastObserved = 2000
)

// pace is how fast the engines of a service read prompts. It follows the median of
// what is observed: tokens waiting and asked for, over the time to the first event.
type pace struct {
	// tokens is how many are read in a millisecond, above 0.
	tokens float64
}

func newPace() pace { return pace{tokens: firstPace} }

// reading returns how long an engine takes to read so many tokens.
func (pace *pace) reading(tokens int) time.Duration {
	return time.Duration(float64(tokens) / pace.tokens * float64(time.Millisecond))
}

// observe takes in that the first event behind so many unread tokens took so long.
func (pace *pace) observe(tokens int, took time.Duration) {
	if tokens < leastObserved || took <= 0 {
		return
	}
	if took < pace.reading(tokens) {
		pace.tokens *= 1 + paceStep
		return
	}
	pace.tokens /= 1 + paceStep
}

package selector

import (
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

const (
	// slowFactor is the factor above which an engine counts as slow, and usualFactor the one
	// below which it no longer does; the gap between them keeps noise from being logged.
	slowFactor  = 2.0
	usualFactor = 1.5
	// paceLogInterval is the least time between two log lines about the pace of one engine.
	paceLogInterval = time.Second
)

// paceChange reports that an engine became slow, or that it is no longer slow.
type paceChange struct {
	upstream definer.UpstreamName
	factor   float64
	// expected and actual sum up the recent first events of all nodes there.
	expected time.Duration
	actual   time.Duration
}

// notePace adds a change of the candidate's pace to those that are to be logged. A change within
// paceLogInterval of the previous line is logged after it, if it persists.
func (choice *choice) notePace(candidate *candidate) {
	factor, state := candidate.engine.Factor(), candidate.state
	slow := factor > slowFactor || state.slow && factor >= usualFactor
	if slow == state.slow || choice.now.Sub(state.paceLoggedAt) < paceLogInterval {
		return
	}
	state.slow, state.paceLoggedAt = slow, choice.now
	change := paceChange{upstream: candidate.upstream.ID, factor: factor}
	change.expected, change.actual = candidate.pace.Sums(choice.now)
	choice.paceChanges = append(choice.paceChanges, change)
}

// log logs the change.
func (paceChange *paceChange) log(log func(number int, pairs ...any)) {
	log(logger.EventEnginePaceChanged, "upstream", paceChange.upstream, "factor", math.Round(10*paceChange.factor)/10,
		"expectedMs", paceChange.expected.Milliseconds(), "actualMs", paceChange.actual.Milliseconds())
}

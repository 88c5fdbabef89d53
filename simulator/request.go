package simulator

import (
	"time"

	"limpetcleat/selector"
)

// Class describes a class of requests with the same properties.
type Class struct {
	Name string
	// RequestsPerSecond is the arrival rate over all nodes; BurstFactor multiplies it during the
	// burst.
	RequestsPerSecond float64
	BurstFactor       float64
	// Prefixes is the number of distinct shared prompt prefixes, each of PrefixTokens tokens.
	// UniqueTokens is the length of the remaining prompt, OutputTokens that of the answer.
	Prefixes     int
	PrefixTokens int
	UniqueTokens int
	OutputTokens int
	// Spread is the standard deviation of the logarithm of UniqueTokens and OutputTokens, which are
	// then medians; 0 means that all requests are alike.
	Spread float64
	// Objective is the latency objective for the first event, GapObjective that for the longest
	// pause between two events; 0 is none. Callers give up after Timeout unless they have the
	// complete answer.
	Objective    time.Duration
	GapObjective time.Duration
	Timeout      time.Duration
	// Tier is the priority; 0 is the highest. Deferrable requests may be queued behind all others
	// when they would miss their objective.
	Tier       int
	Deferrable bool
}

// request is the state of one caller's request.
type request struct {
	class        *Class
	parts        []selector.Part
	promptTokens int
	outputTokens int
	node         *node
	// arrivedAt is the time of the first attempt, deadline when the caller gives up.
	arrivedAt time.Time
	deadline  time.Time
	// retried is set once the request is scheduled for its retry.
	retried bool
	// priority orders the engine's queue; lower values are served first.
	priority     int
	assignment   *selector.Assignment
	firstEventAt time.Time
	// latestEventAt is the time of the latest event, longestGap the longest time between two.
	latestEventAt time.Time
	longestGap    time.Duration
	// ended is set once the request is finished, failed or abandoned.
	ended bool
}

// uniqueTokens returns the number of prompt tokens outside the shared parts.
func (request *request) uniqueTokens() int {
	uniqueTokens := request.promptTokens
	for _, part := range request.parts {
		uniqueTokens -= part.Tokens
	}
	return uniqueTokens
}

// recordFirstEvent records the time of the first event, unless the request has ended.
func (request *request) recordFirstEvent(now time.Time) {
	if request.ended {
		return
	}
	request.firstEventAt, request.latestEventAt = now, now
	request.assignment.RecordFirstEvent(now)
}

// recordEvent records the time of a further event, unless the request has ended.
func (request *request) recordEvent(now time.Time) {
	if request.ended {
		return
	}
	gap := now.Sub(request.latestEventAt)
	request.longestGap = max(request.longestGap, gap)
	request.latestEventAt = now
}

// finish records the end of a complete answer, unless the request has ended.
func (request *request) finish(now time.Time) {
	if request.ended {
		return
	}
	request.ended = true
	request.assignment.End(now, selector.Answered)
}

// fail ends the request because its engine crashed; the caller does not retry.
func (request *request) fail(now time.Time) {
	request.ended = true
	request.assignment.End(now, selector.Failed)
}

// abandon ends the request because the caller gave up, unless the request has ended.
func (request *request) abandon(now time.Time) {
	if request.ended {
		return
	}
	request.ended = true
	if request.assignment != nil {
		request.assignment.End(now, selector.Abandoned)
	}
}

package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// Outcome is the result of sending a request to an upstream once.
type Outcome int

const (
	// Answered means that the upstream returned a complete answer.
	Answered Outcome = iota
	// Failed means that the upstream returned an error or broke off its answer.
	Failed
	// Unreachable means that no connection was made, or that nothing was returned.
	Unreachable
	// Full means that the upstream stated that it has no capacity for the request.
	Full
	// Gone means that the address now belongs to another upstream.
	Gone
	// Abandoned means that this node ended the request.
	Abandoned
)

// Assignment is one request at one upstream. It is owned by the goroutine that handles the
// request.
type Assignment struct {
	selector *Selector
	upstream *registrar.Upstream
	// The fields below are guarded by the selector's mutex.
	state *state
	// unread counts the prompt tokens that the engine is expected to prefill for the request.
	unread int
	// tokens counts the tokens that the request may occupy in the engine's KV cache.
	tokens int
	// promptTokens counts the tokens of the whole prompt.
	promptTokens int
	// tokensAhead counts the tokens of other requests to be prefilled there first.
	tokensAhead int
	parts       []Part
	// cacheLifetime is how long the engine keeps an unused part in its cache.
	cacheLifetime time.Duration
	sentAt        time.Time
	// inFlight is the estimated number of requests of all nodes in flight there at the choice.
	inFlight      int
	expected      time.Duration
	expectedPause time.Duration
	rule          string
	engine        bool
	// deferred requests are queued behind all others at the engine.
	deferred bool
	// beyondShare is set if the request exceeds its organisation's share.
	beyondShare bool
	// awaitsPermit is set until the upstream's permit is granted; until then the request does
	// not count as load.
	awaitsPermit bool
	// warmUp describes how the upstream warms up, and coldFor how much longer it counted as
	// cold when it was chosen; 0 if it was warm.
	warmUp  definer.WarmUp
	coldFor time.Duration
	// needsPlace is set if the permit is in use until the request ends.
	needsPlace bool
	// probe is set for the one request that tests an upstream after its backoff.
	probe bool
	// waits is set if no permit is expected at once but the request may wait for one.
	waits bool
	tier  int
	// begunAt is when the first event came; it is valid if begun is set.
	begunAt time.Time
	begun   bool
	ended   bool
	basis   string
	// protected is set for a stream whose pauses other requests must not lengthen.
	protected bool
	// queued is set if the request was expected to wait for a slot.
	queued bool
	// events counts the answer's events, the latest of which came at latestAt.
	events   int
	latestAt time.Time
}

// Basis returns the data behind the choice as key=value pairs for logs: the requests in flight
// at the upstream (inFlight: from this node, others: from its peers), the request's side of the
// boundary between long and short prompts, the share of failures in percent, the expected time
// to the first event, how many times as long as usual the engine takes (pace), the expected longest
// pause and the cost in milliseconds, the price of engine time, how long engines
// keep unused parts (memoryMs), the prompt tokens to prefill although other engines hold them
// (reread), whether the request is deferred, whether the upstream is the one that all nodes
// prefer for the prompt's subject, and whether an engine is known to hold the subject (known).
func (assignment *Assignment) Basis() string { return assignment.basis }

// Deferred reports whether the request is to be queued behind all others at the engine.
func (assignment *Assignment) Deferred() bool { return assignment.deferred }

// unreadCount returns the counter of the upstream's unread tokens that includes the request;
// the selector's mutex is held.
func (assignment *Assignment) unreadCount() *int {
	if assignment.deferred {
		return &assignment.state.deferred
	}
	return &assignment.state.unread
}

// ExpectedFirstEvent returns how long after the choice the first event was expected, 0 for a plain
// service.
func (assignment *Assignment) ExpectedFirstEvent() time.Duration { return assignment.expected }

// ExpectedPause returns the longest pause that was expected at the engine when it was chosen, 0 for a
// plain service.
func (assignment *Assignment) ExpectedPause() time.Duration { return assignment.expectedPause }

// InFlightAtChoice returns the estimated number of requests of all nodes that were in flight at the
// upstream when it was chosen, this one not included.
func (assignment *Assignment) InFlightAtChoice() int { return assignment.inFlight }

// Upstream returns the upstream that the request is assigned to.
func (assignment *Assignment) Upstream() *registrar.Upstream { return assignment.upstream }

// NeedsPermit reports whether the upstream has a limit, so that the request may be sent only
// with a permit. If so, RecordPermit or RecordDenial must be called before any other method that
// changes the assignment, or End if the request is given up.
func (assignment *Assignment) NeedsPermit() bool { return assignment.awaitsPermit }

// NeedsPlace reports whether the permit is in use until the request ends.
func (assignment *Assignment) NeedsPlace() bool { return assignment.needsPlace }

// Cold returns the limit of the upstream while it warms up and for how much longer that
// applies; no limit and 0 if it is warm.
func (assignment *Assignment) Cold() (limit definer.RateLimit, left time.Duration) {
	if assignment.coldFor == 0 {
		return definer.RateLimit{}, 0
	}
	return assignment.warmUp.Limit(), assignment.coldFor
}

// MayWaitForPermit reports whether the request may wait for the permit, because no upstream would
// accept it sooner.
func (assignment *Assignment) MayWaitForPermit() bool { return assignment.waits }

// RecordPermit records that the permit was granted and reports whether the request may be sent. If
// the upstream has asked for a backoff in the meantime, RecordPermit ends the assignment and
// returns false.
func (assignment *Assignment) RecordPermit(now time.Time) bool {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	if assignment.state.backsOff(now) {
		assignment.ended = true
		return false
	}
	assignment.awaitsPermit = false
	assignment.sentAt = now
	assignment.addToLoad(now)
	return true
}

// RecordBackoff records that the upstream accepts no requests from this node for the span.
func (assignment *Assignment) RecordBackoff(now time.Time, span time.Duration) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.state.backOff(now.Add(span))
}

// RecordDenial records that the permit was denied, and that no permit is expected for the request's
// tier or a lower one before the time until. It ends the assignment.
func (assignment *Assignment) RecordDenial(until time.Time) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.ended = true
	assignment.state.withhold(assignment.tier, until)
}

// RecordFirstEvent records the first byte of the answer. Further calls record only that the
// upstream responds.
func (assignment *Assignment) RecordFirstEvent(now time.Time) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.recordResponse(now)
	assignment.events++
	assignment.latestAt = now
	if assignment.begun {
		return
	}
	assignment.endProbe(true)
	assignment.begun, assignment.begunAt = true, now
	*assignment.unreadCount() -= assignment.unread
	if assignment.deferred {
		return // Its latency says nothing about requests that are not deferred.
	}
	if assignment.engine && !assignment.queued {
		service := assignment.selector.service(assignment.upstream.Service)
		assignment.state.pace.Observe(now, service.predicted, assignment.tokensAhead+assignment.unread, now.Sub(assignment.sentAt))
	}
}

// UpstreamSilent reports whether nothing has come from the upstream, for any request, since this
// one was sent.
func (assignment *Assignment) UpstreamSilent() bool {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	return assignment.state.lastActivity().Before(assignment.sentAt)
}

// Activity is how long ago something last came from an upstream; NoActivity if nothing is known to
// have come.
type Activity struct {
	// Here is the time since this node received something, AtPeers since a peer did.
	Here    time.Duration
	AtPeers time.Duration
}

// NoActivity is the age of an activity that is not known.
const NoActivity = -time.Millisecond

// Activity returns how long ago something last came from the assigned upstream.
func (assignment *Assignment) Activity(now time.Time) Activity {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	return Activity{Here: activityAge(now, assignment.state.lastByte), AtPeers: activityAge(now, assignment.state.lastPeerByte)}
}

func activityAge(now, at time.Time) time.Duration {
	if at.IsZero() {
		return NoActivity
	}
	return max(now.Sub(at), 0)
}

// End ends the assignment with the outcome; further calls have no effect.
func (assignment *Assignment) End(now time.Time, outcome Outcome) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	if assignment.ended {
		return
	}
	assignment.ended = true
	if assignment.awaitsPermit {
		return
	}
	assignment.endProbe(outcome == Answered)
	state := assignment.state
	state.inFlight--
	if assignment.beyondShare {
		state.beyondShare--
	}
	if assignment.protected {
		state.streams--
	}
	state.tokens -= assignment.tokens
	if !assignment.begun {
		*assignment.unreadCount() -= assignment.unread
	}
	if !assignment.begun && outcome != Answered && outcome != Abandoned {
		state.discardParts(assignment.parts, assignment.sentAt)
	}
	assignment.addDecoding(now, -1)
	switch outcome {
	case Answered:
		assignment.recordResponse(now)
		if assignment.engine && assignment.begun {
			service := assignment.selector.service(assignment.upstream.Service)
			service.slotTime.observe(now.Sub(assignment.begunAt))
			service.predicted.ObserveStream(assignment.events, assignment.latestAt.Sub(assignment.begunAt))
		}
		state.recordOutcome(now, false)
	case Failed, Full:
		assignment.recordResponse(now)
		state.recordOutcome(now, true)
	case Unreachable:
		state.recordOutcome(now, true)
		state.recordUnreachable(now)
	case Gone:
		state.pauseUntil = now.Add(gonePause)
	case Abandoned:
	}
}

// addToLoad adds the request to the load of its upstream; the selector's mutex is held.
func (assignment *Assignment) addToLoad(now time.Time) {
	state := assignment.state
	if state.needsProbe {
		state.probing, assignment.probe = true, true
	}
	state.inFlight++
	if assignment.beyondShare {
		state.beyondShare++
	}
	if assignment.protected {
		state.streams++
	}
	*assignment.unreadCount() += assignment.unread
	state.tokens += assignment.tokens
	if assignment.engine {
		service := assignment.selector.service(assignment.upstream.Service)
		service.cacheMisses.add(now, assignment.unread, assignment.promptTokens)
		// Only requests that are sent count as work: a refused one takes no engine time.
		if !assignment.beyondShare {
			service.partition.rule(assignment.rule).addPrompt(now, assignment.promptTokens)
		}
	}
	assignment.addPrefill(now)
	assignment.addDecoding(now, 1)
	// The read is reported when the request is sent: if reported only when the answer begins,
	// peers would meanwhile send the same subject to other engines.
	assignment.selector.queueRead(assignment.upstream.ID, state, state.recordParts(assignment.parts, now, assignment.cacheLifetime))
}

// addPrefill adds the prefill of the prompt to the work of the request's rule. Work beyond an
// organisation's share is not counted: it must not move engines from one side to the other.
func (assignment *Assignment) addPrefill(now time.Time) {
	if assignment.engine && !assignment.beyondShare {
		service := assignment.selector.service(assignment.upstream.Service)
		service.partition.rule(assignment.rule).addPrefill(now, service.predicted.Work(assignment.unread))
	}
}

// addDecoding adds count answers to those that the request's rule has in flight. A request that
// still waits for a slot counts as well: it is work for which the rule's engines do not
// suffice.
func (assignment *Assignment) addDecoding(now time.Time, count float64) {
	slots := assignment.upstream.Slots
	if assignment.engine && slots > 0 && !assignment.beyondShare {
		partition := &assignment.selector.service(assignment.upstream.Service).partition
		partition.rule(assignment.rule).addDecoding(now, count/float64(slots))
	}
}

// queueRead queues the parts for the next report to peers; mutex is held.
func (selector *Selector) queueRead(upstream definer.UpstreamName, state *state, parts []string) {
	if len(parts) == 0 || len(selector.reads) >= maxQueuedReads {
		return
	}
	selector.reads = append(selector.reads, messenger.PartsRead{Upstream: upstream, Incarnation: state.incarnation, Parts: parts})
}

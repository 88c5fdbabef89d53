package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// Outcome is what one send of a request came to.
type Outcome int

const (
	// Answered means that the upstream's own answer came whole.
	Answered Outcome = iota
	// Failed means that the upstream answered with a failure or broke off.
	Failed
	// Unreachable means that nothing came back, or no connection was made.
	Unreachable
	// Full means that the upstream stated that it had no room.
	Full
	// Gone means that another upstream has the address by now.
	Gone
	// Abandoned means that the send was ended from this side.
	Abandoned
)

// Assignment is one request at one upstream. The request's goroutine owns it.
type Assignment struct {
	selector *Selector
	upstream *registrar.Upstream
	// The rest is guarded by the selector's mutex.
	state *state
	// unread is what the request adds to the upstream's unread tokens until its
	// first event.
	unread int
	// tokens is what the request may take of an engine's memory.
	tokens int
	// prompt counts the tokens of the whole prompt.
	prompt int
	// ahead is how many tokens of others were to be read there before it.
	ahead int
	parts []Part
	// memory is how long the engine keeps a part that is not used.
	memory   time.Duration
	sentAt   time.Time
	expected time.Duration
	kind     string
	engine   bool
	// deferred requests are behind all others at the engine.
	deferred bool
	// pending is set until a permit of the upstream's is granted; nothing counts before.
	pending bool
	// trial is set for the one request that tries an upstream behind its backoff.
	trial bool
	// waits is set when no permit is expected at once; it may be waited for.
	waits bool
	tier  int
	// begunAt is when the first event came, if begun is set.
	begunAt time.Time
	begun   bool
	ended   bool
	basis   string
}

// Basis returns what the choice was made from, for logs: the requests in flight
// at the upstream, this node's and its peers', the boundary between long and
// short prompts and the request's side of it, the share of failures in
// hundredths, the milliseconds the first byte is expected in, what the choice
// costs, whether the upstream is the one that all nodes prefer for the prompt's
// subject, and whether it is known who holds that.
func (assignment *Assignment) Basis() string { return assignment.basis }

// Deferred tells whether the request is to be put behind all others at the engine.
func (assignment *Assignment) Deferred() bool { return assignment.deferred }

// backlog returns the count of unread tokens that the request belongs to; the
// selector's mutex is held.
func (assignment *Assignment) backlog() *int {
	if assignment.deferred {
		return &assignment.state.deferred
	}
	return &assignment.state.unread
}

// Upstream returns where the request goes.
func (assignment *Assignment) Upstream() *registrar.Upstream { return assignment.upstream }

// NeedsPermit tells whether the request may be sent only with a permit, as the upstream has a
// limit: Granted or Withheld is then to be called before anything else.
func (assignment *Assignment) NeedsPermit() bool { return assignment.pending }

// Waits tells whether the permit may be waited for: there is no upstream that would take the
// request sooner.
func (assignment *Assignment) Waits() bool { return assignment.waits }

// Granted notes that the request may be sent, unless its upstream has asked for a backoff meanwhile:
// the assignment has then ended.
func (assignment *Assignment) Granted(now time.Time) bool {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	if assignment.state.backsOff(now) {
		assignment.ended = true
		return false
	}
	assignment.pending = false
	assignment.sentAt = now
	assignment.count(now)
	return true
}

// BackOff notes that the upstream wants nothing from this node for so long.
func (assignment *Assignment) BackOff(now time.Time, span time.Duration) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.state.backOff(now.Add(span))
}

// Withheld notes that the request may not be sent, and that it is of no use to ask for a
// permit for it, or for one of a lower tier, before the time. It ends the assignment.
func (assignment *Assignment) Withheld(until time.Time) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.ended = true
	assignment.state.withhold(assignment.tier, until)
}

// Begun notes the first byte of the answer.
func (assignment *Assignment) Begun(now time.Time) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	assignment.state.reached(now)
	if assignment.begun {
		return
	}
	assignment.endTrial(true)
	assignment.begun, assignment.begunAt = true, now
	*assignment.backlog() -= assignment.unread
	if assignment.deferred {
		return // How long it waited tells nothing of the others.
	}
	assignment.state.delayed(now, now.Sub(assignment.sentAt)-assignment.expected)
	if assignment.engine {
		assignment.selector.service(assignment.upstream.Service).pace.observe(assignment.ahead+assignment.unread, now.Sub(assignment.sentAt))
	}
}

// Silent tells whether nothing at all has come from the upstream, for whichever
// request, since this one was sent.
func (assignment *Assignment) Silent() bool {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	return assignment.state.lastByte.Before(assignment.sentAt)
}

// End gives the assignment back; a second call changes nothing.
func (assignment *Assignment) End(now time.Time, outcome Outcome) {
	assignment.selector.mutex.Lock()
	defer assignment.selector.mutex.Unlock()
	if assignment.ended {
		return
	}
	assignment.ended = true
	if assignment.pending {
		return
	}
	assignment.endTrial(outcome == Answered)
	state := assignment.state
	state.inFlight--
	state.tokens -= assignment.tokens
	if !assignment.begun {
		*assignment.backlog() -= assignment.unread
	}
	if !assignment.begun && outcome != Answered && outcome != Abandoned {
		state.unlearn(assignment.parts, assignment.sentAt)
	}
	assignment.countWriting(now, -1)
	switch outcome {
	case Answered:
		state.reached(now)
		if assignment.engine && assignment.begun {
			assignment.selector.service(assignment.upstream.Service).stay.observe(now.Sub(assignment.begunAt))
		}
		state.outcome(now, false)
	case Failed, Full:
		state.reached(now)
		state.outcome(now, true)
	case Unreachable:
		state.outcome(now, true)
		state.unreachable(now)
	case Gone:
		state.pauseUntil = now.Add(goneFor)
	case Abandoned:
	}
}

// count adds the request to what its upstream has under way; the selector's mutex is held.
func (assignment *Assignment) count(now time.Time) {
	state := assignment.state
	if state.unproven {
		state.tried, assignment.trial = true, true
	}
	state.inFlight++
	*assignment.backlog() += assignment.unread
	state.tokens += assignment.tokens
	if assignment.engine {
		service := assignment.selector.service(assignment.upstream.Service)
		service.read.add(now, assignment.unread, assignment.prompt)
		// Only what is sent is work: a request that is refused takes nothing of an engine.
		service.division.of(assignment.kind).addPrompt(now, assignment.prompt)
	}
	assignment.countReading(now)
	assignment.countWriting(now, 1)
	// Told at once: until the answer begins, others would have it read elsewhere.
	assignment.selector.noteRead(assignment.upstream.ID, state, state.remember(assignment.parts, now, assignment.memory))
}

// countReading adds the reading of the prompt to the work of the request's kind.
func (assignment *Assignment) countReading(now time.Time) {
	if assignment.engine {
		service := assignment.selector.service(assignment.upstream.Service)
		service.division.of(assignment.kind).addWork(now, service.pace.reading(assignment.unread))
	}
}

// countWriting adds the answer to what the request's kind has under way, or takes
// it off. One that still waits for a slot counts too: it is work that the kind's
// engines were not enough for.
func (assignment *Assignment) countWriting(now time.Time, count float64) {
	slots := assignment.upstream.Slots
	if assignment.engine && slots > 0 {
		division := &assignment.selector.service(assignment.upstream.Service).division
		division.of(assignment.kind).addWriting(now, count/float64(slots))
	}
}

// noteRead keeps a reading for the next report to peers; mutex is held.
func (selector *Selector) noteRead(upstream definer.UpstreamName, state *state, parts []string) {
	if len(parts) == 0 || len(selector.reads) >= maxReads {
		return
	}
	selector.reads = append(selector.reads, messenger.PartsRead{Upstream: upstream, Incarnation: state.incarnation, Parts: parts})
}

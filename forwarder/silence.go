package forwarder

import (
	"cmp"
	"context"
	"errors"
	"time"

	"limpetcleat/connector"
	"limpetcleat/dialer"
	"limpetcleat/logger"
	"limpetcleat/selector"
)

const (
	// firstEventFactor times its latency objective is how long an idempotent request
	// waits for an upstream that has sent nothing at all, to any request, since it was sent.
	// In trials with crashing and silent upstreams, 0.8 did worse and 2.5 was within noise.
	firstEventFactor = 1.5
	// minFirstEventTimeout is the minimum of this wait: with a shorter one, retransmissions
	// of lost packets would count as silence.
	minFirstEventTimeout = 300 * time.Millisecond
	// gapFactor times the objective for the longest pause is how long a resumable stream
	// waits for its next event; 6 was within noise of it.
	gapFactor = 3
	// maxLateness is how much later than due this process may notice a silence. Beyond that it did not run
	// or was short of processor time, and may have kept itself from hearing the upstream.
	maxLateness = 100 * time.Millisecond
)

// errUpstreamSilent is why an attempt failed whose upstream sent nothing for too long.
var errUpstreamSilent = errors.New("the upstream was silent for too long")

// silence decides what becomes of an attempt while nothing comes from its upstream. It implements
// connector.Silence.
type silence struct {
	attempt *attempt
	// start is the context of the send that may follow.
	start context.Context
	// repeatable is set if the request may be sent again.
	repeatable bool
	// firstEventTimeout is how long the upstream may be silent before the first event, and
	// gapTimeout how long after each event; 0 means as long as its kernel answers.
	firstEventTimeout time.Duration
	gapTimeout        time.Duration
}

// newSilence returns the timeouts of an attempt. There are none if the request must not be sent again.
func newSilence(start context.Context, attempt *attempt) *silence {
	silence := &silence{attempt: attempt, start: start}
	rule := attempt.exchange.rule
	silence.repeatable = attempt.exchange.mayRepeatAfter(attempt.exchange.result.Sends + 1)
	if silence.repeatable && rule.Objective > 0 {
		silence.firstEventTimeout = max(time.Duration(firstEventFactor*float64(rule.Objective)), minFirstEventTimeout)
		silence.gapTimeout = gapFactor * rule.GapObjective
	}
	return silence
}

// Limit returns how long nothing may come from the upstream before Reached is called; 0 means without limit.
func (silence *silence) Limit() time.Duration {
	if !silence.repeatable {
		return 0
	}
	return min(cmp.Or(silence.timeout(), dialer.SilenceLimit), dialer.SilenceLimit)
}

// timeout returns how long the upstream may be silent now although its kernel answers; 0 means without limit.
func (silence *silence) timeout() time.Duration {
	if silence.attempt.firstEventAt.IsZero() {
		return silence.firstEventTimeout
	}
	return silence.gapTimeout
}

// Reached returns errUpstreamSilent if the request is to be sent to another upstream, which has been chosen
// by then: as long as there is none, the silent one is the only one that may answer. Before the first event,
// the upstream must have been silent towards all requests of this node, or its kernel on this connection.
func (silence *silence) Reached(pause connector.Pause) error {
	attempt := silence.attempt
	exchange := attempt.exchange
	timeout := silence.timeout()
	silent := timeout > 0 && pause.Lasted >= timeout && (!attempt.firstEventAt.IsZero() || attempt.assignment.UpstreamSilent())
	if !silent && pause.Unheard < dialer.SilenceLimit || !exchange.stream.mayResume() {
		return nil
	}
	obstacle := ObstacleLate
	if pause.Late <= maxLateness {
		obstacle = exchange.prepareRepeat(silence.start)
	}
	if obstacle == "" {
		return errUpstreamSilent
	}
	attempt.logEndured(obstacle, pause)
	return nil
}

// Resumed gives back what Reached has prepared.
func (silence *silence) Resumed() { silence.attempt.exchange.releaseNext() }

// logEndured logs, once for the attempt, that the request goes on although its upstream is silent.
func (attempt *attempt) logEndured(obstacle Obstacle, pause connector.Pause) {
	if attempt.endured {
		return
	}
	attempt.endured = true
	activity := attempt.assignment.Activity(time.Now())
	attempt.exchange.forwarder.log(logger.EventSilenceEndured,
		"request", attempt.exchange.call.Attempt, "upstream", attempt.assignment.Upstream().ID, "unrepeated", obstacle, "lateMs", pause.Late.Milliseconds(), "unheardMs", pause.Unheard.Milliseconds(),
		"began", !attempt.firstEventAt.IsZero(), "heardMs", activity.Here.Milliseconds(), "peersHeardMs", activity.AtPeers.Milliseconds(),
	)
}

// prepareRepeat chooses another upstream for a request that may be repeated, and takes what a send there
// needs. It returns what is in the way; nothing is taken then.
func (exchange *exchange) prepareRepeat(start context.Context) Obstacle {
	switch {
	case start.Err() != nil:
		return ObstacleEnding
	case exchange.quarantined():
		return ObstacleHeldOff
	case !exchange.prepaid && !exchange.forwarder.retryBudget.HasRoom(exchange.service.Name, time.Now()):
		return ObstacleBudget
	}
	asks := exchange.permitAsks
	obstacle := exchange.reserveNext(start)
	if obstacle != "" {
		exchange.permitAsks = asks // The asks left are for sends that the request may need later.
	}
	return obstacle
}

// reserveNext chooses the next upstream and takes a permit, a connection and then a retry, which cannot be
// given back.
func (exchange *exchange) reserveNext(start context.Context) Obstacle {
	demand := exchange.demand()
	demand.Asked = exchange.sought
	exchange.sought = true
	assignment, err := exchange.chooseFor(demand)
	if err != nil || !exchange.takePermit(start, assignment) {
		return ObstacleUpstream
	}
	exchange.next = assignment
	upstream := assignment.Upstream()
	reservation, err := exchange.forwarder.connector.Reserve(start, upstream.Address, exchange.admission(upstream))
	if err != nil {
		exchange.recordUnreserved(start, err)
		return ObstacleUpstream
	}
	exchange.reservation = reservation
	exchange.prepaid = exchange.prepaid || exchange.forwarder.retryBudget.AllowRetry(exchange.service.Name, time.Now())
	if !exchange.prepaid {
		exchange.releaseNext()
		return ObstacleBudget
	}
	return ""
}

// recordUnreserved ends the assignment to an upstream to which there is no connection.
func (exchange *exchange) recordUnreserved(start context.Context, err error) {
	var failure *connector.Error
	if errors.As(err, &failure) && failure.Kind() == connector.Unconnected && start.Err() == nil {
		exchange.next.End(time.Now(), selector.Unreachable)
	}
	exchange.releaseNext()
}

// takeReservation returns the connection that is kept for the next send, or nil.
func (exchange *exchange) takeReservation() *connector.Reservation {
	reservation := exchange.reservation
	exchange.reservation = nil
	return reservation
}

// releaseNext gives back what was taken for a send that does not take place.
func (exchange *exchange) releaseNext() {
	if reservation := exchange.takeReservation(); reservation != nil {
		reservation.Release()
	}
	if exchange.next == nil {
		return
	}
	exchange.next.End(time.Now(), selector.Abandoned)
	exchange.next = nil
	exchange.returnUnused(exchange.holding)
	exchange.holding = nil
}

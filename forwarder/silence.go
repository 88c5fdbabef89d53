package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net/http"
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
	// rejectionWait is how long a silent upstream is kept after the request was sent to another one, which
	// may reject it. An upstream without a free place answers within one way there and back.
	rejectionWait = 100 * time.Millisecond
)

// errUpstreamSilent is why an attempt failed whose upstream sent nothing for too long.
var errUpstreamSilent = errors.New("the upstream was silent for too long")

// silence decides what becomes of an attempt while nothing comes from its upstream. It implements
// connector.Silence.
type silence struct {
	attempt *attempt
	// ctx is the context of the send that may follow.
	ctx context.Context
	// firstEventTimeout is how long the upstream may be silent before the first event, and
	// gapTimeout how long after each event; 0 means as long as its kernel answers.
	firstEventTimeout time.Duration
	gapTimeout        time.Duration
	// pause is that of the last call of Reached.
	pause connector.Pause
}

// newSilence returns the timeouts of an attempt; ctx is the context of the send that may follow.
func newSilence(ctx context.Context, attempt *attempt) *silence {
	silence := &silence{attempt: attempt, ctx: ctx}
	rule := attempt.exchange.rule
	if rule.Objective > 0 {
		silence.firstEventTimeout = max(time.Duration(firstEventFactor*float64(rule.Objective)), minFirstEventTimeout)
		silence.gapTimeout = gapFactor * rule.GapObjective
	}
	return silence
}

// Limit returns how long nothing may come from the upstream before Reached is called; 0 means without limit,
// if the request must not be sent again.
func (silence *silence) Limit() time.Duration {
	if exchange := silence.attempt.exchange; !exchange.mayRepeatAfter(exchange.result.Sends) {
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

// Reached reports whether the request may be sent to another upstream, which has been chosen by then: as long as
// there is none, the silent one is the only one that may answer. Before the first event, the upstream must have
// been silent towards all requests of this node, or its kernel on this connection.
func (silence *silence) Reached(pause connector.Pause) bool {
	attempt := silence.attempt
	exchange := attempt.exchange
	silence.pause = pause
	timeout := silence.timeout()
	silent := timeout > 0 && pause.Lasted >= timeout && (!attempt.firstEventAt.IsZero() || attempt.assignment.UpstreamSilent())
	if !silent && pause.Unheard < dialer.SilenceLimit || !exchange.stream.mayResume() {
		return false
	}
	obstacle := ObstacleLate
	if pause.Late <= maxLateness {
		obstacle = exchange.prepareRepeat(silence.ctx)
	}
	if obstacle != "" {
		attempt.logEndured(obstacle, pause)
	}
	return obstacle == ""
}

// Resumed gives back what Reached has prepared.
func (silence *silence) Resumed() { silence.attempt.exchange.releaseNext() }

// Ended sends the request to the chosen upstream. It returns errUpstreamSilent unless that one rejects the
// request or fails at once; then the silent one is still the only one that may answer.
func (silence *silence) Ended() error {
	if silence.attempt.exchange.beginNext(silence.ctx) {
		return errUpstreamSilent
	}
	silence.attempt.logEndured(ObstacleRejected, silence.pause)
	return nil
}

// beginNext sends the request to the upstream that was chosen and reports whether that one has taken it.
func (exchange *exchange) beginNext(ctx context.Context) bool {
	next := exchange.begin(ctx)
	if next.sent != nil {
		exchange.prepaid, exchange.sought = false, false
	}
	if next.takenWithin(rejectionWait) {
		exchange.begun = next
		return true
	}
	next.conclude()
	return exchange.begun != nil // The attempt may have begun another one.
}

// takenWithin reports whether the upstream has not refused the request when the time has passed. If it has, all
// that is left of the attempt is to conclude it.
func (attempt *attempt) takenWithin(span time.Duration) bool {
	if attempt.sendErr != nil {
		return false
	}
	if !attempt.sent.Await(span) {
		return true
	}
	answer, err := attempt.receive()
	if err != nil {
		return false
	}
	statement := attempt.exchange.forwarder.protocol.DecodeAnswer(answer.Status, answer.Header)
	if attempt.exchange.stream.headWritten.Load() && !isSuccess(answer.Status) {
		return false
	}
	return attempt.isProven(statement) && answer.Status < http.StatusInternalServerError && !statement.NotRun && statement.acceptable(answer.Status)
}

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
func (exchange *exchange) prepareRepeat(ctx context.Context) Obstacle {
	start, endStart := exchange.startContext(ctx)
	defer endStart()
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
	reservation, err := exchange.forwarder.connector.Reserve(start, upstream.Address, exchange.call.Attempt, exchange.admission(upstream))
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

package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"

	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/rationer"
	"limpetcleat/selector"
)

const (
	// MaxAnswerBytes bounds the body in bytes of an answer that is not streamed.
	MaxAnswerBytes = 16 << 20
	// maxStatus is the largest status that HTTP defines a class for.
	maxStatus = 599
	// maxLoggedSkips is the number of responses to others that are logged for one request.
	maxLoggedSkips = 3
	// recentActivity is the age up to which an upstream's activity at peers shows that they reach
	// it.
	recentActivity = time.Second
)

// errUnproven is why an answer is not believed.
var errUnproven = errors.New("the answer names no request, and its connection has carried others")

// attempt is one send of a request to an upstream.
type attempt struct {
	exchange   *exchange
	assignment *selector.Assignment
	// chosenAt is when the upstream was chosen, sentAt when the attempt began.
	chosenAt time.Time
	sentAt   time.Time
	// ctx ends the attempt. start ends with it, and when the send may not begin any more.
	ctx      context.Context
	cancel   context.CancelCauseFunc
	start    context.Context
	endStart context.CancelFunc
	outgoing *connector.Outgoing
	// number is 1 for the first send of the request. sent is nil if nothing was sent, because of sendErr.
	number  int
	sent    *connector.Sent
	sendErr error
	// answer and answerErr are what came; nil before.
	answer    *connector.Answer
	answerErr error
	// firstEventAt is when the first event came; zero before. It is owned by the goroutine
	// of the exchange.
	firstEventAt time.Time
	// endured is set once the upstream's silence was logged. It is owned by the goroutine of the
	// exchange.
	endured bool
	// answering is set once the upstream has been answering for SuspicionPeriod. It is owned by the
	// goroutine of the exchange.
	answering bool
	// place is the permit in use.
	place place
	// accepted and rejected are set once the upstream has accepted the request, or rejected it for
	// want of capacity. They are owned by the goroutine of the exchange.
	accepted bool
	rejected bool
}

// begin sends the request to the upstream that was chosen next. The attempt must be concluded.
func (exchange *exchange) begin(ctx context.Context) *attempt {
	assignment := exchange.next
	exchange.next = nil
	attempt := &attempt{exchange: exchange, assignment: assignment, chosenAt: exchange.chosenAt, sentAt: time.Now()}
	attempt.ctx, attempt.cancel = context.WithCancelCause(ctx)
	attempt.start, attempt.endStart = exchange.startContext(attempt.ctx)
	if exchange.holding != nil {
		attempt.place.set(exchange.holding)
		exchange.holding = nil
	}
	exchange.forwarder.attempts.add(attempt)
	exchange.recordChoice(assignment)
	attempt.outgoing = exchange.newOutgoing(ctx, attempt)
	attempt.sent, attempt.sendErr = exchange.forwarder.connector.Send(attempt.ctx, attempt.start, assignment.Upstream().Address, attempt.outgoing)
	if attempt.sent != nil {
		exchange.countSend()
		exchange.result.ChoiceAge = max(exchange.result.ChoiceAge, attempt.choiceAge(time.Now()))
	}
	attempt.number = exchange.result.Sends
	return attempt
}

// conclude passes the answer of the upstream to the caller.
func (attempt *attempt) conclude() sendResult {
	defer attempt.cancel(nil)
	defer attempt.endStart()
	defer attempt.exchange.forwarder.attempts.remove(attempt)
	defer attempt.endPlace()
	if attempt.sendErr != nil {
		return attempt.judgeUnsent(attempt.sendErr)
	}
	answer, err := attempt.receive()
	if err != nil {
		return attempt.judgeNoAnswer(err)
	}
	defer answer.Close()
	return attempt.relay(answer)
}

// receive returns what came in answer to what was sent. It waits for that once.
func (attempt *attempt) receive() (*connector.Answer, error) {
	if attempt.answer == nil && attempt.answerErr == nil {
		attempt.answer, attempt.answerErr = attempt.sent.Receive()
	}
	return attempt.answer, attempt.answerErr
}

// relay passes the answer to the caller.
func (attempt *attempt) relay(answer *connector.Answer) sendResult {
	exchange := attempt.exchange
	statement := exchange.forwarder.protocol.DecodeAnswer(answer.Status, answer.Header)
	if statement.Attempt == "" {
		answer.DisableReuse() // A copy that comes late would be taken for the answer to the next request.
	}
	if !attempt.isProven(statement) {
		exchange.result.MayHaveRun = true
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, errUnproven)
	}
	misdirected := statement.misdirected(answer.Status)
	if !misdirected {
		// A Misdirected Request comes from another upstream that has taken over the address.
		attempt.recordSignOfLife()
		attempt.applyStatement(statement)
	}
	attempt.accepted = !statement.NotRun
	attempt.rejected = statement.NotRun && !misdirected && statement.Announcement.RetryAfter == 0
	if exchange.rule.Streamed && isSuccess(answer.Status) {
		return attempt.relayStream(answer, statement)
	}
	if !statement.NotRun {
		attempt.assignment.RecordFirstEvent(time.Now())
	}
	return attempt.relayWhole(answer, statement)
}

// isProven reports whether an answer is known to be the one to this send. Without an id it may be the copy of an answer to
// an earlier exchange of its connection.
func (attempt *attempt) isProven(statement Statement) bool {
	return statement.Attempt != "" || attempt.outgoing.Position.Opened()
}

// copyAge returns for how long the list of upstreams has not been confirmed; 0 before it was.
func (forwarder *Forwarder) copyAge(now time.Time) time.Duration {
	listedAt := forwarder.listedAt()
	if listedAt.IsZero() {
		return 0
	}
	return max(now.Sub(listedAt), 0)
}

// recordChoice adds the chosen upstream to those tried and logs the choice.
func (exchange *exchange) recordChoice(assignment *selector.Assignment) {
	upstream, now := assignment.Upstream(), time.Now()
	activity := assignment.Activity(now)
	if exchange.tried == nil {
		exchange.tried = make(map[definer.UpstreamName]bool)
	}
	exchange.tried[upstream.ID] = true
	exchange.forwarder.log(logger.EventRequestSent,
		"request", exchange.call.Attempt, "upstream", upstream.ID, "entry", upstream.Listing(), "address", upstream.Address,
		"copyAgeMs", exchange.forwarder.copyAge(now).Milliseconds(), "heardMs", activity.Here.Milliseconds(), "rule", exchange.rule.Name,
		"revision", upstream.Revision, "identity", exchange.result.Identity,
		"dataCentre", upstream.DataCentre, "softwareVersion", upstream.Version, "send", exchange.result.Sends+1, "basis", assignment.Basis(),
		"leftMs", (exchange.timeLimit - time.Since(exchange.arrivedAt)).Milliseconds(), "lastEvent", cmp.Or(exchange.stream.lastID(), exchange.call.LastEvent), "resumes", exchange.call.Resumes,
		"peersHeardMs", activity.AtPeers.Milliseconds(),
	)
}

// countSend counts a send that may have reached an upstream.
func (exchange *exchange) countSend() {
	if exchange.result.Sends == 0 {
		exchange.forwarder.retryBudget.RecordFirstSend(exchange.service.Name, time.Now())
	}
	exchange.result.Sends++
	exchange.result.LastSend = time.Since(exchange.arrivedAt)
}

// countRejection counts a send that the upstream rejected for want of capacity.
func (attempt *attempt) countRejection() {
	if attempt.number == 1 {
		attempt.exchange.result.RejectedFirst = true
		return
	}
	attempt.exchange.result.RejectedRepeats++
}

// newOutgoing returns the request as the attempt sends it; ctx is the context of a send that may follow.
func (exchange *exchange) newOutgoing(ctx context.Context, attempt *attempt) *connector.Outgoing {
	assignment := attempt.assignment
	header := endToEnd(exchange.request.Header)
	urgency := exchange.urgency
	switch {
	case assignment.Deferred():
		urgency = exchange.deferredUrgency
	case exchange.result.BeyondShare:
		urgency = max(urgency, exchange.lastUrgency)
	}
	exchange.forwarder.protocol.Encode(header, &exchange.call, Send{
		Upstream:     assignment.Upstream().ID,
		Organisation: exchange.result.Organisation,
		TimeLeft:     exchange.timeLimit - time.Since(exchange.arrivedAt),
		Engine:       exchange.service.Engine,
		Urgency:      urgency,
		LastEvent:    exchange.stream.lastID(),
	})
	return &connector.Outgoing{
		Method: exchange.request.Method,
		ID:     exchange.call.Attempt,
		Target: originForm(exchange.request),
		Host:   exchange.request.Host,
		Header: header,
		Body:   exchange.body,

		Confirm:     func() error { return exchange.confirmChoice(attempt.start, assignment.Upstream()) },
		Admission:   exchange.admission(assignment.Upstream()),
		Reservation: exchange.takeReservation(),
		Silence:     newSilence(ctx, attempt),
		Repeatable:  exchange.mayRepeatAfter(exchange.result.Sends + 1),
		Belongs: func(status int, header http.Header) bool {
			return exchange.forwarder.protocol.IsAnswerTo(status, header, &exchange.call)
		},
		Skipped: attempt.recordSkipped,
	}
}

// recordSkipped counts a response on the connection that belongs to another request, and logs it if it is one of the first.
func (attempt *attempt) recordSkipped(status int, header http.Header) {
	exchange := attempt.exchange
	exchange.result.Skipped++
	if exchange.result.Skipped > maxLoggedSkips {
		return
	}
	statement := exchange.forwarder.protocol.DecodeAnswer(status, header)
	exchange.forwarder.log(logger.EventAnswerSkipped,
		"request", exchange.call.Attempt, "upstream", attempt.assignment.Upstream().ID, "connection", attempt.outgoing.Position,
		"status", status, "notRun", statement.NotRun, "of", statement.Attempt, "afterMs", time.Since(attempt.sentAt).Milliseconds(),
	)
}

// judgeUnsent ends an attempt of which nothing was sent, because of the error.
func (attempt *attempt) judgeUnsent(err error) sendResult {
	var failure *connector.Error
	if errors.As(err, &failure) && failure.Kind() == connector.Denied {
		attempt.exchange.recordDenied(err)
		return attempt.endFailed(selector.Abandoned, sendResult{reason: Limited, notSent: true}, err)
	}
	if failure != nil && failure.Kind() == connector.Unconfirmed {
		return attempt.endFailed(selector.Abandoned, sendResult{reason: NoUpstream, notSent: true}, err)
	}
	outcome := selector.Unreachable
	if attempt.start.Err() != nil || failure != nil && failure.Kind() == connector.Unsent {
		// That an idle connection failed does not show that a new one would.
		outcome = selector.Abandoned
	}
	attempt.recordUnconnected(err)
	attempt.countUnconnected()
	return attempt.endFailed(outcome, sendResult{reason: NoUpstream, notSent: true}, err)
}

// judgeNoAnswer ends an attempt that got no head of an answer, because of the error.
func (attempt *attempt) judgeNoAnswer(err error) sendResult {
	attempt.exchange.result.MayHaveRun = true
	var failure *connector.Error
	if errors.As(err, &failure) && failure.Kind() == connector.PathLost {
		return attempt.endFailed(selector.Abandoned, sendResult{reason: Broken}, err)
	}
	if excess := excessOf(err); excess != nil {
		return attempt.endExcessive(excess, false)
	}
	return attempt.judgeBroken(err)
}

// judgeBroken ends an attempt that was sent and then cancelled or disconnected.
func (attempt *attempt) judgeBroken(err error) sendResult {
	silent := attempt.assignment.UpstreamSilent()
	switch {
	case errors.Is(err, errUpstreamSilent):
		return attempt.endFailed(selector.Unreachable, sendResult{reason: Broken}, errUpstreamSilent)
	case errors.Is(context.Cause(attempt.ctx), errRestarted):
		return attempt.endFailed(selector.Unreachable, sendResult{reason: Broken}, errRestarted)
	case errors.Is(context.Cause(attempt.ctx), context.DeadlineExceeded) && silent:
		return attempt.endFailed(selector.Unreachable, sendResult{reason: TimedOut}, err)
	case errors.Is(context.Cause(attempt.ctx), context.DeadlineExceeded):
		return attempt.endFailed(selector.Abandoned, sendResult{reason: TimedOut}, err)
	case attempt.ctx.Err() != nil:
		return attempt.endFailed(selector.Abandoned, sendResult{reason: attempt.exchange.forwarder.disconnectReason()}, err)
	default:
		now := time.Now()
		presence := attempt.examineUpstream(now, err)
		attempt.recordBroken(now, presence, err)
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken, presence: presence}, err)
	}
}

// excessOf returns why an answer was not read on if that was for its size or for want of memory, else nil.
func excessOf(err error) *rationer.Error {
	var excess *rationer.Error
	if errors.As(err, &excess) {
		return excess
	}
	return nil
}

// endExcessive ends an attempt whose answer was not read on. The answer is broken if it is larger than any answer
// may be, or outsized among those for which there is no memory together. Otherwise the upstream is not at fault.
func (attempt *attempt) endExcessive(excess *rationer.Error, outsized bool) sendResult {
	if excess.Kind() == rationer.TooLarge || outsized {
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, excess)
	}
	return attempt.endFailed(selector.Abandoned, sendResult{reason: Overloaded}, excess)
}

// countUnconnected counts an attempt without a connection, and whether peers reach the upstream.
func (attempt *attempt) countUnconnected() {
	record := &attempt.exchange.result
	record.Unconnected++
	activity := attempt.assignment.Activity(time.Now())
	if activity.AtPeers != selector.NoActivity && activity.AtPeers <= recentActivity {
		record.UnconnectedHere++
	}
}

// endFailed ends the assignment with the outcome and logs why the send failed.
func (attempt *attempt) endFailed(outcome selector.Outcome, result sendResult, cause any) sendResult {
	now := time.Now()
	activity := attempt.assignment.Activity(now)
	attempt.assignment.End(now, outcome)
	attempt.exchange.forwarder.log(logger.EventSendFailed,
		"request", attempt.exchange.call.Attempt, "upstream", attempt.assignment.Upstream().ID, "reason", result.reason, "outcome", result.outcome(),
		"connection", attempt.outgoing.Position, "entry", attempt.assignment.Upstream().Listing(), "copyAgeMs", attempt.exchange.forwarder.copyAge(now).Milliseconds(),
		"presence", result.presence, "identity", attempt.exchange.result.Identity, "opened", attempt.outgoing.Position.Opened(), "choiceAgeMs", attempt.choiceAge(now).Milliseconds(),
		"send", attempt.number, "believedInFlight", attempt.assignment.InFlightAtChoice(), "afterMs", now.Sub(attempt.sentAt).Milliseconds(), "heardMs", activity.Here.Milliseconds(), "peersHeardMs", activity.AtPeers.Milliseconds(), "parts", attempt.partsAtBreak(result), "cause", cause,
	)
	return result
}

// choiceAge returns how long after its choice the upstream was sent the first byte, or how long ago it was chosen
// if none was sent.
func (attempt *attempt) choiceAge(now time.Time) time.Duration {
	if begunAt := attempt.outgoing.BegunAt; !begunAt.IsZero() {
		now = begunAt
	}
	return now.Sub(attempt.chosenAt)
}

// relayWhole reads an answer to its end, checks it and passes it to the caller.
func (attempt *attempt) relayWhole(answer *connector.Answer, statement Statement) sendResult {
	exchange := attempt.exchange
	share := exchange.forwarder.answers.NewShare()
	defer func() { share.Release() }()
	pieces, err := share.ReadPieces(attempt.ctx, answer, answer.Length, MaxAnswerBytes)
	if statement.misdirected(answer.Status) {
		attempt.recordFailure(time.Now(), messenger.EvidenceReplaced)
		return attempt.endFailed(selector.Gone, sendResult{reason: NoUpstream, notRun: true, misdirected: true}, answer.Status)
	}
	attempt.endPlace()
	if statement.NotRun {
		attempt.countRejection()
		return attempt.endFailed(selector.Full, sendResult{reason: Full, notRun: true}, answer.Status)
	}
	exchange.result.MayHaveRun = true
	if excess := excessOf(err); excess != nil {
		return attempt.endExcessive(excess, share.Outsized())
	}
	if err != nil {
		return attempt.judgeBroken(err)
	}
	exchange.markBegun()
	if !statement.acceptable(answer.Status) || rationer.Size(pieces) > MaxAnswerBytes {
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, answer.Status)
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, pieces: pieces}
	if answer.Status >= http.StatusInternalServerError {
		exchange.upstreamFailure = whole
		share, exchange.failureShare = exchange.failureShare, share
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, answer.Status)
	}
	if exchange.stream.headWritten.Load() {
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, answer.Status)
	}
	attempt.endAnswered(answer)
	exchange.deliver(whole)
	return sendResult{reason: Served}
}

// endAnswered ends the assignment of an attempt whose answer came whole. A success clears the
// request of the suspicion that it ended earlier upstreams. An upstream's error answer does
// not, as it may have failed before it ran the request. Neither does an answer that is
// delimited by the close of its connection, as the upstream itself may have ended.
func (attempt *attempt) endAnswered(answer *connector.Answer) {
	now := time.Now()
	attempt.assignment.End(now, selector.Answered)
	if isSuccess(answer.Status) && answer.Delimited {
		attempt.exchange.forwarder.quarantine.RecordServed(now, attempt.exchange.result.Identity, attempt.exchange.parts...)
	}
}

// acceptable reports whether an answer may be passed to the caller unchanged. Its status must be one of a
// final answer. A success needs a signature. Statuses that promise a caller that the request did not run are never passed
// on, as the upstream did not state that.
func (statement Statement) acceptable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	final := status >= http.StatusOK && status <= maxStatus
	return final && statement.Intact && (statement.Signed || !isSuccess(status))
}

// misdirected reports whether an answer states that another upstream has taken over the address.
func (statement Statement) misdirected(status int) bool {
	return status == http.StatusMisdirectedRequest && statement.NotRun
}

// isSuccess reports whether a status is one of success.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

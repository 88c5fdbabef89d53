package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/selector"
)

const (
	// maxAnswerBytes bounds a whole answer.
	maxAnswerBytes = 16 << 20
	// firstPatience is the part of its latency objective that an idempotent
	// request waits for an upstream from which nothing at all has come since. Played
	// with crashing and silent upstreams, 0.8 was worse, 2.5 within noise.
	firstPatience = 1.5
	// minPatience is the least of such waits: below it, packets that were lost
	// and sent again would count as silence.
	minPatience = 300 * time.Millisecond
	// gapPatience is how many of the longest pauses aimed at a stream that may
	// resume waits for its next event; 6 was within noise of it.
	gapPatience = 3
)

// errStalled is the cause of an attempt's end when its upstream was silent.
var errStalled = errors.New("nothing came from the upstream")

// attempt is one send of a request.
type attempt struct {
	passage    *passage
	assignment *selector.Assignment
	sentAt     time.Time
	cancel     context.CancelCauseFunc
	// patience is how long the upstream may be silent before its first event, and
	// gap how long behind it; 0 is for ever.
	patience time.Duration
	gap      time.Duration
	// begunAt is when the first event came; zero before. The passage's goroutine owns it.
	begunAt time.Time
	// latest is when the latest event came, as time since sentAt; 0 is none yet.
	// The timer reads it.
	latest atomic.Int64
}

// attempt sends the request to the assigned upstream and passes the answer on.
func (passage *passage) attempt(ctx context.Context, assignment *selector.Assignment) verdict {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempt := &attempt{passage: passage, assignment: assignment, sentAt: time.Now(), cancel: cancel}
	attempt.patience, attempt.gap = passage.patience()
	attempt.watch(attempt.patience)
	defer passage.forwarder.watch.Clear(attempt)
	passage.forwarder.roster.add(attempt)
	defer passage.forwarder.roster.remove(attempt)
	passage.note(assignment)
	answer, err := passage.forwarder.connector.Exchange(ctx, assignment.Upstream().Address, passage.outgoing(assignment))
	if err != nil {
		return attempt.unanswered(ctx, err)
	}
	passage.sent()
	defer answer.Close()
	statement := passage.forwarder.protocol.Judge(answer.Status, answer.Header)
	if answer.Status != http.StatusMisdirectedRequest {
		// That one comes from another upstream, which has the address by now.
		attempt.heed(statement)
	}
	if passage.rule.Streamed && answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices {
		return attempt.relay(ctx, answer, statement)
	}
	if !statement.NotRun {
		assignment.Begun(time.Now())
	}
	return attempt.takeWhole(ctx, answer, statement)
}

// patience returns how long an upstream may be silent before its first event, and
// between two, until the request is sent to another; 0 when it may not be.
func (passage *passage) patience() (first, gap time.Duration) {
	if !passage.rule.Idempotent() || passage.rule.MaxAttempts < 2 || passage.rule.Objective == 0 {
		return 0, 0
	}
	first = max(time.Duration(firstPatience*float64(passage.rule.Objective)), minPatience)
	return first, gapPatience * passage.rule.GapObjective
}

// watch has the attempt looked at after the time.
func (attempt *attempt) watch(after time.Duration) {
	if after > 0 {
		attempt.passage.forwarder.watch.Set(attempt, time.Now().Add(after))
	}
}

// expire ends the attempt if its upstream has been silent for too long: before
// the first event towards all requests of this node, behind it towards this one.
// It is called by the timer.
func (attempt *attempt) expire() {
	latest := time.Duration(attempt.latest.Load())
	if latest == 0 {
		if attempt.assignment.Silent() {
			attempt.cancel(errStalled)
			return
		}
		attempt.watch(attempt.patience)
		return
	}
	quiet := time.Since(attempt.sentAt) - latest
	if attempt.gap > 0 && quiet >= attempt.gap {
		attempt.cancel(errStalled)
		return
	}
	attempt.watch(attempt.gap - quiet)
}

// note logs the choice of an upstream.
func (passage *passage) note(assignment *selector.Assignment) {
	upstream := assignment.Upstream()
	if passage.tried == nil {
		passage.tried = make(map[definer.UpstreamName]bool)
	}
	passage.tried[upstream.ID] = true
	passage.forwarder.log(logger.EventRequestSent,
		"request", passage.call.Attempt, "identity", passage.result.Identity, "rule", passage.rule.Name, "upstream", upstream.ID, "address", upstream.Address,
		"dataCentre", upstream.DataCentre, "send", passage.result.Sends+1, "basis", assignment.Basis(),
		"leftMs", (passage.timeLeft - time.Since(passage.arrived)).Milliseconds(), "lastEvent", passage.stream.lastID(),
	)
}

// sent counts a send that may have reached an upstream.
func (passage *passage) sent() {
	if passage.result.Sends == 0 {
		passage.forwarder.budget.First(passage.service.Name, time.Now())
	}
	passage.result.Sends++
}

func (passage *passage) outgoing(assignment *selector.Assignment) *connector.Outgoing {
	header := endToEnd(passage.request.Header)
	urgency := passage.urgency
	if assignment.Deferred() {
		urgency = passage.deferredUrgency
	}
	passage.forwarder.protocol.Encode(header, &passage.call, Send{
		Upstream:     assignment.Upstream().ID,
		Organisation: passage.result.Organisation,
		TimeLeft:     passage.timeLeft - time.Since(passage.arrived),
		Engine:       passage.service.Engine,
		Urgency:      urgency,
		LastEvent:    passage.stream.lastID(),
	})
	return &connector.Outgoing{
		Method: passage.request.Method,
		Target: passage.request.RequestURI,
		Host:   passage.request.Host,
		Header: header,
		Body:   passage.body,
		Belongs: func(status int, header http.Header) bool {
			return passage.forwarder.protocol.Belongs(status, header, &passage.call)
		},
	}
}

// unanswered judges an exchange without an answer.
func (attempt *attempt) unanswered(ctx context.Context, err error) verdict {
	var failure *connector.Error
	if errors.As(err, &failure) && failure.Kind() == connector.Unconnected {
		outcome := selector.Unreachable
		if ctx.Err() != nil {
			outcome = selector.Abandoned
		}
		return attempt.failed(outcome, verdict{reason: NoUpstream, notSent: true}, err)
	}
	attempt.passage.sent()
	attempt.passage.result.MayHaveRun = true
	return attempt.broken(ctx, err)
}

// broken judges an exchange that broke off after it was sent.
func (attempt *attempt) broken(ctx context.Context, err error) verdict {
	silent := attempt.assignment.Silent()
	switch {
	case errors.Is(context.Cause(ctx), errStalled) || errors.Is(context.Cause(ctx), errRestarted):
		return attempt.failed(selector.Unreachable, verdict{reason: Broken}, context.Cause(ctx))
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded) && silent:
		return attempt.failed(selector.Unreachable, verdict{reason: TimedOut}, err)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		return attempt.failed(selector.Abandoned, verdict{reason: TimedOut}, err)
	case ctx.Err() != nil:
		return attempt.failed(selector.Abandoned, verdict{reason: Left}, err)
	default:
		return attempt.failed(selector.Failed, verdict{reason: Broken, presence: attempt.look(time.Now(), err)}, err)
	}
}

// failed ends the assignment and logs why.
func (attempt *attempt) failed(outcome selector.Outcome, verdict verdict, cause any) verdict {
	attempt.assignment.End(time.Now(), outcome)
	attempt.passage.forwarder.log(logger.EventSendFailed,
		"request", attempt.passage.call.Attempt, "identity", attempt.passage.result.Identity, "upstream", attempt.assignment.Upstream().ID,
		"reason", verdict.reason, "notSent", verdict.notSent, "notRun", verdict.notRun, "presence", verdict.presence,
		"afterMs", time.Since(attempt.sentAt).Milliseconds(), "cause", cause,
	)
	return verdict
}

// takeWhole reads an answer to its end, judges it and passes it on.
func (attempt *attempt) takeWhole(ctx context.Context, answer *connector.Answer, statement Statement) verdict {
	passage := attempt.passage
	body, err := answer.ReadAll(maxAnswerBytes)
	if answer.Status == http.StatusMisdirectedRequest {
		return attempt.failed(selector.Gone, verdict{reason: NoUpstream, notRun: true, misdirected: true}, answer.Status)
	}
	if statement.NotRun {
		return attempt.failed(selector.Full, verdict{reason: Full, notRun: true}, answer.Status)
	}
	passage.result.MayHaveRun = true
	if err != nil {
		return attempt.broken(ctx, err)
	}
	passage.begin()
	if !statement.acceptable(answer.Status) {
		return attempt.failed(selector.Failed, verdict{reason: Broken}, answer.Status)
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError {
		passage.failure = whole
		return attempt.failed(selector.Failed, verdict{reason: Broken}, answer.Status)
	}
	if passage.stream.begun {
		return attempt.failed(selector.Failed, verdict{reason: Broken}, answer.Status)
	}
	attempt.answered(answer)
	passage.deliver(whole)
	return verdict{reason: Served}
}

// answered ends the assignment of an attempt whose answer came whole. An upstream that has
// run the request whole clears it of what became of others under it; a failure of its own
// may come from before it began, and an answer that ends with its connection from its end.
func (attempt *attempt) answered(answer *connector.Answer) {
	now := time.Now()
	attempt.assignment.End(now, selector.Answered)
	success := answer.Status >= http.StatusOK && answer.Status < http.StatusMultipleChoices
	if success && answer.Delimited {
		attempt.passage.forwarder.quarantine.Served(now, attempt.passage.result.Identity)
	}
}

// acceptable tells whether an answer may be passed on as it is: a success only
// with its signature, and none that promises what its upstream did not state.
func (statement Statement) acceptable(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	return statement.Intact && (statement.Signed || !success)
}

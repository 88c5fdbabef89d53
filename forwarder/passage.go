package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/quarantiner"
	"limpetcleat/router"
	"limpetcleat/selector"
)

// passage is one request of a caller on its way. Its goroutine owns it.
type passage struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	// arrived is when the request's head had been read.
	arrived time.Time

	call    Call
	rule    *router.Rule
	service *router.Service
	// urgency is what engines are told; 0 goes first.
	urgency int
	// deferredUrgency is that of a request that will be late anyway, if deferrable is
	// set.
	deferredUrgency int
	deferrable      bool
	body            []byte
	// timeLeft bounds the whole passage from arrived on.
	timeLeft time.Duration

	// tried holds the upstreams that the request was sent to or could not reach.
	tried map[definer.UpstreamName]bool
	// dials counts those that it could not reach.
	dials int
	// asks counts the permits that it asked for, budgeted is set while a repeat is paid for
	// that was not sent yet.
	asks     int
	budgeted bool
	// pause is after what time a refused caller is to come back; 0 is the reason's own.
	pause time.Duration
	// heldFor is how long the request is held off at the longest; 0 when it is not.
	heldFor time.Duration
	// failure is an upstream's own failure, delivered if nothing better comes.
	failure *wholeAnswer
	// sendReason is why the last send failed; empty when none did.
	sendReason Reason
	// counted is set once the request is known to have begun at an upstream.
	counted bool
	// stream is the part of a stream that was passed on.
	stream stream
	result Record
}

// admit decodes and checks the request; it returns why it is refused, or
// nothing.
func (passage *passage) admit() Reason {
	forwarder := passage.forwarder
	call, err := forwarder.protocol.Decode(passage.request)
	passage.call = call
	passage.result.Attempt = call.Attempt
	table := forwarder.configuration.Table()
	switch {
	case err != nil:
		return Malformed
	case forwarder.refusing.Load():
		return Stopping
	case table == nil || !forwarder.directory.Known():
		return Unconfigured
	}
	passage.result.Version = table.Version()
	passage.result.Age = passage.arrived.Sub(forwarder.configuration.Confirmed())
	if reason := passage.match(table); reason != "" {
		return reason
	}
	if reason := passage.read(table.Limits()); reason != "" {
		return reason
	}
	passage.identify()
	return ""
}

// identify settles what attempts of the same request have in common.
func (passage *passage) identify() {
	passage.result.Identity = quarantiner.Identify(&quarantiner.Subject{
		Organisation: passage.result.Organisation,
		Method:       passage.request.Method,
		Host:         passage.request.Host,
		Target:       passage.request.URL.RequestURI(),
		Body:         passage.body,
	})
}

// match finds the rule, the service and the organisation.
func (passage *passage) match(table *router.Table) Reason {
	forwarder := passage.forwarder
	rule, err := table.Match(passage.request.Host, passage.request.URL.EscapedPath())
	if err != nil {
		return forwarder.certain(UnknownRule)
	}
	passage.rule = rule
	organisation, err := table.Authenticate(rule, passage.call.Key)
	if err != nil {
		return forwarder.certain(UnknownKey)
	}
	if organisation != nil && !forwarder.confirmed(passage.arrived) {
		return Unconfirmed
	}
	service, ok := table.Service(rule.Pick(forwarder.draw()))
	if !ok {
		return NoUpstream
	}
	passage.service = service
	passage.result.Rule = rule.Name
	passage.result.Service = service.Name
	passage.result.Objective = rule.Objective
	passage.result.GapObjective = rule.GapObjective
	passage.result.Tier = table.Tier(rule, organisation)
	passage.urgency = table.Urgency(rule, organisation)
	passage.deferredUrgency, passage.deferrable = table.DeferredUrgency(rule)
	if organisation != nil {
		passage.result.Organisation = organisation.Name
	}
	return ""
}

// certain returns the reason, or Unconfirmed while the platform does not answer:
// a newer configuration may know what this one does not.
func (forwarder *Forwarder) certain(reason Reason) Reason {
	if forwarder.configuration.Healthy() {
		return reason
	}
	return Unconfirmed
}

// read reads the body.
func (passage *passage) read(limits router.Limits) Reason {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if passage.request.ContentLength > limit {
		return TooLarge
	}
	if passage.forwarder.heldBytes.Load()+max(passage.request.ContentLength, 0) > passage.forwarder.maxHeldBytes {
		return Overloaded
	}
	control := http.NewResponseController(passage.writer)
	_ = control.SetReadDeadline(passage.arrived.Add(bodyTimeout)) // Only a test's writer has none.
	body, err := io.ReadAll(io.LimitReader(passage.request.Body, limit+1))
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return Malformed
	case int64(len(body)) > limit:
		return TooLarge
	}
	passage.body = body
	passage.forwarder.heldBytes.Add(int64(len(body)))
	return ""
}

// serve sends the request until it is answered or given up.
func (passage *passage) serve() {
	passage.timeLeft = passage.budgetedTime()
	end := passage.arrived.Add(passage.timeLeft + answerMargin)
	_ = http.NewResponseController(passage.writer).SetWriteDeadline(end.Add(writeMargin))
	ctx := passage.request.Context()
	if !passage.rule.Streamed && !passage.rule.Idempotent() {
		// A run that may not be repeated is not broken off for a caller that left.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	reason := passage.sendUntilServed(ctx)
	if reason != Served {
		passage.fail(reason)
	}
	passage.result.Reason = reason
}

// budgetedTime returns how long the request may take in all.
func (passage *passage) budgetedTime() time.Duration {
	left := defaultTimeLeft
	if passage.rule.Timeout > 0 {
		left = passage.rule.Timeout
	}
	if passage.call.HasTimeLeft {
		left = min(left, passage.call.TimeLeft)
	}
	return left
}

// sendUntilServed returns Served, or why the request is given up.
func (passage *passage) sendUntilServed(ctx context.Context) Reason {
	for {
		if passage.isHeldOff(ctx) {
			return passage.lastReason(HeldOff)
		}
		if reason := passage.over(ctx); reason != "" {
			return reason
		}
		assignment, err := passage.choose()
		if err != nil {
			return passage.lastReason(passage.unassigned(err))
		}
		if !passage.mayRepeat() {
			assignment.End(time.Now(), selector.Abandoned)
			return passage.lastReason(Full)
		}
		if !passage.permitted(ctx, assignment) {
			if passage.asks < maxAsks {
				continue
			}
			return passage.lastReason(Limited)
		}
		passage.budgeted = false
		verdict := passage.attempt(ctx, assignment)
		if verdict.reason == Served {
			return Served
		}
		passage.sendReason = verdict.reason
		if !passage.mayGoOn(verdict) {
			if reason := passage.over(ctx); reason != "" {
				return reason
			}
			return verdict.reason
		}
	}
}

// mayRepeat tells whether the request may be sent, which takes something of the budget if it
// was sent before.
func (passage *passage) mayRepeat() bool {
	if passage.result.Sends == 0 || passage.budgeted {
		return true
	}
	passage.budgeted = passage.forwarder.budget.Take(passage.service.Name, time.Now())
	return passage.budgeted
}

// begin notes that the request has begun at an upstream, be it for the first time or again.
func (passage *passage) begin() {
	if !passage.counted {
		passage.counted = true
		passage.forwarder.begun(passage.result.Organisation)
	}
}

// unassigned returns why no upstream was chosen, and notes when one may be.
func (passage *passage) unassigned(err error) Reason {
	var saturation *selector.Saturation
	var limitation *selector.Limitation
	switch {
	case errors.As(err, &saturation):
		passage.pause = saturation.Pause
		return Saturated
	case errors.As(err, &limitation):
		passage.pause = limitation.Pause
		return limitReason(err)
	}
	return NoUpstream
}

// limitReason returns which kind of limitation the choice of an upstream met.
func limitReason(err error) Reason {
	var failure *selector.Error
	if errors.As(err, &failure) && failure.Kind() == selector.BackingOff {
		return BackingOff
	}
	return Limited
}

// lastReason returns why the last send failed, or the reason when none did.
func (passage *passage) lastReason(reason Reason) Reason {
	if passage.sendReason != "" {
		return passage.sendReason
	}
	return reason
}

// over tells whether the caller has left or its time is over.
func (passage *passage) over(ctx context.Context) Reason {
	switch {
	case passage.request.Context().Err() != nil:
		return Left
	case ctx.Err() != nil || time.Since(passage.arrived) >= passage.timeLeft:
		return TimedOut
	}
	return ""
}

func (passage *passage) choose() (*selector.Assignment, error) {
	demand := &selector.Demand{
		Service:      passage.service.Name,
		Kind:         passage.rule.Name,
		Tier:         passage.rule.Tier,
		Candidates:   passage.forwarder.directory.Of(passage.service.Name),
		Tried:        passage.tried,
		Engine:       passage.service.Engine,
		CacheTokens:  passage.service.CacheTokens,
		OutputTokens: passage.call.OutputTokens,
		PromptTokens: passage.call.PromptTokens,
		Idempotent:   passage.rule.Idempotent(),
		Patience:     passage.permitPatience(),
		Deferrable:   passage.deferrable && passage.result.Sends == 0,
		TimeLeft:     passage.timeLeft - time.Since(passage.arrived),
	}
	if passage.rule.Objective > 0 {
		demand.Objective = max(passage.rule.Objective-time.Since(passage.arrived), time.Nanosecond)
	}
	if passage.rule.SharesPrefixes {
		demand.Parts = passage.call.shared()
	}
	return passage.forwarder.selector.Choose(time.Now(), demand)
}

// fail ends a request that was not served.
func (passage *passage) fail(reason Reason) {
	switch {
	case passage.stream.begun:
		passage.result.Status = 0
		passage.result.Reason = reason
		passage.abort()
	case reason == Left:
		return
	case passage.failure != nil:
		passage.deliver(passage.failure)
	case passage.result.MayHaveRun:
		passage.respond(reason.failedStatus(), reason)
	default:
		passage.respond(reason.status(), reason)
	}
}

// refuse answers a request that is not sent to any upstream.
func (passage *passage) refuse(reason Reason) {
	passage.result.Reason = reason
	if reason == TooLarge || reason == Malformed {
		// The rest of the body is not read.
		passage.writer.Header().Set("Connection", "close")
	}
	passage.respond(reason.status(), reason)
}

func (passage *passage) respond(status int, reason Reason) {
	passage.result.Status = status
	passage.result.First = time.Since(passage.arrived)
	passage.writeRefusal(status, reason)
}

// returnAfter returns when a refused caller is to come back: spread, so that those
// who were refused together do not come together.
func (passage *passage) returnAfter(reason Reason) time.Duration {
	if reason == HeldOff {
		// Sooner would be in vain.
		return time.Duration((1 + returnSpread*passage.forwarder.draw()) * float64(passage.heldFor))
	}
	if passage.pause == 0 {
		return reason.pause()
	}
	spread := 1 - returnSpread*passage.forwarder.draw()
	return max(time.Duration(spread*float64(passage.pause)), elsewherePause)
}

// abort closes the caller's connection in the middle of an answer, so that it
// does not look whole.
func (passage *passage) abort() {
	conn, _, err := http.NewResponseController(passage.writer).Hijack()
	if err != nil {
		passage.forwarder.log(logger.EventAnswerUndelivered, "request", passage.call.Attempt, "cause", err)
		return
	}
	_ = conn.Close() // The connection is given up either way.
}

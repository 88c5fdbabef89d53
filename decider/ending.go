package decider

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// handleAttemptEnd handles the end of an attempt.
func (requester *requester) handleAttemptEnd(event AttemptEnded) {
	request, ok := requester.requests[event.Request]
	if !ok || request.state != running || request.attemptID() != event.Attempt {
		return
	}
	if event.Leaving {
		requester.enqueue(UpstreamLeaving{Name: upstreamName(request.upstream)})
	}
	requester.suspicions.handleAttemptEnd(request, event)
	requester.release(request, event.Observation)
	request.delivered = max(request.delivered, event.Delivered)
	request.answerBegun = request.answerBegun || event.AnswerBegun
	if request.firstToken == 0 && event.Observation.FirstToken > 0 {
		request.firstToken = request.attemptStarted.Sub(request.arrived) + event.Observation.FirstToken
	}
	if event.Result != AttemptUnsent && event.Result != AttemptRefused {
		request.mayHaveRun = true
	}
	request.answer = event.Answer
	switch event.Result {
	case AttemptComplete:
		requester.finish(request, event)
	case AttemptAbandoned:
		requester.refuse(request, messenger.CallerGone, 0)
	default:
		requester.retryOrRefuse(request, event)
	}
}

// finish closes a request whose whole answer has been delivered.
func (requester *requester) finish(request *request, event AttemptEnded) {
	requester.budget.earn(requester.configuration.RetryShare())
	requester.emit(FinishRequest{Request: request.id})
	requester.close(request, Record{Complete: true, MetTargets: requester.metTargets(request, event), Outcome: definer.Ran, BetweenTokens: event.Observation.BetweenTokens})
}

// metTargets reports whether a whole answer came within its class's targets.
func (requester *requester) metTargets(request *request, event AttemptEnded) bool {
	class := request.class
	total := requester.now.Sub(request.arrived)
	switch {
	case class.Total() > 0 && total > class.Total():
		return false
	case !request.properties.Streamed:
		return wholeMetTargets(class, total, event.Observation.Tokens)
	case class.FirstToken() > 0 && request.firstToken > class.FirstToken():
		return false
	case class.BetweenTokens() > 0 && event.Observation.BetweenTokens > class.BetweenTokens():
		return false
	}
	return true
}

// wholeMetTargets reports whether an answer that was not streamed came within
// the time that its tokens would have taken at the class's targets.
func wholeMetTargets(class *definer.Class, total time.Duration, tokens int) bool {
	if class.FirstToken() == 0 {
		return true
	}
	return total <= class.FirstToken()+time.Duration(tokens)*class.BetweenTokens()
}

// retryOrRefuse retries a request whose attempt failed, or refuses it.
func (requester *requester) retryOrRefuse(request *request, event AttemptEnded) {
	requester.log(EventAttemptFailed, "request", request.id, "attempt", event.Attempt, "upstream", upstreamName(request.upstream), "result", event.Result,
		"firstMs", event.Observation.FirstToken.Milliseconds(), "totalMs", event.Observation.Total.Milliseconds())
	request.excluded = append(request.excluded, upstreamName(request.upstream))
	if !request.answerBegun {
		request.wastedTokens += event.Observation.Tokens
	}
	if !requester.mayRetry(request, event) {
		requester.refuse(request, messenger.UpstreamFailed, max(event.RetryAfter, defaultRetryAfter))
		return
	}
	request.retries++
	request.untriedShards = requester.candidateShards(request)
	requester.askNextShard(request, messenger.UpstreamFailed, defaultRetryAfter)
}

// mayRetry reports whether a failed request may be sent again. A request that
// may have run is sent again only if its rule says that it is idempotent, and
// one whose answer has begun only if the answer can be resumed where it
// stopped.
func (requester *requester) mayRetry(request *request, event AttemptEnded) bool {
	switch {
	case request.attempt >= maxAttempts || !requester.suspicions.mayRetry(request, event):
		return false
	case request.mayHaveRun && !request.repeatable():
		return false
	case request.answerBegun && !event.Resumable:
		return false
	case request.overdue(requester.now):
		return false
	}
	// An attempt that never reached its upstream costs nothing to repeat.
	return event.Result == AttemptUnsent || requester.budget.spend()
}

// refuse ends a request with an error.
func (requester *requester) refuse(request *request, reason messenger.RefusalReason, retryAfter time.Duration) {
	if request.mayHaveRun && !request.repeatable() {
		// A retry could run the request twice.
		retryAfter = 0
	}
	refusal := refusalFor(reason, request.outcome(), retryAfter)
	refusal.KeyOffer = request.offeredKey
	requester.emit(RefuseRequest{Request: request.id, Refusal: refusal})
	requester.log(EventRequestRefused, "request", request.id, "class", request.class.Name(), "reason", reason, "outcome", refusal.Outcome)
	requester.close(request, Record{Reason: reason, Outcome: refusal.Outcome})
}

// refuseOnArrival refuses a request before any work has started for it. The
// refusal is counted if its rule gives it a class.
func (requester *requester) refuseOnArrival(request *request, refusal Refusal) {
	requester.emit(RefuseRequest{Request: request.id, Refusal: refusal})
	if request.class == nil {
		requester.log(EventRequestRefused, "request", request.id, "organisation", request.organisation, "reason", refusal.Reason, "outcome", refusal.Outcome)
		return
	}
	requester.log(EventRequestRefused, "request", request.id, "class", request.class.Name(), "reason", refusal.Reason, "outcome", refusal.Outcome)
	requester.emit(Record{
		Request: request.id, Class: request.class.Name(), Pool: request.pool.Name(), Organisation: request.organisation,
		Reason: refusal.Reason, Outcome: refusal.Outcome,
	})
}

// close removes a request and counts it.
func (requester *requester) close(request *request, record Record) {
	delete(requester.requests, request.id)
	if request.keyed() {
		requester.enqueue(claimEnded{request: request.id, outcome: record.Outcome, answer: request.answer})
	}
	requester.clearTimer(requesterComponent, string(request.id))
	record.Request = request.id
	record.Class = request.class.Name()
	record.Pool = request.pool.Name()
	record.Organisation = request.organisation
	record.Tokens = request.delivered
	record.Wasted = request.wastedTokens
	if !record.Complete {
		record.Wasted += request.delivered
	}
	record.Retries = request.retries
	record.FirstToken = request.firstToken
	record.Total = requester.now.Sub(request.arrived)
	requester.emit(record)
}

func sortedKeys[Key ~string, Value any](table map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(table))
}

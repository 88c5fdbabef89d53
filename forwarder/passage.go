package forwarder

import (
	"context"
	"errors"
	"net/http"
	"time"

	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/quarantiner"
	"limpetcleat/rationer"
	"limpetcleat/router"
	"limpetcleat/selector"
	"limpetcleat/throttler"
)

// exchange is one caller's request and its answer, over all sends to upstreams. It is owned
// by the goroutine that serves the request.
type exchange struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	// arrivedAt is when the request's head had been read.
	arrivedAt time.Time

	call    Call
	rule    *router.Rule
	service *router.Service
	// regions are those to which the organisation confines its requests; empty means all.
	regions []definer.Region
	// confined is set if upstreams are listed but none of them may serve the request.
	confined bool
	// versionGone is set if upstreams may serve the request but none of them is of the software
	// version that began the stream.
	versionGone bool
	// versionUnrecorded is set if upstreams may serve the request but none of them is of a software version at
	// which streams may begin.
	versionUnrecorded bool
	// urgency is sent to engines; 0 is the most urgent.
	urgency int
	// deferredUrgency replaces urgency if the request is going to miss its objective anyway or
	// exceeds its organisation's share; valid only if deferrable is set. lastUrgency replaces it if
	// the request exceeds the share and is not deferrable.
	deferredUrgency int
	lastUrgency     int
	deferrable      bool
	body            []byte
	// parts are the identities of the parts of the prompt that other requests may share, in order.
	parts []definer.RequestIdentity
	// bodyShare is the memory that the body takes.
	bodyShare *rationer.Share
	// timeLimit bounds the whole exchange, counted from arrivedAt.
	timeLimit time.Duration
	// writeEnd is the latest time at which the caller may read the answer. expired is set once a write has
	// failed because of it, which also ends the context of the request.
	writeEnd time.Time
	expired  bool

	// tried holds the upstreams that the request was sent to or could not be connected to.
	tried map[definer.UpstreamName]bool
	// permitAsks counts the permits that were asked for. budgeted is set while a retry has
	// been charged to the retry budget but not been sent yet.
	permitAsks int
	budgeted   bool
	// holding is the permit in use for the next send; nil if there is none to return.
	holding *throttler.Holding
	// next is the upstream that was chosen for the next send before the previous one was given up, and
	// reservation the connection to it, if one is kept. prepaid is set while a retry has been charged for the
	// send that may follow the present one, and sought once an upstream was looked for.
	next *selector.Assignment
	// chosenAt is when an upstream was last chosen.
	chosenAt    time.Time
	reservation *connector.Reservation
	prepaid     bool
	sought      bool
	// begun is the attempt that was begun before the previous one was given up; nil if there is none.
	begun *attempt
	// retryDelay is after what time a refused caller should retry; 0 means the default of
	// the reason.
	retryDelay time.Duration
	// connectionDelay is the time after which a connection may be opened to one of the upstreams at which
	// none could be; 0 if there is none.
	connectionDelay time.Duration
	// connectionAsks counts the connections that issuers have denied, and connectionDenials those that this
	// node has denied as well.
	connectionAsks    int
	connectionDenials int
	// holdLeft is for how much longer at most the request is held off; 0 if it is not.
	holdLeft time.Duration
	// upstreamFailure is an upstream's own error answer, delivered if no later send succeeds.
	upstreamFailure *wholeAnswer
	// failureShare is the memory that upstreamFailure takes.
	failureShare *rationer.Share
	// sendReason is why the last send failed; empty if none did.
	sendReason Reason
	// begunReported is set once it was reported that an upstream has begun with the request.
	begunReported bool
	// stream tells how much of a streamed answer was passed to the caller.
	stream stream
	result Record
}

// admit decodes and checks the request and reads its body. It returns the reason to refuse
// it, or an empty one.
func (exchange *exchange) admit() Reason {
	forwarder := exchange.forwarder
	call, err := forwarder.protocol.Decode(exchange.request)
	exchange.call = call
	exchange.result.Attempt = call.Attempt
	exchange.result.TakenUp = call.LastEvent != ""
	table := forwarder.configuration.Table()
	switch {
	case err != nil:
		return Malformed
	case forwarder.refusing():
		return Stopping
	case table == nil || !forwarder.configured():
		return Unconfigured
	}
	exchange.result.Version = table.Version()
	exchange.result.Age = exchange.arrivedAt.Sub(forwarder.configuration.Confirmed())
	if reason := exchange.match(table); reason != "" {
		return reason
	}
	exchange.timeLimit = exchange.timeBudget()
	if reason := exchange.readBody(table.Limits()); reason != "" {
		return reason
	}
	reason := exchange.findOrigin()
	exchange.identify()
	return reason
}

// identify computes the identity that all attempts of the same request share, and those of the parts of
// its prompt.
func (exchange *exchange) identify() {
	exchange.result.Identity = quarantiner.Identify(&quarantiner.RequestParts{
		Organisation: exchange.result.Organisation,
		Method:       exchange.request.Method,
		Host:         exchange.request.Host,
		Target:       exchange.request.URL.RequestURI(),
		Body:         exchange.body,
	})
	shared := exchange.call.shared()
	for _, part := range shared[:min(len(shared), quarantiner.MaxParts)] {
		exchange.parts = append(exchange.parts, quarantiner.IdentifyPart(exchange.service.Name, part.ID))
	}
}

// match finds the rule, the service and the organisation of the request. It returns the
// reason to refuse it, or an empty one.
func (exchange *exchange) match(table *router.Table) Reason {
	forwarder := exchange.forwarder
	rule, err := table.Match(exchange.request.Host, exchange.request.URL.EscapedPath())
	if err != nil {
		return forwarder.reasonIfHealthy(UnknownRule)
	}
	exchange.rule = rule
	organisation, err := table.Authenticate(rule, exchange.call.Key)
	if err != nil {
		return forwarder.reasonIfHealthy(UnknownKey)
	}
	if organisation != nil && !forwarder.confirmed(exchange.arrivedAt) {
		return Unconfirmed
	}
	service, ok := table.Service(rule.Pick(forwarder.random()))
	if !ok {
		return NoUpstream
	}
	exchange.service = service
	exchange.result.Rule = rule.Name
	exchange.result.Service = service.Name
	exchange.result.Objective = rule.Objective
	exchange.result.GapObjective = rule.GapObjective
	exchange.result.Tier = table.Tier(rule, organisation)
	exchange.urgency = table.Urgency(rule, organisation)
	exchange.deferredUrgency, exchange.deferrable = table.DeferredUrgency(rule)
	exchange.lastUrgency = table.LastUrgency(rule)
	if organisation != nil {
		exchange.result.Organisation = organisation.Name
		exchange.regions = organisation.Regions
	}
	return ""
}

// reasonIfHealthy returns the reason, or Unconfirmed while the platform does not answer: a
// newer configuration may have the rule or key that this one lacks.
func (forwarder *Forwarder) reasonIfHealthy(reason Reason) Reason {
	if forwarder.configuration.Healthy() {
		return reason
	}
	return Unconfirmed
}

// readBody reads the request's body within the limits. It returns the reason to refuse the
// request, or an empty one.
func (exchange *exchange) readBody(limits router.Limits) Reason {
	limit := limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if exchange.request.ContentLength > limit {
		return TooLarge
	}
	control := http.NewResponseController(exchange.writer)
	_ = control.SetReadDeadline(exchange.arrivedAt.Add(bodyTimeout)) // Only writers in tests support none.
	interrupt := func() { _ = control.SetReadDeadline(time.Now()) }
	unwatch, unwatchRefusal := context.AfterFunc(exchange.forwarder.starting, interrupt), exchange.onRefusal(interrupt)
	body, err := exchange.readBodyWithin(limit)
	unwatch()
	unwatchRefusal()
	_ = control.SetReadDeadline(time.Time{})
	var shortage *rationer.Error
	switch {
	case exchange.stopping():
		return Stopping
	case errors.As(err, &shortage):
		return Overloaded
	case err != nil:
		return Malformed
	case int64(len(body)) > limit:
		return TooLarge
	}
	exchange.body = body
	return ""
}

// readBodyWithin reads the body, after a wait for the memory that it takes.
func (exchange *exchange) readBodyWithin(limit int64) ([]byte, error) {
	wait := bodyWait
	if objective := exchange.rule.Objective; objective > 0 {
		wait = min(wait, time.Duration(bodyWaitShare*float64(objective)))
	}
	ctx, cancel := context.WithTimeout(exchange.request.Context(), wait)
	defer cancel()
	return exchange.bodyShare.ReadAll(ctx, exchange.request.Body, exchange.request.ContentLength, limit)
}

// serve sends the request to upstreams until it is answered or given up.
func (exchange *exchange) serve() {
	end := exchange.end()
	exchange.writeEnd = end.Add(writeMargin)
	_ = http.NewResponseController(exchange.writer).SetWriteDeadline(exchange.writeEnd)
	ctx := exchange.request.Context()
	if !exchange.rule.Streamed && !exchange.rule.Idempotent() {
		// A request that may not run twice is not cancelled when its caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	exchange.judgeShare()
	reason := exchange.sendUntilServed(ctx)
	if reason != Served {
		exchange.fail(reason)
	}
	exchange.result.Reason = reason
}

// end returns when the exchange ends at the latest.
func (exchange *exchange) end() time.Time {
	return exchange.arrivedAt.Add(exchange.timeLimit + answerMargin)
}

// startContext returns a context that ends when no send of the request may begin any more: at its time limit, or
// when a planned stop ends the requests that are not sent. It has ended once EndStarts has returned, but may still
// be valid for a moment after ctx has ended.
func (exchange *exchange) startContext(ctx context.Context) (context.Context, context.CancelFunc) {
	start, cancel := context.WithDeadline(exchange.forwarder.starting, exchange.arrivedAt.Add(exchange.timeLimit))
	unwatch, unwatchRefusal := context.AfterFunc(ctx, cancel), exchange.onRefusal(cancel)
	return start, func() {
		unwatch()
		unwatchRefusal()
		cancel()
	}
}

// onRefusal calls the function if a planned stop lets no send of the request begin any more from when new requests are
// refused on. The result ends that.
func (exchange *exchange) onRefusal(refused func()) (unwatch func() bool) {
	return context.AfterFunc(exchange.forwarder.admitting, func() {
		if exchange.stopping() {
			refused()
		}
	})
}

// stopping reports whether a planned stop lets no send of the request begin any more: one that may take until the
// end of the stop would be cut then. A stream that has begun goes on as long as it can.
func (exchange *exchange) stopping() bool {
	forwarder := exchange.forwarder
	if forwarder.starting.Err() != nil {
		return true
	}
	answersEnd := forwarder.answersEnd.Load()
	return answersEnd != nil && !exchange.stream.headWritten.Load() && exchange.end().After(*answersEnd)
}

// timeBudget returns how long the request may take in total.
func (exchange *exchange) timeBudget() time.Duration {
	left := exchange.rule.TimeLimit(defaultTimeLimit)
	if exchange.call.HasTimeLeft {
		left = min(left, exchange.call.TimeLeft)
	}
	return left
}

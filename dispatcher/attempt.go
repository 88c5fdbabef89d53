package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/interpreter"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
)

// attempt is the state of one attempt in progress.
type attempt struct {
	dispatcher *Dispatcher
	start      decider.StartAttempt
	exchange   Exchange
	sink       Sink
	progress   Progress
	began      time.Time
	cancel     context.CancelFunc
	// mutex guards connection and closed. The mutex of a connection may be locked while
	// it is held.
	mutex sync.Mutex
	// connection is the only connection on which the request is sent.
	connection *connection
	// closed reports whether no connection may be used any more.
	closed bool
	// reused reports whether connection has carried other requests.
	reused bool
	// unproven reports whether the last answer was a refusal that may have been meant for another request and that states
	// neither a limit nor a pause.
	unproven bool
	// apart reports whether the request is sent on a connection of its own.
	apart bool
	// delivered counts the tokens that the caller has received over all attempts.
	delivered int
	// resumable reports whether the upstream numbers its tokens, so that a stream can be
	// resumed at an offset.
	resumable bool
	// finished reports whether a finish reason has arrived.
	finished    bool
	observation messenger.Observation
	// lastToken is the time of the last token; pausedSince is when the engine reported
	// that it paused the request, or zero.
	lastToken   time.Time
	pausedSince time.Time
	// retryAfter is the backoff that the upstream asked for.
	retryAfter time.Duration
	// backoff is retryAfter, bounded by Dispatcher.longestBackoff.
	backoff time.Duration
	// upstreamEnded reports whether the process of the upstream has ended while it ran the
	// attempt, shortly after the attempt began.
	upstreamEnded bool
	// leaving reports whether the upstream refused because it is leaving.
	leaving bool
	// limited reports whether the upstream announced a rate limit.
	limited bool
	// keptStream holds the bytes sent to the caller, to answer repeats of the request.
	keptStream bytes.Buffer
	answer     *decider.StoredAnswer
}

// endedEvent returns the event that reports the end of the attempt.
func (attempt *attempt) endedEvent(result decider.AttemptResult) decider.AttemptEnded {
	observation := attempt.observation
	observation.Backoff = attempt.backoff
	observation.Failed = result != decider.AttemptComplete && result != decider.AttemptAbandoned
	observation.Total = time.Since(attempt.began)
	if observation.Tokens > 1 && !attempt.lastToken.IsZero() {
		span := attempt.lastToken.Sub(attempt.began) - observation.FirstToken - observation.Paused
		observation.BetweenTokens = max(span, 0) / time.Duration(observation.Tokens-1)
	}
	return decider.AttemptEnded{
		Request:       attempt.start.Request,
		Attempt:       attempt.start.Attempt,
		Result:        result,
		Delivered:     attempt.delivered,
		AnswerBegun:   attempt.sink.Begun(),
		Resumable:     attempt.resumable,
		Observation:   observation,
		RetryAfter:    attempt.retryAfter,
		Leaving:       attempt.leaving,
		UpstreamEnded: attempt.upstreamEnded,
		Answer:        attempt.answer,
	}
}

// run sends the request and forwards the answer. It sends a request that may run again once more, on a new
// connection, if its refusal may have been meant for another. A stream that was cut is resumed on the
// same engine, which has kept the tokens it computed. Resuming is not a new attempt; it is
// done only for requests that may run again, in case the engine has lost them, and on a
// new connection: a copy of the first answer has the id of the attempt too.
func (attempt *attempt) run(ctx context.Context) decider.AttemptResult {
	result := attempt.send(ctx)
	if attempt.unproven && ctx.Err() == nil {
		attempt.apart = true
		if again := attempt.send(ctx); mayHaveRun(again) {
			result = again
		}
	}
	for range maxReconnects {
		attempt.apart = true
		// An upstream with a rate limit needs a grant for each request.
		if result != decider.AttemptCut || !attempt.resumable || !attempt.start.Repeatable || attempt.limited || ctx.Err() != nil {
			break
		}
		if resumed := attempt.send(ctx); mayHaveRun(resumed) {
			result = resumed
		}
	}
	if result == decider.AttemptCut && ctx.Err() != nil {
		return decider.AttemptTimedOut
	}
	return result
}

// send sends the request once and forwards the answer.
func (attempt *attempt) send(ctx context.Context) decider.AttemptResult {
	request, err := attempt.request(ctx)
	if err != nil {
		return decider.AttemptUnsent
	}
	// The timer bounds the time to the response headers; the function that reads the body
	// has its own timeouts.
	timer := time.AfterFunc(attempt.answerTimeout(), attempt.cancel)
	response, err := attempt.transport().RoundTrip(request)
	timer.Stop()
	if err != nil {
		return attempt.resultWithoutAnswer()
	}
	defer func() { _ = response.Body.Close() }()
	return attempt.receive(response)
}

// hasEndedUpstream reports, for an attempt whose answer was cut, whether the process of the
// upstream has ended within quarantiner.SuspicionPeriod of the first token, or before it.
func (attempt *attempt) hasEndedUpstream() bool {
	now := time.Now()
	first := attempt.observation.FirstToken
	if first > 0 && now.Sub(attempt.began.Add(first)) > quarantiner.SuspicionPeriod {
		return false
	}
	start := definer.UpstreamStart{Upstream: attempt.start.Upstream.Name()}
	return attempt.dispatcher.examiner.Examine(now, start, attempt.start.Upstream.Address(), nil).Ended()
}

// answerTimeout returns the timeout for the first byte of the answer.
func (attempt *attempt) answerTimeout() time.Duration {
	if attempt.start.Kind == definer.Engine && !attempt.exchange.Streamed {
		return attempt.dispatcher.wholeTimeout
	}
	return attempt.dispatcher.firstByteTimeout
}

// resultWithoutAnswer returns the result of a request that got no answer. It stops the
// connection first: only if no byte was written, and none can be written later, the request
// is known to be unsent.
func (attempt *attempt) resultWithoutAnswer() decider.AttemptResult {
	attempt.mutex.Lock()
	connection := attempt.connection
	attempt.closed = true
	attempt.mutex.Unlock()
	if connection == nil || !connection.stop() {
		return decider.AttemptUnsent
	}
	return decider.AttemptCut
}

// gotConnection records the connection on which the request is sent. It stops any further
// one.
func (attempt *attempt) gotConnection(info httptrace.GotConnInfo) {
	connection, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	connection.startRequest(attempt.start.StartBy)
	if attempt.closed || attempt.connection != nil {
		// net/http is about to retry the request by itself, which must not happen.
		connection.stop()
		return
	}
	attempt.connection, attempt.reused = connection, info.Reused
}

func (attempt *attempt) transport() *http.Transport {
	if attempt.start.Repeatable && !attempt.apart {
		return attempt.dispatcher.pooled
	}
	return attempt.dispatcher.oneShot
}

func (attempt *attempt) request(ctx context.Context) (*http.Request, error) {
	attempt.mutex.Lock()
	attempt.connection, attempt.closed = nil, false
	attempt.mutex.Unlock()
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConnection}
	path, query, hasQuery := strings.Cut(attempt.exchange.Target, "?")
	address := "http://" + attempt.start.Upstream.Address() + path
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), attempt.exchange.Method, address, bytes.NewReader(attempt.exchange.Body))
	if err != nil {
		return nil, err
	}
	// A number sign in a query does not begin a fragment here.
	request.URL.RawQuery, request.URL.ForceQuery = query, hasQuery
	// Without GetBody, net/http cannot send the body again.
	request.GetBody = nil
	request.Header = forwardedHeader(attempt.exchange.Header)
	request.Header.Set(headerAttempt, string(attempt.start.Attempt))
	request.Header.Set(headerPriority, strconv.Itoa(attempt.start.Priority))
	if attempt.start.Preemptible {
		request.Header.Set(headerPreemptible, "1")
	}
	if attempt.delivered > 0 {
		request.Header.Set(headerOffset, strconv.Itoa(attempt.delivered))
	}
	return request, nil
}

// receive checks the status and headers of the answer and reads its body accordingly.
func (attempt *attempt) receive(response *http.Response) decider.AttemptResult {
	if !interpreter.IsHead(response) {
		return decider.AttemptBroken
	}
	echoed := response.Header.Get(headerAttempt)
	refused := response.Header.Get(headerNotRun) != "" && response.StatusCode >= http.StatusBadRequest
	// Without an id, only the first answer on a connection is known not to be the copy of an earlier one.
	attempt.unproven = refused && echoed == "" && attempt.reused && !limits(response)
	own := echoed == string(attempt.start.Attempt) || refused && echoed == "" && !attempt.reused
	if own {
		attempt.readStatement(response, refused)
	}
	switch {
	case !own:
		return attempt.mismatch(echoed)
	case attempt.isCallerError(response.StatusCode):
		return attempt.receiveWhole(response, refused)
	case refused:
		attempt.leaving = refusedAsLeaving(response)
		return decider.AttemptRefused
	case attempt.start.Kind != definer.Engine:
		return attempt.receiveWhole(response, false)
	case response.StatusCode != http.StatusOK:
		return decider.AttemptBroken
	case attempt.exchange.Streamed:
		return attempt.receiveStream(response)
	default:
		return attempt.receiveWhole(response, false)
	}
}

// limits reports whether an answer states a limit of requests or asks for a pause.
func limits(response *http.Response) bool {
	said := interpreter.ParseAnnouncement(response.StatusCode, response.Header)
	_, limited := said.Limit.PerSecond()
	return limited || said.RetryAfter > 0
}

// readStatement reads from the headers how the upstream wants to be sent requests, and
// announces a changed limit or that the upstream is leaving. A refusal without a limit does not
// lift one: the upstream may have sent the refusal before it had the limit.
func (attempt *attempt) readStatement(response *http.Response, refused bool) {
	said := interpreter.ParseAnnouncement(response.StatusCode, response.Header)
	if said.Unreadable != "" {
		attempt.dispatcher.log(logger.EventAnnouncementUnreadable, "upstream", attempt.start.Upstream.Name(), "headers", said.Unreadable)
	}
	attempt.backoff, attempt.retryAfter = min(said.RetryAfter, attempt.dispatcher.longestBackoff), said.RetryAfter
	_, attempt.limited = said.Limit.PerSecond()
	name := attempt.start.Upstream.Name()
	limitIsNews := (!refused || attempt.limited) && attempt.dispatcher.limitCache.replace(time.Now(), name, said.Limit)
	if limitIsNews || said.Leaving {
		attempt.dispatcher.announce(decider.UpstreamAnnounced{Upstream: name, SentAt: attempt.began, Limit: said.Limit, Leaving: said.Leaving})
	}
}

// mismatch returns the result of an answer that does not carry the id of the attempt. It
// logs the answer if it carries another id.
func (attempt *attempt) mismatch(echoed string) decider.AttemptResult {
	if echoed != "" {
		attempt.dispatcher.log(logger.EventUpstreamMismatch, "request", attempt.start.Request, "attempt", attempt.start.Attempt, "upstream", attempt.start.Upstream.Name())
	}
	return decider.AttemptBroken
}

// isCallerError reports whether an engine's status means that every engine would reject
// the request, so that the answer is forwarded to the caller.
func (attempt *attempt) isCallerError(status int) bool {
	faults := []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}
	return attempt.start.Kind == definer.Engine && !attempt.start.KeepAnswer && !attempt.sink.Begun() && slices.Contains(faults, status)
}

const (
	// leavingErrorType is the error type in the refusals of an upstream that is leaving.
	leavingErrorType = "leaving"
	// maxRefusalBody bounds how many bytes of a refusal are read.
	maxRefusalBody = 64 << 10
)

// refusedAsLeaving reports whether an upstream refused because it is leaving.
func refusedAsLeaving(response *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusalBody))
	return err == nil && gjson.GetBytes(body, "error.type").String() == leavingErrorType
}

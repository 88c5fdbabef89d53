package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
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

// attempt is one attempt under way.
type attempt struct {
	dispatcher *Dispatcher
	start      decider.StartAttempt
	exchange   Exchange
	sink       Sink
	progress   Progress
	began      time.Time
	cancel     context.CancelFunc
	// mutex guards conn and closed; a connection's mutex is taken under it.
	mutex sync.Mutex
	// conn is the one connection that the request goes out on.
	conn *connection
	// closed says that no connection may be taken any more.
	closed bool
	// delivered counts the tokens of the whole request the caller has got.
	delivered int
	// indexed says that the upstream numbers its tokens, so that an answer can
	// go on at an offset.
	indexed bool
	// finished says that the finish reason has been passed on.
	finished    bool
	observation messenger.Observation
	// lastToken is when the last token came; pausedSince when the engine said
	// that it paused the request.
	lastToken   time.Time
	pausedSince time.Time
	retryAfter  time.Duration
	// backoff is how long the upstream wants nothing.
	backoff time.Duration
	// upstreamEnded says that the upstream has ended with the attempt on it, which had only
	// just begun.
	upstreamEnded bool
	// leaving says that the upstream refused since it is leaving.
	leaving bool
	// limited says that the upstream takes a limited number of requests.
	limited bool
	// kept holds what was streamed, while it may be kept for repeats.
	kept   bytes.Buffer
	answer *decider.StoredAnswer
}

// ended returns the event that tells how the attempt ended.
func (attempt *attempt) ended(result decider.AttemptResult) decider.AttemptEnded {
	observation := attempt.observation
	observation.Backoff = attempt.backoff
	observation.Failed = result != decider.Complete && result != decider.Abandoned
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
		Begun:         attempt.sink.Begun(),
		Resumable:     attempt.indexed,
		Observation:   observation,
		RetryAfter:    attempt.retryAfter,
		Leaving:       attempt.leaving,
		UpstreamEnded: attempt.upstreamEnded,
		Answer:        attempt.answer,
	}
}

// run sends the request and passes the answer on. A stream that was cut is
// taken up again on its own engine, which has kept what it computed; that is no
// new attempt, and only done for what may run again if the engine has lost it.
func (attempt *attempt) run(ctx context.Context) decider.AttemptResult {
	result := attempt.send(ctx)
	for range maxReconnects {
		// Where requests are limited, each needs a grant of its own.
		if result != decider.Cut || !attempt.indexed || !attempt.start.Repeatable || attempt.limited || ctx.Err() != nil {
			break
		}
		if resumed := attempt.send(ctx); mayRun(resumed) {
			result = resumed
		}
	}
	if result == decider.Cut && ctx.Err() != nil {
		return decider.TimedOut
	}
	return result
}

// send sends the request once and passes the answer on.
func (attempt *attempt) send(ctx context.Context) decider.AttemptResult {
	request, err := attempt.request(ctx)
	if err != nil {
		return decider.Unsent
	}
	// The upstream must answer in time; after that the answer's own
	// reader watches over it.
	watch := time.AfterFunc(attempt.patience(), attempt.cancel)
	response, err := attempt.transport().RoundTrip(request)
	watch.Stop()
	if err != nil {
		return attempt.unanswered()
	}
	defer func() { _ = response.Body.Close() }()
	return attempt.receive(response)
}

// hasEndedUpstream tells, of an attempt that broke off, whether its upstream has ended and
// the attempt had only just begun there.
func (attempt *attempt) hasEndedUpstream() bool {
	now := time.Now()
	first := attempt.observation.FirstToken
	if first > 0 && now.Sub(attempt.began.Add(first)) > quarantiner.FreshRun {
		return false
	}
	start := definer.UpstreamStart{Upstream: attempt.start.Upstream.Name()}
	return attempt.dispatcher.examiner.Examine(now, start, attempt.start.Upstream.Address(), nil).Ended()
}

// patience returns how long the upstream may take for its first byte.
func (attempt *attempt) patience() time.Duration {
	if attempt.start.Kind == definer.Engine && !attempt.exchange.Streamed {
		return attempt.dispatcher.wholeTimeout
	}
	return attempt.dispatcher.firstByteTimeout
}

// unanswered tells what became of a request that got no answer. Only one of
// which no byte was written, and none can be any more, is known to be unsent.
func (attempt *attempt) unanswered() decider.AttemptResult {
	attempt.mutex.Lock()
	conn := attempt.conn
	attempt.closed = true
	attempt.mutex.Unlock()
	if conn == nil || !conn.stop() {
		return decider.Unsent
	}
	return decider.Cut
}

// connected takes in the connection that the request goes out on.
func (attempt *attempt) connected(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*connection)
	if !ok {
		return
	}
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	conn.begin(attempt.start.StartBy)
	if attempt.closed || attempt.conn != nil {
		// The library sends again by itself, which must not happen.
		conn.stop()
		return
	}
	attempt.conn = conn
}

func (attempt *attempt) transport() *http.Transport {
	if attempt.start.Repeatable {
		return attempt.dispatcher.shared
	}
	return attempt.dispatcher.single
}

func (attempt *attempt) request(ctx context.Context) (*http.Request, error) {
	attempt.mutex.Lock()
	attempt.conn, attempt.closed = nil, false
	attempt.mutex.Unlock()
	trace := &httptrace.ClientTrace{GotConn: attempt.connected}
	target := "http://" + attempt.start.Upstream.Address() + attempt.exchange.Path
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), attempt.exchange.Method, target, bytes.NewReader(attempt.exchange.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the library does not send a body again.
	request.GetBody = nil
	request.Header = passOn(attempt.exchange.Header)
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

// receive judges the answer's head and reads its body.
func (attempt *attempt) receive(response *http.Response) decider.AttemptResult {
	echoed := response.Header.Get(headerAttempt)
	refused := response.Header.Get(headerNotRun) != "" && response.StatusCode >= http.StatusBadRequest
	own := echoed == string(attempt.start.Attempt) || refused && echoed == ""
	if own {
		attempt.heed(response, refused)
	}
	switch {
	case !own:
		return attempt.mismatch(echoed)
	case attempt.callersFault(response.StatusCode):
		return attempt.whole(response, refused)
	case refused:
		attempt.leaving = saysLeaving(response)
		return decider.RefusedUnrun
	case attempt.start.Kind != definer.Engine:
		return attempt.whole(response, false)
	case response.StatusCode != http.StatusOK:
		return decider.Broken
	case attempt.exchange.Streamed:
		return attempt.stream(response)
	default:
		return attempt.whole(response, false)
	}
}

// heed tells how the upstream wants to be asked. A refusal that names no limit may come from
// before there was one.
func (attempt *attempt) heed(response *http.Response, refused bool) {
	said := interpreter.Interpret(response.StatusCode, response.Header)
	if said.Unreadable != "" {
		attempt.dispatcher.log(logger.EventStatementUnreadable, "upstream", attempt.start.Upstream.Name(), "headers", said.Unreadable)
	}
	attempt.backoff, attempt.retryAfter = min(said.RetryAfter, attempt.dispatcher.longestBackoff), said.RetryAfter
	_, attempt.limited = said.Limit.PerSecond()
	name := attempt.start.Upstream.Name()
	limitIsNews := (!refused || attempt.limited) && attempt.dispatcher.latest.replace(time.Now(), name, said.Limit)
	if limitIsNews || said.Leaving {
		attempt.dispatcher.announce(decider.UpstreamAnnounced{Upstream: name, SentAt: attempt.began, Limit: said.Limit, Leaving: said.Leaving})
	}
}

// mismatch ends an attempt whose answer does not carry its id. An answer that
// carries another one is logged.
func (attempt *attempt) mismatch(echoed string) decider.AttemptResult {
	if echoed != "" {
		attempt.dispatcher.log(logger.EventUpstreamMismatch, "request", attempt.start.Request, "attempt", attempt.start.Attempt, "upstream", attempt.start.Upstream.Name())
	}
	return decider.Broken
}

// callersFault tells whether an engine's status says that no engine would take
// the request, so that the caller has to see it.
func (attempt *attempt) callersFault(status int) bool {
	faults := []int{http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity}
	return attempt.start.Kind == definer.Engine && !attempt.start.KeepAnswer && !attempt.sink.Begun() && slices.Contains(faults, status)
}

const (
	// leavingType is the error type with which an upstream refuses while it is
	// leaving.
	leavingType = "leaving"
	// maxRefusal bounds how much of a refusal is read.
	maxRefusal = 64 << 10
)

// saysLeaving tells whether an upstream refused since it is leaving.
func saysLeaving(response *http.Response) bool {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRefusal))
	return err == nil && gjson.GetBytes(body, "error.type").String() == leavingType
}

package dispatcher

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
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
	// connected says that there was a connection to write the request to.
	connected bool
	// delivered counts the tokens of the whole request the caller has got.
	delivered int
	// indexed says that the upstream numbers its tokens, so that an answer can
	// go on at an offset.
	indexed     bool
	observation messenger.Observation
	// lastToken is when the last token came; pausedSince when the engine said
	// that it paused the request.
	lastToken   time.Time
	pausedSince time.Time
	retryAfter  time.Duration
	answer      *decider.StoredAnswer
}

// ended returns the event that tells how the attempt ended.
func (attempt *attempt) ended(result decider.AttemptResult) decider.AttemptEnded {
	observation := attempt.observation
	observation.Failed = result != decider.Complete && result != decider.Abandoned
	observation.Total = time.Since(attempt.began)
	if observation.Tokens > 1 && !attempt.lastToken.IsZero() {
		span := attempt.lastToken.Sub(attempt.began) - observation.FirstToken - observation.Paused
		observation.BetweenTokens = max(span, 0) / time.Duration(observation.Tokens-1)
	}
	return decider.AttemptEnded{
		Request:     attempt.start.Request,
		Attempt:     attempt.start.Attempt,
		Result:      result,
		Delivered:   attempt.delivered,
		Begun:       attempt.sink.Begun(),
		Resumable:   attempt.indexed,
		Observation: observation,
		RetryAfter:  attempt.retryAfter,
		Answer:      attempt.answer,
	}
}

// run sends the request and passes the answer on.
func (attempt *attempt) run(ctx context.Context) decider.AttemptResult {
	request, err := attempt.request(ctx)
	late := !attempt.start.StartBy.IsZero() && !time.Now().Before(attempt.start.StartBy)
	if err != nil || late {
		return decider.Unsent
	}
	// The upstream must answer in time; after that the answer's own
	// reader watches over it.
	watch := time.AfterFunc(attempt.dispatcher.firstByteTimeout, attempt.cancel)
	response, err := attempt.transport().RoundTrip(request)
	watch.Stop()
	if err != nil {
		return attempt.unanswered(ctx)
	}
	defer func() { _ = response.Body.Close() }()
	return attempt.receive(response)
}

// unanswered tells what became of a request that got no answer. Only one that
// never had a connection is known not to have been sent.
func (attempt *attempt) unanswered(ctx context.Context) decider.AttemptResult {
	switch {
	case !attempt.connected:
		return decider.Unsent
	case ctx.Err() != nil:
		return decider.TimedOut
	default:
		return decider.Cut
	}
}

func (attempt *attempt) transport() *http.Transport {
	if attempt.start.Repeatable {
		return attempt.dispatcher.shared
	}
	return attempt.dispatcher.single
}

func (attempt *attempt) request(ctx context.Context) (*http.Request, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { attempt.connected = true }}
	target := "http://" + attempt.start.Upstream.Address() + attempt.exchange.Path
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), attempt.exchange.Method, target, bytes.NewReader(attempt.exchange.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the library does not send the request again.
	request.GetBody = nil
	request.Header = passOn(attempt.exchange.Header)
	request.Header.Set(headerAttempt, string(attempt.start.Attempt))
	request.Header.Set(headerPriority, strconv.Itoa(attempt.start.Priority))
	if attempt.start.Preemptible {
		request.Header.Set(headerPreemptible, "1")
	}
	if attempt.start.Offset > 0 {
		request.Header.Set(headerOffset, strconv.Itoa(attempt.start.Offset))
	}
	return request, nil
}

// receive judges the answer's head and reads its body.
func (attempt *attempt) receive(response *http.Response) decider.AttemptResult {
	if response.Header.Get(headerNotRun) != "" {
		attempt.retryAfter = retryAfter(response.Header)
		return decider.RefusedUnrun
	}
	if response.Header.Get(headerAttempt) != string(attempt.start.Attempt) {
		return decider.Broken
	}
	if attempt.start.Kind == definer.Engine && response.StatusCode >= http.StatusInternalServerError {
		return decider.Broken
	}
	if attempt.exchange.Streamed && response.StatusCode == http.StatusOK {
		return attempt.stream(response)
	}
	return attempt.whole(response)
}

// whole reads an answer to its end before the caller gets any of it.
func (attempt *attempt) whole(response *http.Response) decider.AttemptResult {
	watch := time.AfterFunc(attempt.dispatcher.firstByteTimeout, attempt.cancel)
	defer watch.Stop()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxWholeAnswer+1))
	if err != nil {
		return decider.Cut
	}
	if len(body) > maxWholeAnswer {
		return decider.Broken
	}
	if attempt.start.Kind == definer.Engine && response.StatusCode == http.StatusOK {
		checked, ok := attempt.checkWhole(body)
		if !ok {
			return decider.Broken
		}
		body = checked
	}
	header := passOn(response.Header)
	header.Del("Content-Length")
	attempt.keep(response.StatusCode, header, body)
	attempt.sink.Begin(response.StatusCode, header)
	if err := attempt.sink.Write(body); err != nil {
		return decider.Abandoned
	}
	return decider.Complete
}

// keep stores the answer for repeats of the request, if that is wanted.
func (attempt *attempt) keep(status int, header http.Header, body []byte) {
	if attempt.start.KeepAnswer {
		attempt.answer = &decider.StoredAnswer{Status: status, Header: header, Body: body}
	}
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

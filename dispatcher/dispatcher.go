// Package dispatcher carries out attempts: it sends a caller's request to one
// upstream, checks that the answer is whole and the caller's own, and passes it
// on. It never tries again by itself.
package dispatcher

import (
	"context"
	"io"
	"net/http"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
)

// The headers of the protocol towards upstreams.
const (
	headerAttempt     = "X-Attempt-Id"
	headerPriority    = "X-Priority"
	headerPreemptible = "X-Preemptible"
	headerOffset      = "X-Resume-Offset"
	headerNotRun      = "X-Not-Run"
)

const (
	defaultFirstByteTimeout = 30 * time.Second
	defaultStallTimeout     = 10 * time.Second
	defaultCancelTimeout    = 2 * time.Second
	defaultConnections      = 64
	// maxWholeAnswer bounds an answer that is checked before it is passed on.
	maxWholeAnswer = 16 << 20
	dialTimeout    = 2 * time.Second
	idleTimeout    = 30 * time.Second
)

// Exchange is one caller's request as it goes to an upstream.
type Exchange struct {
	Method string
	// Path begins with a slash and may carry a query.
	Path   string
	Header http.Header
	Body   []byte
	// Streamed says that the caller wants tokens as they come.
	Streamed bool
}

// Sink takes the caller's answer.
type Sink interface {
	// Begin writes the status and the header; it is called at most once.
	Begin(status int, header http.Header)
	// Write writes a part of the body and pushes it to the caller.
	Write(data []byte) error
	// Begun tells whether Begin was called.
	Begun() bool
}

// Progress is told how many tokens the caller has got.
type Progress func(delivered int)

// Dispatcher sends attempts to upstreams.
type Dispatcher struct {
	// shared keeps connections; single opens one for each attempt, so that the
	// library never sends by itself what may not be sent twice.
	shared           *http.Transport
	single           *http.Transport
	firstByteTimeout time.Duration
	stallTimeout     time.Duration
}

// Option changes one setting of a Dispatcher.
type Option func(*Dispatcher)

// WithTimeouts sets how long an upstream may take for its first byte and
// between two tokens.
func WithTimeouts(firstByte, stall time.Duration) Option {
	return func(dispatcher *Dispatcher) {
		dispatcher.firstByteTimeout, dispatcher.stallTimeout = firstByte, stall
	}
}

// WithConnections bounds the idle connections kept to each upstream.
func WithConnections(count int) Option {
	return func(dispatcher *Dispatcher) { dispatcher.shared.MaxIdleConnsPerHost = count }
}

// New returns a dispatcher.
func New(options ...Option) *Dispatcher {
	dispatcher := &Dispatcher{
		shared:           newTransport(),
		single:           newTransport(),
		firstByteTimeout: defaultFirstByteTimeout,
		stallTimeout:     defaultStallTimeout,
	}
	dispatcher.single.DisableKeepAlives = true
	for _, option := range options {
		option(dispatcher)
	}
	return dispatcher
}

// Close closes idle connections.
func (dispatcher *Dispatcher) Close() { dispatcher.shared.CloseIdleConnections() }

// Run carries out one attempt and returns how it ended. When the context ends
// because the caller left, the result is Abandoned and the upstream is told.
func (dispatcher *Dispatcher) Run(ctx context.Context, start decider.StartAttempt, exchange Exchange, sink Sink, progress Progress) decider.AttemptEnded {
	attemptContext, cancel := attemptContext(ctx, start.Deadline)
	defer cancel()
	attempt := &attempt{
		dispatcher: dispatcher,
		start:      start,
		exchange:   exchange,
		sink:       sink,
		progress:   progress,
		began:      time.Now(),
		cancel:     cancel,
		delivered:  start.Offset,
	}
	result := attempt.run(attemptContext)
	if ctx.Err() != nil && result != decider.Complete {
		result = decider.Abandoned
	}
	if result == decider.Abandoned || result == decider.TimedOut {
		dispatcher.Cancel(ctx, start.Upstream, start.Attempt)
	}
	return attempt.ended(result)
}

func attemptContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// Cancel tells an engine to stop an attempt. It does its best and waits for a
// short time only, also when the context has ended.
func (dispatcher *Dispatcher) Cancel(ctx context.Context, upstream *definer.Upstream, attempt definer.AttemptID) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), defaultCancelTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(detached, http.MethodPost, "http://"+upstream.Address()+"/cancel", cancelBody(attempt))
	if err != nil {
		return
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := dispatcher.shared.RoundTrip(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxWholeAnswer))
	_ = response.Body.Close()
}

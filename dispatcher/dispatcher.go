// Package dispatcher is the HTTP client for upstreams: it executes one attempt of a
// caller's request on one upstream, checks that the answer is complete and belongs to the
// attempt, and forwards it to the caller.
//
// It never switches to another upstream and never sends a request twice that may run only
// once. It reconnects only after a stream was cut, if the request may run again and the
// engine numbers its tokens: it then sends one more request to the same engine, with the
// same attempt id and from the first token that the caller lacks.
package dispatcher

import (
	"context"
	"net/http"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dialer"
	"limpetcleat/examiner"
	"limpetcleat/interpreter"
	"limpetcleat/rationer"
)

// Headers of the protocol between router and upstreams.
const (
	headerAttempt     = "X-Attempt-Id"
	headerPriority    = "X-Priority"
	headerPreemptible = "X-Preemptible"
	headerOffset      = "X-Resume-Offset"
	headerNotRun      = "X-Not-Run"
	// headerOutcome tells the caller whether its request ran.
	headerOutcome = "X-Outcome"
)

const (
	defaultFirstByteTimeout = 30 * time.Second
	defaultStallTimeout     = 10 * time.Second
	defaultWholeTimeout     = 2 * time.Minute
	defaultCancelTimeout    = 2 * time.Second
	defaultConnections      = 64
	// maxWholeAnswer bounds the bytes of an answer that is checked before it is
	// forwarded.
	maxWholeAnswer = 16 << 20
	// defaultMemory bounds what all answers take, in bytes, if no option does.
	defaultMemory = 256 << 20
	// maxKeptStream bounds the bytes of a stream that is stored to answer repeats of the
	// request.
	maxKeptStream = 1 << 20
	// maxDrain bounds the bytes that are read after the end of an answer so that the
	// connection can be reused.
	maxDrain = 4 << 10
	// drainTimeout bounds the time for reading them.
	drainTimeout = 100 * time.Millisecond
	// maxPause bounds how long an engine may pause a request.
	maxPause = 5 * time.Minute
	// maxReconnects bounds how often a cut stream is resumed on its engine.
	maxReconnects = 1
	dialTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
)

// Exchange is one caller's request as it is sent to an upstream.
type Exchange struct {
	Method string
	// Target is an escaped path, which begins with a slash, and the query, if there is one.
	Target string
	Header http.Header
	Body   []byte
	// Streamed reports whether the caller wants tokens as they arrive.
	Streamed bool
}

// Sink receives the answer for the caller.
type Sink interface {
	// Begin writes the status and the headers; it is called at most once.
	Begin(status int, header http.Header)
	// Write writes a part of the body and flushes it to the caller.
	Write(data []byte) error
	// Begun reports whether Begin was called.
	Begun() bool
}

// Progress is called with the number of tokens delivered to the caller so far.
type Progress func(delivered int)

// Dispatcher executes attempts on upstreams. It is safe for concurrent use.
type Dispatcher struct {
	// pooled reuses connections. oneShot opens a connection for each attempt, so that
	// net/http never retries a request by itself that may not be sent twice.
	pooled           *http.Transport
	oneShot          *http.Transport
	canceller        *canceller
	examiner         *examiner.Examiner
	firstByteTimeout time.Duration
	stallTimeout     time.Duration
	wholeTimeout     time.Duration
	// log must not block.
	log Log
	// announce receives rate limits and announcements to leave that answers carry.
	announce   func(announced decider.UpstreamAnnounced)
	limitCache *limitCache
	// longestBackoff bounds the backoff that an upstream may ask for.
	longestBackoff time.Duration
	// memory bounds what answers take that are read to their end, and incomplete events.
	memory *rationer.Rationer
}

// Log logs one numbered event; pairs are alternating names and values.
type Log func(number int, pairs ...any)

// Option changes one setting of a Dispatcher.
type Option func(*Dispatcher)

// WithTimeouts sets the timeouts for the first byte of an answer and between two
// tokens.
func WithTimeouts(firstByte, stall time.Duration) Option {
	return func(dispatcher *Dispatcher) {
		dispatcher.firstByteTimeout, dispatcher.stallTimeout = firstByte, stall
	}
}

// WithUnstreamedTimeout sets the timeout for an engine's answer that is not streamed, of which
// no byte is sent before it is computed.
func WithUnstreamedTimeout(timeout time.Duration) Option {
	return func(dispatcher *Dispatcher) { dispatcher.wholeTimeout = timeout }
}

// WithConnections bounds the idle connections kept to each upstream.
func WithConnections(count int) Option {
	return func(dispatcher *Dispatcher) { dispatcher.pooled.MaxIdleConnsPerHost = count }
}

// WithMemory sets what bounds the memory of the answers that are read to their end and of incomplete events. The
// default is defaultMemory bytes of its own.
func WithMemory(memory *rationer.Rationer) Option {
	return func(dispatcher *Dispatcher) { dispatcher.memory = memory }
}

// WithLog sets the function that logs numbered events; it must not block. The default
// discards them.
func WithLog(log Log) Option {
	return func(dispatcher *Dispatcher) { dispatcher.log = log }
}

// WithLongestBackoff bounds the backoff that an upstream may ask for.
func WithLongestBackoff(span time.Duration) Option {
	return func(dispatcher *Dispatcher) { dispatcher.longestBackoff = span }
}

// WithAnnouncements sets the function that is called, as soon as the headers of an answer have
// arrived, with the rate limit that the upstream announces and whether it is leaving. The
// default does nothing.
func WithAnnouncements(announce func(announced decider.UpstreamAnnounced)) Option {
	return func(dispatcher *Dispatcher) { dispatcher.announce = announce }
}

// New returns a dispatcher. The caller must close it with Close.
func New(options ...Option) *Dispatcher {
	dispatcher := &Dispatcher{
		pooled:           newTransport(),
		oneShot:          newTransport(),
		firstByteTimeout: defaultFirstByteTimeout,
		stallTimeout:     defaultStallTimeout,
		wholeTimeout:     defaultWholeTimeout,
		log:              func(int, ...any) {},
		announce:         func(decider.UpstreamAnnounced) {},
		limitCache:       newLimitCache(),
		longestBackoff:   interpreter.MaxRetryAfter,
		memory:           rationer.New(defaultMemory),
		examiner:         examiner.New(probe),
	}
	dispatcher.oneShot.DisableKeepAlives = true
	for _, option := range options {
		option(dispatcher)
	}
	dispatcher.canceller = newCanceller(dispatcher.pooled, dispatcher.log)
	return dispatcher
}

// Close waits until the queued cancellations are sent or have timed out, and
// closes idle connections.
func (dispatcher *Dispatcher) Close() {
	dispatcher.canceller.close()
	dispatcher.pooled.CloseIdleConnections()
}

// Run executes one attempt and returns its result. If ctx ends before the answer is
// complete, because the caller left, the result is AttemptAbandoned. An engine that may still run
// the attempt is told to cancel it.
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
	attempt.upstreamEnded = result == decider.AttemptCut && attemptContext.Err() == nil && attempt.hasEndedUpstream()
	if ctx.Err() != nil && mayHaveRun(result) && result != decider.AttemptComplete {
		result = decider.AttemptAbandoned
	}
	if start.Kind == definer.Engine && mayHaveRun(result) && result != decider.AttemptComplete {
		dispatcher.Cancel(start.Upstream, start.Attempt)
	}
	return attempt.endedEvent(result)
}

// probe reports whether a process listens at an address.
func probe(ctx context.Context, address string) dialer.Presence {
	presence, conn := dialer.Look(ctx, address)
	if conn != nil {
		_ = conn.Close() // Only the success of the dial matters.
	}
	return presence
}

// mayHaveRun reports whether the upstream may have run an attempt with the result.
func mayHaveRun(result decider.AttemptResult) bool {
	return result != decider.AttemptUnsent && result != decider.AttemptRefused
}

func attemptContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// Cancel tells an engine to stop an attempt. It never blocks and gives no guarantee of
// delivery.
func (dispatcher *Dispatcher) Cancel(upstream *definer.Upstream, attempt definer.AttemptID) {
	dispatcher.canceller.cancel(cancelOrder{address: upstream.Address(), attempt: attempt})
}

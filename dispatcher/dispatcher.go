// Package dispatcher carries out attempts: it sends a caller's request to one
// upstream, checks that the answer is whole and the caller's own, and passes it
// on. It never turns to another upstream and never sends twice what may run
// only once. It sends one request more only for a stream that was cut: that of a
// request that may run again, to the engine that numbered its tokens, under the
// same attempt and from the first token that the caller lacks.
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
)

// The headers of the protocol towards upstreams.
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
	// maxWholeAnswer bounds an answer that is checked before it is passed on.
	maxWholeAnswer = 16 << 20
	// maxKeptStream bounds a stream that is kept for repeats.
	maxKeptStream = 1 << 20
	// maxLeftOver bounds what is read after the end of an answer, so that its
	// connection can be used again.
	maxLeftOver = 4 << 10
	// leftOverTimeout bounds the time for it.
	leftOverTimeout = 100 * time.Millisecond
	// maxPause bounds how long an engine may have a request paused.
	maxPause = 5 * time.Minute
	// maxReconnects bounds how often a cut stream is taken up again on its engine.
	maxReconnects = 1
	dialTimeout   = 2 * time.Second
	idleTimeout   = 30 * time.Second
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
	canceller        *canceller
	examiner         *examiner.Examiner
	firstByteTimeout time.Duration
	stallTimeout     time.Duration
	wholeTimeout     time.Duration
	// log must not block.
	log Log
	// announce is told what an answer says of how its upstream wants to be asked.
	announce func(announced decider.UpstreamAnnounced)
	latest   *latest
	// longestBackoff bounds how long an upstream may ask not to be sent anything.
	longestBackoff time.Duration
}

// Log takes in one numbered event; pairs are names and values in turn.
type Log func(number int, pairs ...any)

// Option changes one setting of a Dispatcher.
type Option func(*Dispatcher)

// WithTimeouts sets how long an upstream may take for its first byte and
// between two tokens.
func WithTimeouts(firstByte, stall time.Duration) Option {
	return func(dispatcher *Dispatcher) {
		dispatcher.firstByteTimeout, dispatcher.stallTimeout = firstByte, stall
	}
}

// WithWholeTimeout sets how long an engine may take for an answer in one piece,
// which sends no byte before it is computed.
func WithWholeTimeout(timeout time.Duration) Option {
	return func(dispatcher *Dispatcher) { dispatcher.wholeTimeout = timeout }
}

// WithConnections bounds the idle connections kept to each upstream.
func WithConnections(count int) Option {
	return func(dispatcher *Dispatcher) { dispatcher.shared.MaxIdleConnsPerHost = count }
}

// WithLog sets where numbered events go; it must not block. The default drops
// them.
func WithLog(log Log) Option {
	return func(dispatcher *Dispatcher) { dispatcher.log = log }
}

// WithLongestBackoff bounds how long an upstream may ask not to be sent anything.
func WithLongestBackoff(span time.Duration) Option {
	return func(dispatcher *Dispatcher) { dispatcher.longestBackoff = span }
}

// WithAnnouncements sets what is told, as soon as the head of an answer has come, how its
// upstream wants to be asked; the default is nothing.
func WithAnnouncements(announce func(announced decider.UpstreamAnnounced)) Option {
	return func(dispatcher *Dispatcher) { dispatcher.announce = announce }
}

// New returns a dispatcher; Close ends it.
func New(options ...Option) *Dispatcher {
	dispatcher := &Dispatcher{
		shared:           newTransport(),
		single:           newTransport(),
		firstByteTimeout: defaultFirstByteTimeout,
		stallTimeout:     defaultStallTimeout,
		wholeTimeout:     defaultWholeTimeout,
		log:              func(int, ...any) {},
		announce:         func(decider.UpstreamAnnounced) {},
		latest:           newLatest(),
		longestBackoff:   interpreter.MaxRetryAfter,
		examiner:         examiner.New(look),
	}
	dispatcher.single.DisableKeepAlives = true
	for _, option := range options {
		option(dispatcher)
	}
	dispatcher.canceller = newCanceller(dispatcher.shared, dispatcher.log)
	return dispatcher
}

// Close waits for engines to be told of cancelled work, for a short time, and
// closes idle connections.
func (dispatcher *Dispatcher) Close() {
	dispatcher.canceller.close()
	dispatcher.shared.CloseIdleConnections()
}

// Run carries out one attempt and returns how it ended. When the context ends
// because the caller left, the result is Abandoned and the engine is told.
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
	attempt.upstreamEnded = result == decider.Cut && attemptContext.Err() == nil && attempt.hasEndedUpstream()
	if ctx.Err() != nil && mayRun(result) && result != decider.Complete {
		result = decider.Abandoned
	}
	if start.Kind == definer.Engine && mayRun(result) && result != decider.Complete {
		dispatcher.Cancel(start.Upstream, start.Attempt)
	}
	return attempt.ended(result)
}

// look tells whether anything listens at an address.
func look(ctx context.Context, address string) dialer.Presence {
	presence, conn := dialer.Look(ctx, address)
	if conn != nil {
		_ = conn.Close() // It was made to see that it can be.
	}
	return presence
}

// mayRun tells whether the upstream may have run an attempt with the result.
func mayRun(result decider.AttemptResult) bool {
	return result != decider.Unsent && result != decider.RefusedUnrun
}

func attemptContext(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

// Cancel tells an engine to stop an attempt. It does its best and never blocks.
func (dispatcher *Dispatcher) Cancel(upstream *definer.Upstream, attempt definer.AttemptID) {
	dispatcher.canceller.cancel(cancelOrder{address: upstream.Address(), attempt: attempt})
}

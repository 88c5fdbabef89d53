// Package engine simulates a language-model inference server for tests. It serves an
// OpenAI-compatible API with continuous batching, prefix caching, priority preemption, resumable
// and cancellable streams, and fault injection; docs/STANDINS.md specifies the protocol.
package engine

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/standin/internal/delayer"
	"limpetcleat/standin/internal/host"
)

// Engine is one simulated inference server. A single goroutine runs the batching loop. Its methods
// are safe for concurrent use.
type Engine struct {
	host       *host.Host
	options    options
	lengthRule lengthRule
	handler    http.Handler
	loop       conc.WaitGroup
	// wake signals the loop that the batch changed; it buffers one signal.
	wake chan struct{}

	// mu guards the fields below; no other lock is acquired while mu is held.
	mu          sync.Mutex
	batch       *batch
	prefixCache *prefixCache
	recorder    *recorder
	loadHistory *delayer.Delayer[LoadReport]
	models      []string
	faults      Faults
	leaving     bool
	// stalledUntil is the end of an injected stall, or zero.
	stalledUntil time.Time
	// lastAttempt is the ID of the latest accepted attempt, which a crossed response carries.
	lastAttempt string
	// nextArrival is the arrival number of the next new sequence.
	nextArrival uint64
	// detached lists the started sequences whose client disconnected, in order of expiry. It may
	// include entries of sequences that have been resumed since.
	detached []detachedSequence
	// nextStep is when the running sequences receive their next token. It is zero while the batch
	// is idle or stalled, and after a change of the faults.
	nextStep time.Time
}

// New returns a running Engine. The caller must call Close.
func New(opts ...Option) *Engine {
	options := defaultOptions()
	for _, opt := range opts {
		opt(&options)
	}
	options.applyClockScale()
	engine := &Engine{
		host:        host.New(),
		options:     options,
		lengthRule:  newLengthRule(options.minResponseTokens, options.maxResponseTokens),
		wake:        make(chan struct{}, 1),
		batch:       newBatch(options.maxRunning),
		prefixCache: newPrefixCache(options.cacheBlocks),
		recorder:    newRecorder(maxRecords),
		models:      slices.Clone(options.models),
		faults:      Faults{SlowFactor: 1},
	}
	engine.loadHistory = delayer.New(options.loadLag, engine.loadReportLocked(time.Now()))
	engine.handler = engine.routes()
	engine.loop.Go(engine.run)
	return engine
}

// Handler returns the handler of all HTTP endpoints.
func (engine *Engine) Handler() http.Handler {
	return engine.handler
}

// Serve serves HTTP on the listener until ctx is done or Close is called, then returns nil.
func (engine *Engine) Serve(ctx context.Context, listener net.Listener) error {
	return engine.host.Serve(ctx, listener, engine.handler)
}

// Close ends all requests, all Serve calls and the batching loop, and waits for the loop to return.
// It is idempotent and its error is always nil.
func (engine *Engine) Close() error {
	engine.host.Close()
	engine.loop.Wait()
	return nil
}

func (engine *Engine) notifyLoop() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

package server

import (
	"context"
	"net/http"
	"runtime/debug"

	"github.com/sourcegraph/conc"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
)

// activeRequest is one request between its arrival and its final response.
type activeRequest struct {
	server   *Server
	arrived  decider.RequestArrived
	exchange dispatcher.Exchange
	// requestURI is the path and query as the caller sent them.
	requestURI string
	mailbox    *mailbox
	sink       *sink
	// started reports whether the request may have reached an upstream or a peer.
	started bool
}

// serveRequest submits a request to the core and executes the core's actions until the final
// response.
func (server *Server) serveRequest(request *http.Request, writer http.ResponseWriter, arrived decider.RequestArrived, exchange dispatcher.Exchange) {
	if !server.beginRequest() {
		writeFailure(writer, stoppingFailure(arrived.Key))
		return
	}
	defer server.activeRequests.Done()
	markSubmitted(writer)
	activeRequest := &activeRequest{
		server:     server,
		arrived:    arrived,
		exchange:   exchange,
		requestURI: request.URL.RequestURI(),
		mailbox:    server.mailboxes.add(arrived.Request),
		sink:       newSink(writer),
	}
	defer server.mailboxes.remove(arrived.Request)
	defer activeRequest.recoverPanic()
	server.core.Submit(arrived)
	activeRequest.executeActions(request.Context())
}

// beginRequest adds a request to activeRequests. It reports false if the server is closed.
func (server *Server) beginRequest() bool {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if server.lifetime.Err() != nil {
		return false
	}
	server.activeRequests.Add(1)
	return true
}

// recoverPanic responds to a request whose handler panicked. The outcome is Unknown if this
// request or an earlier one with the same key may have run.
func (activeRequest *activeRequest) recoverPanic() {
	recovered := recover()
	if recovered == nil {
		return
	}
	activeRequest.server.onCrash(activeRequest.arrived.Request, recovered, debug.Stack())
	activeRequest.server.core.Submit(decider.CallerLeft{Request: activeRequest.arrived.Request})
	failure := panicFailure()
	if activeRequest.started || activeRequest.arrived.Key != "" {
		failure.outcome = definer.Unknown
		failure.retryAfter = 0
	}
	activeRequest.sink.fail(failure)
}

// panicFailure returns the failure of a request whose handler panicked before the request could
// reach an upstream.
func panicFailure() failure {
	return failure{status: http.StatusInternalServerError, code: codeInternalError, message: "the node failed to handle the request", retryAfter: defaultRetryAfter}
}

// executeActions executes the core's actions for the request until the last one. It reports to the
// core when the caller disconnects.
func (activeRequest *activeRequest) executeActions(ctx context.Context) {
	disconnected := ctx.Done()
	for {
		select {
		case <-disconnected:
			disconnected = nil
			activeRequest.server.core.Submit(decider.CallerLeft{Request: activeRequest.arrived.Request})
		case action := <-activeRequest.mailbox.actions:
			if activeRequest.execute(ctx, action) {
				return
			}
		}
	}
}

// execute executes one action and reports whether it was the last.
func (activeRequest *activeRequest) execute(ctx context.Context, action decider.Action) bool {
	switch action := action.(type) {
	case decider.StartAttempt:
		activeRequest.started = true
		activeRequest.runAttempt(ctx, action)
		return false
	case decider.ForwardCall:
		activeRequest.started = true
		activeRequest.forward(ctx, action)
		return false
	case decider.RefuseRequest:
		activeRequest.sink.fail(refusalFailure(action.Refusal))
		return true
	case decider.ReplayAnswer:
		activeRequest.sink.replay(action.Answer)
		return true
	case decider.FinishRequest:
		return true
	default:
		return false
	}
}

// runAttempt runs one attempt and reports its result to the core.
func (activeRequest *activeRequest) runAttempt(ctx context.Context, start decider.StartAttempt) {
	if start.KeepAnswer {
		// The stored answer serves later requests with the same key, even if this caller
		// disconnects.
		detached, cancel := activeRequest.server.detachedContext(ctx)
		defer cancel()
		ctx = detached
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() { watchForCancel(activeRequest.mailbox.actions, start.Attempt, cancel, done) })
	ended := activeRequest.dispatch(ctx, start)
	// watchForCancel must return before AttemptEnded is submitted, because it would consume the
	// core's next action from the same channel.
	close(done)
	group.Wait()
	activeRequest.server.core.Submit(ended)
}

// dispatch runs one attempt. If the runner panics, the result is AttemptBroken, because the
// upstream may have run the request.
func (activeRequest *activeRequest) dispatch(ctx context.Context, start decider.StartAttempt) (ended decider.AttemptEnded) {
	defer func() {
		if recovered := recover(); recovered != nil {
			activeRequest.server.onCrash(start.Request, recovered, debug.Stack())
			ended = decider.AttemptEnded{Request: start.Request, Attempt: start.Attempt, Result: decider.AttemptBroken, Delivered: start.Offset, AnswerBegun: activeRequest.sink.Begun()}
		}
	}()
	progress := func(delivered int) {
		activeRequest.server.core.Submit(decider.AttemptProgressed{Request: start.Request, Attempt: start.Attempt, Delivered: delivered})
	}
	return activeRequest.server.runner.Run(ctx, start, activeRequest.exchange, activeRequest.sink, sampleProgress(progress))
}

// detachedContext returns a context that is cancelled when the server is closed, but not when its
// parent is cancelled.
func (server *Server) detachedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(server.lifetime, cancel)
	return detached, func() {
		stop()
		cancel()
	}
}

// watchForCancel cancels an attempt when the core's CancelAttempt arrives, and returns when done is
// closed. While an attempt runs, the core sends no other action for its request.
func watchForCancel(actions <-chan decider.Action, attempt definer.AttemptID, cancel context.CancelFunc, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case action := <-actions:
			if stop, ok := action.(decider.CancelAttempt); ok && stop.Attempt == attempt {
				cancel()
			}
		}
	}
}

// progressIntervalTokens is the number of tokens between two progress reports.
const progressIntervalTokens = 16

// sampleProgress passes on the first progress report, and then one for at least
// progressIntervalTokens tokens.
func sampleProgress(progress dispatcher.Progress) dispatcher.Progress {
	next := 0
	return func(delivered int) {
		if delivered < next {
			return
		}
		next = delivered + progressIntervalTokens
		progress(delivered)
	}
}

package server

import (
	"context"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
)

// carry leads one request from its arrival to its final answer.
func (server *Server) carry(ctx context.Context, writer http.ResponseWriter, arrived decider.RequestArrived, exchange dispatcher.Exchange) {
	began := time.Now()
	writer.Header().Set(headerRequest, string(arrived.Request))
	actions := server.calls.open(arrived.Request)
	defer server.calls.close(arrived.Request)
	sink := newSink(writer)
	server.core.Submit(arrived)
	server.follow(ctx, arrived.Request, actions, exchange, sink)
	server.ended(arrived.Request, sink.status, time.Since(began))
}

// follow carries out the core's actions for a request until its final answer.
func (server *Server) follow(ctx context.Context, id definer.RequestID, actions <-chan decider.Action, exchange dispatcher.Exchange, sink *sink) {
	left := ctx.Done()
	for {
		select {
		case <-left:
			left = nil
			server.core.Submit(decider.CallerLeft{Request: id})
		case action := <-actions:
			if server.carryOut(ctx, actions, action, exchange, sink) {
				return
			}
		}
	}
}

// carryOut carries out one action and tells whether it was the last.
func (server *Server) carryOut(ctx context.Context, actions <-chan decider.Action, action decider.Action, exchange dispatcher.Exchange, sink *sink) bool {
	switch action := action.(type) {
	case decider.StartAttempt:
		server.attempt(ctx, actions, action, exchange, sink)
		return false
	case decider.RefuseRequest:
		sink.fail(failureFrom(action.Refusal))
		return true
	case decider.ReplayAnswer:
		sink.replay(action.Answer)
		return true
	case decider.FinishRequest:
		return true
	default:
		return false
	}
}

// attempt runs one attempt and tells the core how it ended.
func (server *Server) attempt(ctx context.Context, actions <-chan decider.Action, start decider.StartAttempt, exchange dispatcher.Exchange, sink *sink) {
	if start.KeepAnswer {
		// The run goes on without its caller, so that a repeat finds the answer.
		ctx = context.WithoutCancel(ctx)
	}
	attemptContext, cancel := context.WithCancel(ctx)
	defer cancel()
	over := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() { cancelOn(actions, start.Attempt, cancel, over) })
	progress := func(delivered int) {
		server.core.Submit(decider.AttemptProgressed{Request: start.Request, Attempt: start.Attempt, Delivered: delivered})
	}
	ended := server.runner.Run(attemptContext, start, exchange, sink, sparse(progress))
	// The watch must be over before the core can answer AttemptEnded, since
	// that answer comes through the same channel.
	close(over)
	group.Wait()
	server.core.Submit(ended)
}

// cancelOn ends an attempt early when the core says so. While an attempt runs
// the core has no other action for its request.
func cancelOn(actions <-chan decider.Action, attempt definer.AttemptID, cancel context.CancelFunc, over <-chan struct{}) {
	for {
		select {
		case <-over:
			return
		case action := <-actions:
			if stop, ok := action.(decider.CancelAttempt); ok && stop.Attempt == attempt {
				cancel()
			}
		}
	}
}

// progressEvery is the number of tokens between two reports of progress.
const progressEvery = 16

// sparse passes on the first report and then one in progressEvery.
func sparse(progress dispatcher.Progress) dispatcher.Progress {
	next := 0
	return func(delivered int) {
		if delivered < next {
			return
		}
		next = delivered + progressEvery
		progress(delivered)
	}
}

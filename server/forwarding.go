package server

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// forwardRetryInterval is the time between two sends of an unanswered call.
	forwardRetryInterval = time.Second
	// forwardSilenceTimeout is the time without any message from the peer after which a call fails.
	forwardSilenceTimeout = 3 * time.Second
	// defaultForwardTimeout bounds a call without a deadline.
	defaultForwardTimeout = 2 * time.Minute
	// maxForwardedCalls bounds the calls from peers that run concurrently on this node.
	maxForwardedCalls = 1024
	// maxForwardedAnswerBytes bounds the body of an answer to a peer, which rejects larger messages.
	maxForwardedAnswerBytes = 8 << 20
	// statusPending is the status of a message that only acknowledges the receipt of a call.
	statusPending = 0
)

// Peers sends messages to other nodes. Messages may be lost.
type Peers interface {
	Forward(address string, message messenger.Message)
}

// forward sends the call to a peer and the peer's answer to the caller. The peer runs a call at
// most once even if it receives the call repeatedly, because the idempotency key identifies it.
func (activeRequest *activeRequest) forward(ctx context.Context, action decider.ForwardCall) {
	answer, ok := activeRequest.callPeer(ctx, action)
	if ok {
		activeRequest.sink.relay(answer)
	}
	activeRequest.server.core.Submit(decider.CallForwarded{Request: action.Request, Answered: ok})
}

// callPeer sends the call repeatedly until the peer answers, a timeout passes or the caller
// disconnects. It reports whether there is an answer. All sends have the id of the request: if there
// were several, the peer may run the call for another one than it answered.
func (activeRequest *activeRequest) callPeer(ctx context.Context, action decider.ForwardCall) (*messenger.CallAnswer, bool) {
	message := activeRequest.forwardMessage(action)
	retry := time.NewTicker(forwardRetryInterval)
	defer retry.Stop()
	silence := time.NewTimer(forwardSilenceTimeout)
	defer silence.Stop()
	timeout := time.NewTimer(forwardTimeout(action.Remaining))
	defer timeout.Stop()
	activeRequest.server.peers.Forward(action.Address, message)
	repeated := false
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-activeRequest.server.lifetime.Done():
			return nil, false
		case <-timeout.C:
			return nil, false
		case <-silence.C:
			return nil, false
		case <-retry.C:
			repeated = true
			activeRequest.server.peers.Forward(action.Address, message)
		case answer := <-activeRequest.mailbox.answers:
			if answer.Status != statusPending && repeated {
				return withoutPromise(answer), true
			}
			if answer.Status != statusPending {
				return answer, true
			}
			silence.Reset(forwardSilenceTimeout)
		}
	}
}

// withoutPromise returns the answer with the outcome Unknown in place of NotRun.
func withoutPromise(answer *messenger.CallAnswer) *messenger.CallAnswer {
	if answer.Outcome != definer.NotRun {
		return answer
	}
	unsure := *answer
	unsure.Outcome = definer.Unknown
	for _, field := range []string{"outcome", "error.outcome"} {
		if !gjson.GetBytes(unsure.Body, field).Exists() {
			continue
		}
		if body, err := sjson.SetBytes(unsure.Body, field, string(definer.Unknown)); err == nil {
			unsure.Body = body
		}
	}
	return &unsure
}

func forwardTimeout(remaining time.Duration) time.Duration {
	if remaining == 0 {
		return defaultForwardTimeout
	}
	return remaining
}

// forwardMessage returns the message for the peer, without the caller's credentials.
func (activeRequest *activeRequest) forwardMessage(action decider.ForwardCall) *messenger.CallForward {
	header := activeRequest.exchange.Header.Clone()
	header.Del("Authorization")
	header.Del("Cookie")
	return &messenger.CallForward{
		Request:      action.Request,
		Organisation: activeRequest.arrived.Organisation,
		Method:       activeRequest.exchange.Method,
		Path:         activeRequest.requestURI,
		Header:       header,
		Body:         activeRequest.exchange.Body,
		Remaining:    action.Remaining,
	}
}

// callerContextKey is the context key of a forwarded call's caller.
type callerContextKey struct{}

// requireForwarded passes on calls that a peer has authenticated and answers the others with 404.
func requireForwarded(next callerHandle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		caller, ok := request.Context().Value(callerContextKey{}).(caller)
		if !ok {
			notFound(writer, request)
			return
		}
		next(writer, request, params, caller)
	}
}

// ServeForwarded acknowledges a call that a peer forwarded, runs it in a new goroutine and sends
// the answer to the peer. It does not start a call that is already running, exceeds
// maxForwardedCalls or arrives after Close.
func (server *Server) ServeForwarded(message *messenger.CallForward) {
	address := message.ReplyTo
	server.peers.Forward(address, &messenger.CallAnswer{Request: message.Request, Status: statusPending})
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, running := server.forwardedCalls[message.Request]; running || server.lifetime.Err() != nil || len(server.forwardedCalls) >= maxForwardedCalls {
		return
	}
	server.forwardedCalls[message.Request] = struct{}{}
	server.group.Go(func() {
		defer server.endForwarded(message.Request)
		if answer, ok := server.runForwarded(message); ok {
			server.peers.Forward(address, answer)
		}
	})
}

// runForwarded runs a call and returns its answer. It reports whether there is an answer.
func (server *Server) runForwarded(message *messenger.CallForward) (*messenger.CallAnswer, bool) {
	caller := caller{organisation: message.Organisation, requestID: message.Request, forwarded: true, remaining: message.Remaining}
	ctx := context.WithValue(server.lifetime, callerContextKey{}, caller)
	request, err := http.NewRequestWithContext(ctx, message.Method, message.Path, bytes.NewReader(message.Body))
	if err != nil {
		return nil, false
	}
	request.Header = http.Header(message.Header).Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	writer := &buffer{header: http.Header{headerRequestID: {string(message.Request)}}}
	server.forwardedHandler.ServeHTTP(writer, request)
	if writer.body.Len() > maxForwardedAnswerBytes {
		writer = answerTooLarge(message.Request)
	}
	return &messenger.CallAnswer{
		Request: message.Request,
		Status:  writer.status,
		Header:  writer.header,
		Body:    writer.body.Bytes(),
		Outcome: definer.Outcome(writer.header.Get(headerOutcome)),
	}, writer.status != statusPending
}

func (server *Server) endForwarded(request definer.RequestID) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.forwardedCalls, request)
}

// answerTooLarge returns the replacement for an answer that exceeds maxForwardedAnswerBytes.
func answerTooLarge(request definer.RequestID) *buffer {
	writer := &buffer{header: http.Header{headerRequestID: {string(request)}}}
	writeFailure(writer, failure{status: http.StatusBadGateway, code: string(messenger.AnswerNotKept), message: "the call ran; its answer is too large to be handed on", outcome: definer.Ran})
	return writer
}

// buffer is an http.ResponseWriter that keeps the answer in memory.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (buffer *buffer) Header() http.Header { return buffer.header }

// WriteHeader sets the answer's status.
func (buffer *buffer) WriteHeader(status int) { buffer.status = status }

// Write appends to the body; the status is 200 unless WriteHeader was called before.
func (buffer *buffer) Write(data []byte) (int, error) {
	if buffer.status == statusPending {
		buffer.status = http.StatusOK
	}
	return buffer.body.Write(data)
}

// Flush does nothing, because the answer is sent only when it is complete.
func (buffer *buffer) Flush() {}

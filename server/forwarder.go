package server

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// forwardEvery is how often a call is handed on again while it is unanswered.
	forwardEvery = time.Second
	// forwardSilence is how long the peer may say nothing at all.
	forwardSilence = 3 * time.Second
	// forwardLimit bounds a call without a deadline.
	forwardLimit = 2 * time.Minute
	// maxForwarded bounds the calls of peers that run here at once.
	maxForwarded = 1024
	// maxForwardedAnswer bounds the answer that is handed back; the peer takes
	// no larger message.
	maxForwardedAnswer = 8 << 20
	// underWay is the status of an answer that says no more than that the call
	// was taken in.
	underWay = 0
)

// Peers sends a message to the peer at an address. Messages may be lost.
type Peers interface {
	Forward(address string, message messenger.Message)
}

// forward hands the call on and gives the caller the peer's answer. The peer
// runs a call at most once however often it is handed on, since its key tells.
func (passage *passage) forward(ctx context.Context, action decider.ForwardCall) {
	answer, ok := passage.askPeer(ctx, action)
	if ok {
		passage.sink.relay(answer)
	}
	passage.server.core.Submit(decider.CallForwarded{Request: action.Request, Answered: ok})
}

func (passage *passage) askPeer(ctx context.Context, action decider.ForwardCall) (*messenger.CallAnswer, bool) {
	message := passage.forwarded(action)
	again := time.NewTicker(forwardEvery)
	defer again.Stop()
	silence := time.NewTimer(forwardSilence)
	defer silence.Stop()
	limit := time.NewTimer(limitOf(action.Remaining))
	defer limit.Stop()
	passage.server.peers.Forward(action.Address, message)
	for {
		select {
		case <-ctx.Done():
			return nil, false
		case <-passage.server.life.Done():
			return nil, false
		case <-limit.C:
			return nil, false
		case <-silence.C:
			return nil, false
		case <-again.C:
			passage.server.peers.Forward(action.Address, message)
		case answer := <-passage.call.answers:
			if answer.Status != underWay {
				return answer, true
			}
			silence.Reset(forwardSilence)
		}
	}
}

func limitOf(remaining time.Duration) time.Duration {
	if remaining == 0 {
		return forwardLimit
	}
	return remaining
}

// forwarded returns the call as the peer is to see it, without the caller's
// secret.
func (passage *passage) forwarded(action decider.ForwardCall) *messenger.CallForward {
	header := passage.exchange.Header.Clone()
	header.Del("Authorization")
	header.Del("Cookie")
	return &messenger.CallForward{
		Request:      action.Request,
		Organisation: passage.arrived.Organisation,
		Method:       passage.exchange.Method,
		Path:         passage.uri,
		Header:       header,
		Body:         passage.exchange.Body,
		Remaining:    action.Remaining,
	}
}

// callerKey is the key of a forwarded call's caller in its context.
type callerKey struct{}

// believed lets calls pass that a peer has authenticated.
func believed(next handle) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, params httprouter.Params) {
		known, ok := request.Context().Value(callerKey{}).(caller)
		if !ok {
			notFound(writer, request)
			return
		}
		next(writer, request, params, known)
	}
}

// TakeForwarded runs a call that a peer handed on and sends its answer back. A
// call that is under way is not run again.
func (server *Server) TakeForwarded(message *messenger.CallForward) {
	address := message.ReplyTo
	server.peers.Forward(address, &messenger.CallAnswer{Request: message.Request, Status: underWay})
	server.mutex.Lock()
	defer server.mutex.Unlock()
	if _, running := server.forwarded[message.Request]; running || server.life.Err() != nil || len(server.forwarded) >= maxForwarded {
		return
	}
	server.forwarded[message.Request] = struct{}{}
	server.group.Go(func() {
		defer server.endForwarded(message.Request)
		if answer, ok := server.runForwarded(message); ok {
			server.peers.Forward(address, answer)
		}
	})
}

func (server *Server) runForwarded(message *messenger.CallForward) (*messenger.CallAnswer, bool) {
	known := caller{organisation: message.Organisation, request: message.Request, forwarded: true, remaining: message.Remaining}
	ctx := context.WithValue(server.life, callerKey{}, known)
	request, err := http.NewRequestWithContext(ctx, message.Method, message.Path, bytes.NewReader(message.Body))
	if err != nil {
		return nil, false
	}
	request.Header = http.Header(message.Header).Clone()
	if request.Header == nil {
		request.Header = make(http.Header)
	}
	writer := &buffer{header: http.Header{headerRequest: {string(message.Request)}}}
	server.forwards.ServeHTTP(writer, request)
	if writer.body.Len() > maxForwardedAnswer {
		writer = tooLarge(message.Request)
	}
	return &messenger.CallAnswer{
		Request: message.Request,
		Status:  writer.status,
		Header:  writer.header,
		Body:    writer.body.Bytes(),
		Outcome: definer.Outcome(writer.header.Get(headerOutcome)),
	}, writer.status != underWay
}

func (server *Server) endForwarded(request definer.RequestID) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	delete(server.forwarded, request)
}

// tooLarge returns the answer in place of one that cannot be handed back.
func tooLarge(request definer.RequestID) *buffer {
	writer := &buffer{header: http.Header{headerRequest: {string(request)}}}
	writeFailure(writer, callerFailure{status: http.StatusBadGateway, code: string(messenger.AnswerNotKept), message: "the call ran; its answer is too large to be handed on", outcome: definer.Ran})
	return writer
}

// buffer keeps an answer in memory.
type buffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (buffer *buffer) Header() http.Header { return buffer.header }

// WriteHeader sets the status.
func (buffer *buffer) WriteHeader(status int) { buffer.status = status }

// Write adds to the body.
func (buffer *buffer) Write(data []byte) (int, error) {
	if buffer.status == underWay {
		buffer.status = http.StatusOK
	}
	return buffer.body.Write(data)
}

// Flush does nothing: the answer is kept until it is whole.
func (buffer *buffer) Flush() {}

package server

import (
	"sync"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// callLength bounds the actions that wait for one request. The core never has
// more than a few outstanding for a request.
const callLength = 16

// call is what reaches the goroutine that serves one request.
type call struct {
	actions chan decider.Action
	// answers holds what the peer said that the call was handed on to.
	answers chan *messenger.CallAnswer
}

// calls maps each open request to the goroutine that serves it.
type calls struct {
	// mutex guards open; no other lock is taken under it.
	mutex sync.Mutex
	// open holds one entry for each open request.
	open map[definer.RequestID]*call
}

func newCalls() *calls { return &calls{open: make(map[definer.RequestID]*call)} }

// hand gives a request's goroutine an action, unless the request is over.
func (calls *calls) hand(request definer.RequestID, action decider.Action) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	found, ok := calls.open[request]
	if !ok {
		return
	}
	select {
	case found.actions <- action:
	default:
	}
}

// answer gives a request's goroutine a peer's answer.
func (calls *calls) answer(answer *messenger.CallAnswer) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	found, ok := calls.open[answer.Request]
	if !ok {
		return
	}
	select {
	case found.answers <- answer:
	default:
	}
}

// begin adds a request, and end takes it out again.
func (calls *calls) begin(request definer.RequestID) *call {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	added := &call{actions: make(chan decider.Action, callLength), answers: make(chan *messenger.CallAnswer, callLength)}
	calls.open[request] = added
	return added
}

func (calls *calls) end(request definer.RequestID) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	delete(calls.open, request)
}

// Hand gives a request's goroutine an action. It never blocks; the action is
// dropped when the request is over.
func (server *Server) Hand(request definer.RequestID, action decider.Action) {
	server.calls.hand(request, action)
}

// Answer gives a request's goroutine a peer's answer. It never blocks; the peer
// gives its answer again when asked.
func (server *Server) Answer(answer *messenger.CallAnswer) { server.calls.answer(answer) }

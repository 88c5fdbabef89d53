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

// Calls maps each open request to the goroutine that serves it.
type Calls struct {
	// mutex guards calls; no other lock is taken under it.
	mutex sync.Mutex
	// calls holds one entry for each open request.
	calls map[definer.RequestID]*call
}

// NewCalls returns an empty table.
func NewCalls() *Calls {
	return &Calls{calls: make(map[definer.RequestID]*call)}
}

// Hand gives a request's goroutine an action. It never blocks; the action is
// dropped when the request is over.
func (calls *Calls) Hand(request definer.RequestID, action decider.Action) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	open, ok := calls.calls[request]
	if !ok {
		return
	}
	select {
	case open.actions <- action:
	default:
	}
}

// Answer gives a request's goroutine a peer's answer. It never blocks; the peer
// gives its answer again when asked.
func (calls *Calls) Answer(answer *messenger.CallAnswer) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	open, ok := calls.calls[answer.Request]
	if !ok {
		return
	}
	select {
	case open.answers <- answer:
	default:
	}
}

func (calls *Calls) open(request definer.RequestID) *call {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	open := &call{actions: make(chan decider.Action, callLength), answers: make(chan *messenger.CallAnswer, callLength)}
	calls.calls[request] = open
	return open
}

func (calls *Calls) close(request definer.RequestID) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	delete(calls.calls, request)
}

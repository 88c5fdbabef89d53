package server

import (
	"sync"

	"limpetcleat/decider"
	"limpetcleat/definer"
)

// callLength bounds the actions that wait for one request. The core never has
// more than a few outstanding for a request.
const callLength = 16

// Calls maps each open request to the goroutine that serves it.
type Calls struct {
	// mutex guards calls; no other lock is taken under it.
	mutex sync.Mutex
	// calls holds one channel for each open request.
	calls map[definer.RequestID]chan decider.Action
}

// NewCalls returns an empty table.
func NewCalls() *Calls {
	return &Calls{calls: make(map[definer.RequestID]chan decider.Action)}
}

// Hand gives a request's goroutine an action. It never blocks; the action is
// dropped when the request is over.
func (calls *Calls) Hand(request definer.RequestID, action decider.Action) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	select {
	case calls.calls[request] <- action:
	default:
	}
}

func (calls *Calls) open(request definer.RequestID) <-chan decider.Action {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	channel := make(chan decider.Action, callLength)
	calls.calls[request] = channel
	return channel
}

func (calls *Calls) close(request definer.RequestID) {
	calls.mutex.Lock()
	defer calls.mutex.Unlock()
	delete(calls.calls, request)
}

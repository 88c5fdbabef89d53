package watcher

import (
	"context"
	"sync"
	"time"

	"limpetcleat/decider"
)

// queuedCall is a call that no worker has taken yet.
type queuedCall struct {
	call     decider.CallPlatform
	queuedAt time.Time
}

// queue is a first-in, first-out queue of calls for the workers. It has no limit of its
// own: the workers keep it short by answering calls that waited longer than
// maxQueueTime without sending them.
type queue struct {
	// mu guards calls; no other lock is acquired while it is held.
	mu    sync.Mutex
	calls []queuedCall
	// ready holds an element whenever calls may be non-empty.
	ready chan struct{}
}

func newQueue() *queue { return &queue{ready: make(chan struct{}, 1)} }

func (queue *queue) put(call decider.CallPlatform) {
	queue.mu.Lock()
	queue.calls = append(queue.calls, queuedCall{call: call, queuedAt: time.Now()})
	queue.mu.Unlock()
	queue.signal()
}

// signal wakes one worker; it does not block.
func (queue *queue) signal() {
	select {
	case queue.ready <- struct{}{}:
	default:
	}
}

// take waits for the next call and removes it. The error is the error of ctx.
func (queue *queue) take(ctx context.Context) (queuedCall, error) {
	for {
		select {
		case <-queue.ready:
		case <-ctx.Done():
			return queuedCall{}, ctx.Err()
		}
		if next, ok := queue.pop(); ok {
			return next, nil
		}
	}
}

// pop removes the first call, if there is one, and signals again if more are left.
func (queue *queue) pop() (queuedCall, bool) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.calls) == 0 {
		return queuedCall{}, false
	}
	next := queue.calls[0]
	queue.calls = queue.calls[1:]
	if len(queue.calls) > 0 {
		queue.signal()
	}
	return next, true
}

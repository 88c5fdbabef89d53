package watcher

import (
	"context"
	"sync"
	"time"

	"limpetcleat/decider"
)

// waiting is one of the core's calls that no worker has taken yet.
type waiting struct {
	call  decider.CallPlatform
	since time.Time
}

// queue holds calls in order for the workers. Its length is bounded by the
// workers, which turn away what waited too long without a call being made.
type queue struct {
	// mu guards calls; no other lock is taken under it.
	mu    sync.Mutex
	calls []waiting
	// filled has an element whenever calls may not be empty.
	filled chan struct{}
}

func newQueue() *queue { return &queue{filled: make(chan struct{}, 1)} }

func (queue *queue) put(call decider.CallPlatform) {
	queue.mu.Lock()
	queue.calls = append(queue.calls, waiting{call: call, since: time.Now()})
	queue.mu.Unlock()
	queue.signal()
}

func (queue *queue) signal() {
	select {
	case queue.filled <- struct{}{}:
	default:
	}
}

// take waits for the next call. The error is that of the context.
func (queue *queue) take(ctx context.Context) (waiting, error) {
	for {
		select {
		case <-queue.filled:
		case <-ctx.Done():
			return waiting{}, ctx.Err()
		}
		if next, ok := queue.pop(); ok {
			return next, nil
		}
	}
}

func (queue *queue) pop() (waiting, bool) {
	queue.mu.Lock()
	defer queue.mu.Unlock()
	if len(queue.calls) == 0 {
		return waiting{}, false
	}
	next := queue.calls[0]
	queue.calls = queue.calls[1:]
	if len(queue.calls) > 0 {
		queue.signal()
	}
	return next, true
}

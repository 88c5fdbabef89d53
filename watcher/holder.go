package watcher

import (
	"context"
	"sync"
)

// holder keeps whether this node holds the watch, and tells of changes.
type holder struct {
	// mu guards all below; no other lock is taken under it.
	mu   sync.Mutex
	held bool
	// changed is closed and replaced with each change of held.
	changed chan struct{}
}

func newHolder() *holder { return &holder{changed: make(chan struct{})} }

func (holder *holder) set(held bool) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	if holder.held == held {
		return
	}
	holder.held = held
	close(holder.changed)
	holder.changed = make(chan struct{})
}

func (holder *holder) state() (bool, <-chan struct{}) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.held, holder.changed
}

// wait returns, once the watch is held, a context that ends when it no longer
// is. The error is that of the given context.
func (holder *holder) wait(ctx context.Context) (context.Context, context.CancelFunc, error) {
	for {
		held, changed := holder.state()
		if held {
			return until(ctx, changed)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// until returns a context that ends with the channel or with its parent. The
// returned function must be called; it waits for nothing.
func until(ctx context.Context, changed <-chan struct{}) (context.Context, context.CancelFunc, error) {
	child, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-changed:
			cancel()
		case <-child.Done():
		}
	}()
	return child, cancel, nil
}

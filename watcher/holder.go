package watcher

import (
	"context"
	"sync"
)

// holder records whether this node holds the watch and signals changes.
type holder struct {
	// mu guards the fields below; no other lock is acquired while it is held.
	mu   sync.Mutex
	held bool
	// changed is closed and replaced whenever held changes.
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

// state returns whether the watch is held, and a channel that is closed when this
// changes.
func (holder *holder) state() (bool, <-chan struct{}) {
	holder.mu.Lock()
	defer holder.mu.Unlock()
	return holder.held, holder.changed
}

// wait blocks until the watch is held and returns a context that is cancelled when it
// no longer is. The error is the error of ctx.
func (holder *holder) wait(ctx context.Context) (context.Context, context.CancelFunc, error) {
	for {
		held, changed := holder.state()
		if held {
			return cancelOnClose(ctx, changed)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// cancelOnClose returns a child of ctx that is also cancelled when the channel is
// closed. The caller must call the returned function, which does not block, to release
// the goroutine. The error is always nil.
func cancelOnClose(ctx context.Context, changed <-chan struct{}) (context.Context, context.CancelFunc, error) {
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

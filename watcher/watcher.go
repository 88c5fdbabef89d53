// Package watcher is a node's side towards the platform: it carries out the
// core's calls, watches the configuration and polls the list of VMs. An outage
// of the platform is waited out and never ends anything.
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc/pool"

	"limpetcleat/decider"
	"limpetcleat/storer"
	"limpetcleat/timer"
)

const (
	defaultWorkers   = 8
	defaultWatchWait = 20 * time.Second
	defaultPoll      = time.Second
	firstBackoff     = 200 * time.Millisecond
	maxBackoff       = 5 * time.Second
	// callPatience bounds the time a call waits for a worker.
	callPatience = 2 * time.Second
)

// Platform is what the watcher needs of the platform's object API.
type Platform interface {
	Read(ctx context.Context, kind, name string) (storer.Object, error)
	List(ctx context.Context, kind string) (storer.Items, error)
	Create(ctx context.Context, kind, name string, value []byte) (storer.Object, error)
	Update(ctx context.Context, kind, name string, version uint64, value []byte) (storer.Object, error)
	Delete(ctx context.Context, kind, name string, version uint64) (storer.Object, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) (storer.Items, error)
	VMs(ctx context.Context) (storer.VMs, error)
	Close()
}

// Watcher is a node's side towards the platform. It owns its workers and its
// done channel.
type Watcher struct {
	platform  Platform
	deliver   func(decider.Event)
	log       func(number int, pairs ...any)
	pause     func(ctx context.Context, wait time.Duration) error
	workers   int
	watchWait time.Duration
	poll      time.Duration
	queue     *queue
	holder    *holder
	done      chan struct{}
}

// Option changes one setting of a Watcher.
type Option func(*Watcher)

// WithPlatform sets the client; the default is a storer.Storer.
func WithPlatform(platform Platform) Option {
	return func(watcher *Watcher) { watcher.platform = platform }
}

// WithLog sets where numbered events go; the default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(watcher *Watcher) { watcher.log = log }
}

// WithPause sets how the watcher waits; the default is the system's clock.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(watcher *Watcher) { watcher.pause = pause }
}

// New returns a watcher of the platform at the addresses. It hands events to
// deliver, which must be safe for concurrent use.
func New(addresses []string, token string, deliver func(decider.Event), options ...Option) *Watcher {
	watcher := &Watcher{
		platform:  storer.New(addresses, token),
		deliver:   deliver,
		log:       func(int, ...any) {},
		pause:     timer.Sleep,
		workers:   defaultWorkers,
		watchWait: defaultWatchWait,
		poll:      defaultPoll,
		queue:     newQueue(),
		holder:    newHolder(),
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(watcher)
	}
	return watcher
}

// Start begins the watcher's work, which lasts until the context ends.
func (watcher *Watcher) Start(ctx context.Context) {
	workers := pool.New().WithContext(ctx)
	for range watcher.workers {
		workers.Go(watcher.work)
	}
	workers.Go(func(ctx context.Context) error { return watcher.whileHeld(ctx, watcher.watchConfiguration) })
	workers.Go(func(ctx context.Context) error { return watcher.whileHeld(ctx, watcher.pollVMs) })
	go watcher.finish(workers)
}

func (watcher *Watcher) finish(workers *pool.ContextPool) {
	_ = workers.Wait() // The workers end only with the context.
	watcher.platform.Close()
	close(watcher.done)
}

// Done is closed once all of the watcher's work has ended.
func (watcher *Watcher) Done() <-chan struct{} { return watcher.done }

// Hold says whether this node holds the watch on the configuration and polls
// the list of VMs.
func (watcher *Watcher) Hold(hold bool) { watcher.holder.set(hold) }

// whileHeld runs the loop whenever the watch is held.
func (watcher *Watcher) whileHeld(ctx context.Context, loop func(context.Context)) error {
	for ctx.Err() == nil {
		held, cancel, err := watcher.holder.wait(ctx)
		if err != nil {
			return nil
		}
		loop(held)
		cancel()
	}
	return nil
}

// jitter returns a time between half and all of the given one.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Float64()*float64(wait/2))
}

// backoff grows with each failure in a row.
type backoff struct {
	// away is set from the first failure to the next success.
	away bool
	wait time.Duration
}

// next returns how long to wait after a failure.
func (backoff *backoff) next(err error) time.Duration {
	backoff.wait = min(max(2*backoff.wait, firstBackoff), maxBackoff)
	return max(jitter(backoff.wait), storer.RetryAfter(err))
}

// Package watcher connects a node to the platform's object API: it executes the calls
// of the decider, watches the configuration and polls the list of VMs, and delivers the
// results as events. During an outage of the platform it retries with exponential
// backoff; no outage stops it.
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
	defaultWorkers      = 8
	defaultWatchWait    = 20 * time.Second
	defaultPollInterval = time.Second
	// settleDelay is how long after an answer with a head the head is listed again: a watch may lag, so that a later
	// one is missing. defaultCheckInterval is the longest time between two lists.
	settleDelay          = 1200 * time.Millisecond
	defaultCheckInterval = 20 * time.Second
	firstBackoff         = 200 * time.Millisecond
	maxBackoff           = 5 * time.Second
	// maxQueueTime is the longest time that a call may wait for a worker; a call that
	// waited longer is not sent.
	maxQueueTime = 2 * time.Second
)

// Platform is the part of the platform's object API that a Watcher uses.
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

// Watcher executes calls to the platform, watches the configuration and polls the list
// of VMs. It owns its workers and its done channel. Call and SetWatching are safe for
// concurrent use.
type Watcher struct {
	platform  Platform
	deliver   func(decider.Event)
	log       func(number int, pairs ...any)
	pause     func(ctx context.Context, wait time.Duration) error
	workers   int
	watchWait time.Duration
	// checkInterval is the longest time between two lists of the head.
	checkInterval time.Duration
	pollInterval  time.Duration
	queue         *queue
	holder        *holder
	done          chan struct{}
}

// Option changes one setting of a Watcher.
type Option func(*Watcher)

// WithPlatform sets the client of the platform; the default is a storer.Storer.
func WithPlatform(platform Platform) Option {
	return func(watcher *Watcher) { watcher.platform = platform }
}

// WithLog sets the function that logs numbered events; the default discards them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(watcher *Watcher) { watcher.log = log }
}

// WithCheckInterval sets the longest time between two lists of the configuration's head, which find a change that no
// watch returned; the default is 20 seconds.
func WithCheckInterval(interval time.Duration) Option {
	return func(watcher *Watcher) { watcher.checkInterval = interval }
}

// WithPause sets the function that waits between attempts and polls; the default is
// timer.Sleep.
func WithPause(pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(watcher *Watcher) { watcher.pause = pause }
}

// New returns a Watcher of the platform at the addresses, which sends the token as a
// bearer token unless it is empty. It passes events to deliver, which must be safe for
// concurrent use.
func New(addresses []string, token string, deliver func(decider.Event), options ...Option) *Watcher {
	watcher := &Watcher{
		platform:  storer.New(addresses, token),
		deliver:   deliver,
		log:       func(int, ...any) {},
		pause:     timer.Sleep,
		workers:   defaultWorkers,
		watchWait: defaultWatchWait,

		checkInterval: defaultCheckInterval,
		pollInterval:  defaultPollInterval,
		queue:         newQueue(),
		holder:        newHolder(),
		done:          make(chan struct{}),
	}
	for _, option := range options {
		option(watcher)
	}
	return watcher
}

// Start starts the workers, the watch and the poll, and returns at once. They run until
// the context ends.
func (watcher *Watcher) Start(ctx context.Context) {
	workers := pool.New().WithContext(ctx)
	for range watcher.workers {
		workers.Go(watcher.runWorker)
	}
	workers.Go(func(ctx context.Context) error { return watcher.runWhileHeld(ctx, watcher.watchConfiguration) })
	workers.Go(func(ctx context.Context) error { return watcher.runWhileHeld(ctx, watcher.pollVMs) })
	go watcher.waitAndClose(workers)
}

func (watcher *Watcher) waitAndClose(workers *pool.ContextPool) {
	_ = workers.Wait() // The workers return no errors.
	watcher.platform.Close()
	close(watcher.done)
}

// Done returns a channel that is closed once all goroutines of the watcher have ended.
func (watcher *Watcher) Done() <-chan struct{} { return watcher.done }

// SetWatching sets whether this node watches the configuration and polls the list of VMs; at
// first it does neither.
func (watcher *Watcher) SetWatching(hold bool) { watcher.holder.set(hold) }

// runWhileHeld runs the loop whenever the watch is held, until ctx ends. The context of
// the loop ends when the watch is no longer held. The error is always nil.
func (watcher *Watcher) runWhileHeld(ctx context.Context, loop func(context.Context)) error {
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

// jitter returns a random duration between half of wait and wait.
func jitter(wait time.Duration) time.Duration {
	return wait/2 + time.Duration(rand.Float64()*float64(wait/2))
}

// backoff is an exponential backoff between firstBackoff and maxBackoff.
type backoff struct {
	// failing is set from the first failure to the next success.
	failing bool
	wait    time.Duration
}

// next returns how long to wait after a failure: the next backoff with jitter, or the
// wait that the platform asked for if that is longer.
func (backoff *backoff) next(err error) time.Duration {
	backoff.wait = min(max(2*backoff.wait, firstBackoff), maxBackoff)
	return max(jitter(backoff.wait), storer.RetryAfter(err))
}

// Package balancer stands in for the platform's TCP balancer: connections go to
// the back ends in turn, and a back end that does not take one is skipped.
package balancer

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	defaultDialTimeout = time.Second
	defaultPeriod      = 500 * time.Millisecond
	defaultHealthPath  = "/readyz"
)

// Balancer spreads TCP connections over back ends.
type Balancer struct {
	dialTimeout time.Duration
	checked     bool
	healthPath  string
	period      time.Duration
	client      *http.Client
	done        chan struct{}
	once        sync.Once

	// mu guards everything below; no other lock is taken under it.
	mu       sync.Mutex
	backends []string
	// unready has the back ends whose last health check failed.
	unready map[string]bool
	// turn counts the connections taken.
	turn int
}

// Option changes one property of a Balancer.
type Option func(*Balancer)

// WithBackends sets the addresses of the first back ends.
func WithBackends(addresses ...string) Option {
	return func(balancer *Balancer) { balancer.backends = slices.Clone(addresses) }
}

// WithHealthCheck asks each back end with GET in every period, and leaves out
// one that does not answer 200. An empty path is /readyz; a period of zero is
// half a second.
func WithHealthCheck(path string, period time.Duration) Option {
	return func(balancer *Balancer) {
		balancer.checked = true
		if path != "" {
			balancer.healthPath = path
		}
		if period > 0 {
			balancer.period = period
		}
	}
}

// WithDialTimeout sets how long a back end may take to accept a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(balancer *Balancer) { balancer.dialTimeout = timeout }
}

// New returns a Balancer, which does nothing until it serves.
func New(opts ...Option) *Balancer {
	balancer := &Balancer{
		dialTimeout: defaultDialTimeout,
		healthPath:  defaultHealthPath,
		period:      defaultPeriod,
		done:        make(chan struct{}),
		unready:     map[string]bool{},
	}
	for _, opt := range opts {
		opt(balancer)
	}
	balancer.client = &http.Client{
		Timeout:   balancer.dialTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	return balancer
}

// SetBackends replaces the back ends for the connections to come.
func (balancer *Balancer) SetBackends(addresses ...string) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.backends = slices.Clone(addresses)
}

// Serve balances the listener's connections until the context ends or Close is
// called. It then closes every connection and returns nil.
func (balancer *Balancer) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() {
		select {
		case <-ctx.Done():
		case <-balancer.done:
		}
		cancel()
		_ = listener.Close()
	})
	if balancer.checked {
		workers.Go(func() { balancer.check(ctx) })
	}
	err := balancer.accept(ctx, listener, &workers)
	cancel()
	workers.Wait()
	return err
}

// Close ends every Serve.
func (balancer *Balancer) Close() error {
	balancer.once.Do(func() { close(balancer.done) })
	return nil
}

func (balancer *Balancer) accept(ctx context.Context, listener net.Listener, workers *conc.WaitGroup) error {
	for {
		caller, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return &Error{Operation: "accept", Err: err}
		}
		workers.Go(func() { balancer.forward(ctx, caller) })
	}
}

// forward joins the caller to the first back end that takes the connection.
func (balancer *Balancer) forward(ctx context.Context, caller net.Conn) {
	defer func() { _ = caller.Close() }()
	dialer := net.Dialer{Timeout: balancer.dialTimeout}
	for _, address := range balancer.order() {
		backend, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			join(ctx, caller, backend)
			return
		}
	}
}

// order returns the back ends in the order to try them. When none is ready it
// returns all.
func (balancer *Balancer) order() []string {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	ready := slices.DeleteFunc(slices.Clone(balancer.backends), func(address string) bool {
		return balancer.unready[address]
	})
	if len(ready) == 0 {
		ready = slices.Clone(balancer.backends)
	}
	if len(ready) == 0 {
		return nil
	}
	first := balancer.turn % len(ready)
	balancer.turn++
	return append(slices.Clone(ready[first:]), ready[:first]...)
}

// Package balancer provides a round-robin TCP load balancer that stands in for
// the one of the platform. It skips back ends that refuse a connection.
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
	defaultDialTimeout  = time.Second
	defaultHealthPeriod = 500 * time.Millisecond
	defaultHealthPath   = "/readyz"
)

// Balancer distributes TCP connections over back ends. Its methods are safe for
// concurrent use.
type Balancer struct {
	dialTimeout   time.Duration
	healthChecked bool
	healthPath    string
	healthPeriod  time.Duration
	healthClient  *http.Client
	done          chan struct{}
	closeOnce     sync.Once

	// mu guards the fields below; no other lock is acquired while it is held.
	mu       sync.Mutex
	backends []string
	// unready is true for the back ends whose last health check failed.
	unready map[string]bool
	// accepted counts the connections balanced so far.
	accepted int
}

// Option changes one property of a Balancer.
type Option func(*Balancer)

// WithBackends sets the addresses of the initial back ends.
func WithBackends(addresses ...string) Option {
	return func(balancer *Balancer) { balancer.backends = slices.Clone(addresses) }
}

// WithHealthCheck sends each back end a GET request in every period, and skips
// those that do not respond with 200. An empty path selects /readyz, a zero
// period half a second.
func WithHealthCheck(path string, period time.Duration) Option {
	return func(balancer *Balancer) {
		balancer.healthChecked = true
		if path != "" {
			balancer.healthPath = path
		}
		if period > 0 {
			balancer.healthPeriod = period
		}
	}
}

// WithDialTimeout sets the timeout for connecting to a back end and for a health
// check. The default is one second.
func WithDialTimeout(timeout time.Duration) Option {
	return func(balancer *Balancer) { balancer.dialTimeout = timeout }
}

// New returns a Balancer that does nothing until Serve is called.
func New(opts ...Option) *Balancer {
	balancer := &Balancer{
		dialTimeout:  defaultDialTimeout,
		healthPath:   defaultHealthPath,
		healthPeriod: defaultHealthPeriod,
		done:         make(chan struct{}),
		unready:      map[string]bool{},
	}
	for _, opt := range opts {
		opt(balancer)
	}
	balancer.healthClient = &http.Client{
		Timeout:   balancer.dialTimeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	return balancer
}

// SetBackends replaces the back ends for new connections.
func (balancer *Balancer) SetBackends(addresses ...string) {
	balancer.mu.Lock()
	defer balancer.mu.Unlock()
	balancer.backends = slices.Clone(addresses)
}

// Serve balances the listener's connections until the context ends or Close is
// called. It then closes every connection and returns nil. A failure of the
// listener is returned as an Error.
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
	if balancer.healthChecked {
		workers.Go(func() { balancer.runHealthChecks(ctx) })
	}
	err := balancer.accept(ctx, listener, &workers)
	cancel()
	workers.Wait()
	return err
}

// Close makes every Serve return, without waiting for it. It always returns nil.
func (balancer *Balancer) Close() error {
	balancer.closeOnce.Do(func() { close(balancer.done) })
	return nil
}

func (balancer *Balancer) accept(ctx context.Context, listener net.Listener, workers *conc.WaitGroup) error {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return &Error{Operation: "accept", Err: err}
		}
		workers.Go(func() { balancer.forward(ctx, client) })
	}
}

// forward proxies the client to the first back end that accepts a connection.
func (balancer *Balancer) forward(ctx context.Context, client net.Conn) {
	defer func() { _ = client.Close() }()
	dialer := net.Dialer{Timeout: balancer.dialTimeout}
	for _, address := range balancer.dialOrder() {
		backend, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			proxy(ctx, client, backend)
			return
		}
	}
}

// dialOrder returns the ready back ends in the order to try them. If none is
// ready it returns all.
func (balancer *Balancer) dialOrder() []string {
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
	first := balancer.accepted % len(ready)
	balancer.accepted++
	return append(slices.Clone(ready[first:]), ready[:first]...)
}

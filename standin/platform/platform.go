// Package platform stands in for the platform's object API: versions,
// conditional updates, watches, a lagging list of VMs, rate limits and faults.
// docs/STANDINS.md has its protocol.
package platform

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/standin/internal/delayer"
	"limpetcleat/standin/internal/host"
)

const (
	maxValueBytes   = 1 << 20
	defaultHistory  = 1000
	defaultWatch    = 30 * time.Second
	unlimited       = rate.Inf
	retryAfterValue = "1"
)

// Platform is one stand-in of the object API. All of its state is in memory.
type Platform struct {
	host    *host.Host
	token   string
	now     func() time.Time
	lag     time.Duration
	bound   int
	reads   *rate.Limiter
	writes  *rate.Limiter
	handler http.Handler

	// mu guards everything below; no other lock is taken under it.
	mu     sync.Mutex
	store  *store
	vms    map[string]VM
	list   *delayer.Delayer[VMList]
	faults Faults
	calls  Calls
	// changed is closed and replaced whenever the store or the faults change.
	changed chan struct{}
}

// Option changes one property of a Platform.
type Option func(*Platform)

// WithToken makes every call carry this bearer token.
func WithToken(token string) Option {
	return func(platform *Platform) { platform.token = token }
}

// WithRates limits the calls a second; a burst of one second's calls is taken.
// Zero is no limit.
func WithRates(writes, reads int) Option {
	return func(platform *Platform) {
		platform.writes = limiter(writes)
		platform.reads = limiter(reads)
	}
}

// WithListLag sets how late the list of VMs shows a change.
func WithListLag(lag time.Duration) Option {
	return func(platform *Platform) { platform.lag = lag }
}

// WithHistory sets how many changes a watch can look back.
func WithHistory(changes int) Option {
	return func(platform *Platform) { platform.bound = changes }
}

// WithClock sets the clock of the rate limits and of the list's lag.
func WithClock(now func() time.Time) Option {
	return func(platform *Platform) { platform.now = now }
}

// New returns an empty Platform.
func New(opts ...Option) *Platform {
	platform := &Platform{
		host:    host.New(),
		now:     time.Now,
		bound:   defaultHistory,
		reads:   limiter(0),
		writes:  limiter(0),
		vms:     map[string]VM{},
		changed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(platform)
	}
	platform.store = newStore(platform.bound)
	platform.list = delayer.New(platform.lag, VMList{VMs: []VM{}})
	platform.handler = platform.routes()
	return platform
}

// Handler returns the whole API.
func (platform *Platform) Handler() http.Handler {
	return platform.handler
}

// Serve answers on the listener until the context ends or Close is called.
func (platform *Platform) Serve(ctx context.Context, listener net.Listener) error {
	return platform.host.Serve(ctx, listener, platform.handler)
}

// Close ends every call that waits and every Serve.
func (platform *Platform) Close() error {
	platform.host.Close()
	return nil
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(unlimited, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

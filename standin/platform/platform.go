// Package platform is an in-memory stand-in for the platform's object API, with versioned
// objects, conditional writes, watches, a delayed list of VMs, rate limits and fault injection. The
// protocol is described in docs/STANDINS.md.
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
	maxValueBytes       = 1 << 20
	defaultHistoryLimit = 1000
	defaultWatchTimeout = 30 * time.Second
	unlimited           = rate.Inf
	retryAfterSeconds   = "1"
)

// Platform serves the object API from memory. It is safe for concurrent use.
type Platform struct {
	host         *host.Host
	token        string
	now          func() time.Time
	listLag      time.Duration
	historyLimit int
	reads        *rate.Limiter
	writes       *rate.Limiter
	handler      http.Handler

	// mu guards the fields below; no other lock is acquired while it is held.
	mu     sync.Mutex
	store  *store
	vms    map[string]VM
	vmList *delayer.Delayer[VMList]
	faults Faults
	calls  Calls
	// changed is closed and replaced whenever an object or the faults change.
	changed chan struct{}
}

// Option configures a Platform.
type Option func(*Platform)

// WithToken sets the bearer token that every request except GET /health must carry.
func WithToken(token string) Option {
	return func(platform *Platform) { platform.token = token }
}

// WithRates sets the rate limits for writes and for reads and watches, in requests per second. The
// burst equals one second's requests. Zero means no limit.
func WithRates(writes, reads int) Option {
	return func(platform *Platform) {
		platform.writes = newLimiter(writes)
		platform.reads = newLimiter(reads)
	}
}

// WithListLag sets the delay after which a change appears in the list of VMs.
func WithListLag(lag time.Duration) Option {
	return func(platform *Platform) { platform.listLag = lag }
}

// WithHistoryLimit sets the number of changes that are retained for watches.
func WithHistoryLimit(changes int) Option {
	return func(platform *Platform) { platform.historyLimit = changes }
}

// WithClock sets the clock for the rate limits and for the delay of the list of VMs.
func WithClock(now func() time.Time) Option {
	return func(platform *Platform) { platform.now = now }
}

// New returns an empty Platform without rate limits, delay or token unless options set them.
func New(opts ...Option) *Platform {
	platform := &Platform{
		host:         host.New(),
		now:          time.Now,
		historyLimit: defaultHistoryLimit,
		reads:        newLimiter(0),
		writes:       newLimiter(0),
		vms:          map[string]VM{},
		changed:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(platform)
	}
	platform.store = newStore(platform.historyLimit)
	platform.vmList = delayer.New(platform.listLag, VMList{VMs: []VM{}})
	platform.handler = platform.newRouter()
	return platform
}

// Handler returns the HTTP API, including the administrative endpoints.
func (platform *Platform) Handler() http.Handler {
	return platform.handler
}

// Serve handles requests on the listener until the context ends or Close is called. It returns nil
// after such an end.
func (platform *Platform) Serve(ctx context.Context, listener net.Listener) error {
	return platform.host.Serve(ctx, listener, platform.handler)
}

// Close ends every pending request and every Serve. It always returns nil.
func (platform *Platform) Close() error {
	platform.host.Close()
	return nil
}

// newLimiter returns a limiter whose burst equals one second's requests; zero means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(unlimited, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

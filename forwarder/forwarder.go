// Package forwarder takes a caller's request through the rules to an upstream
// and its answer back. It answers each caller with an upstream's own whole
// answer or with a refusal that tells whether the request may have run.
package forwarder

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"limpetcleat/budgeter"
	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/examiner"
	"limpetcleat/interpreter"
	"limpetcleat/quarantiner"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/selector"
	"limpetcleat/timer"
)

const (
	// defaultBodyBytes bounds a request's body when the configuration does not.
	defaultBodyBytes = 4 << 20
	// defaultHeldBytes bounds the bodies held at once.
	defaultHeldBytes = 32 << 20
	// defaultTimeLeft bounds a request for which neither caller nor rule does.
	defaultTimeLeft = time.Minute
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// answerMargin is how long after the time is over an upstream's own answer to
	// that is still waited for; half a second would be too late for the platform.
	answerMargin = 60 * time.Millisecond
	// writeMargin is how long after that a caller may take to read.
	writeMargin = 2 * time.Second
)

// Configuration is what is known of the configuration.
type Configuration interface {
	// Table returns the configuration in force, or nil.
	Table() *router.Table
	// Confirmed returns the time since which that is known to be the newest.
	Confirmed() time.Time
	// Healthy tells whether the platform answered the last call.
	Healthy() bool
}

// Directory lists upstreams.
type Directory interface {
	// Of returns the upstreams of a service that may get requests.
	Of(service definer.PoolName) []*registrar.Upstream
	// Known tells whether the list was read yet.
	Known() bool
}

// Forwarder serves callers. It is safe for concurrent use.
type Forwarder struct {
	protocol      Protocol
	configuration Configuration
	directory     Directory
	selector      *selector.Selector
	budget        *budgeter.Budgeter
	connector     *connector.Connector
	watch         *timer.Service[*attempt]
	roster        *roster
	statements    *statements
	examiner      *examiner.Examiner
	quarantine    *quarantiner.Quarantiner
	permits       Permits
	announcements Announcements
	log           func(number int, pairs ...any)
	record        func(Record)
	begun         func(organisation definer.OrganisationName)
	backedOff     func()
	draw          func() float64
	// confirmedFor is how long a confirmed configuration lets keys be honoured.
	confirmedFor time.Duration
	maxHeldBytes int64
	// longestBackoff bounds how long an upstream may ask not to be sent anything.
	longestBackoff time.Duration
	// heldBytes counts the bodies of requests in hand.
	heldBytes atomic.Int64
	// closing is set once answers ask callers to close their connections, and
	// refusing once no request is taken any more.
	closing  atomic.Bool
	refusing atomic.Bool
}

// Option changes one setting of a Forwarder.
type Option func(*Forwarder)

// WithLog sets where numbered events go; the default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(forwarder *Forwarder) { forwarder.log = log }
}

// WithRecord sets what is told of each ended request; the default is nothing.
func WithRecord(record func(Record)) Option {
	return func(forwarder *Forwarder) { forwarder.record = record }
}

// WithBegun sets what is told, once for each request, that it has begun at an upstream.
func WithBegun(begun func(organisation definer.OrganisationName)) Option {
	return func(forwarder *Forwarder) { forwarder.begun = begun }
}

// WithConfirmation sets how long a confirmed configuration lets keys be
// honoured; without it they always are.
func WithConfirmation(span time.Duration) Option {
	return func(forwarder *Forwarder) { forwarder.confirmedFor = span }
}

// WithHeldBytes bounds the bodies held at once.
func WithHeldBytes(bytes int64) Option {
	return func(forwarder *Forwarder) { forwarder.maxHeldBytes = bytes }
}

// WithDraw sets where the numbers between 0 and 1 come from by which requests
// are shared out by weight.
func WithDraw(draw func() float64) Option {
	return func(forwarder *Forwarder) { forwarder.draw = draw }
}

// WithQuarantine sets what knows the requests that make upstreams end; the default is one
// that hears nothing from peers.
func WithQuarantine(quarantine *quarantiner.Quarantiner) Option {
	return func(forwarder *Forwarder) { forwarder.quarantine = quarantine }
}

// WithLimits sets what knows the limits of upstreams and hands out their permits; the default
// knows none.
func WithLimits(announcements Announcements, permits Permits) Option {
	return func(forwarder *Forwarder) { forwarder.announcements, forwarder.permits = announcements, permits }
}

// WithBackoffs sets what is told of each refusal that asks for a backoff; the default is nothing.
func WithBackoffs(backedOff func()) Option {
	return func(forwarder *Forwarder) { forwarder.backedOff = backedOff }
}

// WithLongestBackoff bounds how long an upstream may ask not to be sent anything.
func WithLongestBackoff(span time.Duration) Option {
	return func(forwarder *Forwarder) { forwarder.longestBackoff = span }
}

// New returns a forwarder over the parts, which the caller owns.
func New(protocol Protocol, configuration Configuration, directory Directory, selector *selector.Selector, budget *budgeter.Budgeter, connector *connector.Connector, options ...Option) *Forwarder {
	forwarder := &Forwarder{
		protocol:       protocol,
		configuration:  configuration,
		directory:      directory,
		selector:       selector,
		budget:         budget,
		connector:      connector,
		watch:          timer.New((*attempt).expire),
		roster:         newRoster(),
		statements:     newStatements(),
		examiner:       examiner.New(connector.Look),
		quarantine:     quarantiner.New(),
		permits:        unlimited{},
		announcements:  unlimited{},
		log:            func(int, ...any) {},
		record:         func(Record) {},
		begun:          func(definer.OrganisationName) {},
		backedOff:      func() {},
		draw:           func() float64 { return 0 },
		maxHeldBytes:   defaultHeldBytes,
		longestBackoff: interpreter.MaxRetryAfter,
	}
	for _, option := range options {
		option(forwarder)
	}
	return forwarder
}

// Start runs what watches over attempts until the context ends.
func (forwarder *Forwarder) Start(ctx context.Context) { forwarder.watch.Start(ctx) }

// Done is closed once that has ended.
func (forwarder *Forwarder) Done() <-chan struct{} { return forwarder.watch.Done() }

// CloseConnections makes each answer from now on close its connection.
func (forwarder *Forwarder) CloseConnections() { forwarder.closing.Store(true) }

// Refuse refuses each request from now on.
func (forwarder *Forwarder) Refuse() { forwarder.refusing.Store(true) }

// Ready tells whether requests can be served: configuration and upstreams are
// known, confirmed lately, and no stop has begun.
func (forwarder *Forwarder) Ready(now time.Time) bool {
	known := forwarder.configuration.Table() != nil && forwarder.directory.Known()
	return known && !forwarder.closing.Load() && forwarder.confirmed(now)
}

// confirmed tells whether the configuration was confirmed lately enough to
// honour keys. Times compare by the monotonic clock.
func (forwarder *Forwarder) confirmed(now time.Time) bool {
	return forwarder.confirmedFor == 0 || now.Sub(forwarder.configuration.Confirmed()) < forwarder.confirmedFor
}

// ServeHTTP serves one request of a caller.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if forwarder.closing.Load() {
		writer.Header().Set("Connection", "close")
	}
	passage := &passage{forwarder: forwarder, writer: writer, request: request, arrived: time.Now()}
	defer passage.finish()
	if reason := passage.admit(); reason != "" {
		passage.refuse(reason)
		return
	}
	defer forwarder.heldBytes.Add(-int64(len(passage.body)))
	passage.serve()
}

// Package forwarder is the reverse proxy: it routes a caller's request by the rules to an
// upstream, retries it where that is safe, and passes the upstream's answer back. A caller gets
// either an upstream's own complete answer or a refusal that tells whether the request may
// have run.
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
	"limpetcleat/inquirer"
	"limpetcleat/interpreter"
	"limpetcleat/quarantiner"
	"limpetcleat/rationer"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/selector"
)

const (
	// defaultMaxBodyBytes bounds a request's body if the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// defaultMaxHeldBytes bounds the total size of the request bodies in memory.
	defaultMaxHeldBytes = 32 << 20
	// bodyWait is the longest time that a request waits for memory for its body; it is shorter
	// for requests with a latency objective, of which it is at most bodyWaitShare.
	bodyWait      = 250 * time.Millisecond
	bodyWaitShare = 0.125
	// defaultTimeLimit is the time limit of a request if neither its caller nor its rule sets
	// one.
	defaultTimeLimit = time.Minute
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// answerMargin is how long after the time limit to wait for the upstream's own answer
	// that the time has run out; half a second would be too late for the platform.
	answerMargin = 60 * time.Millisecond
	// writeMargin is how long after the answerMargin a caller may take to read the answer.
	writeMargin = 2 * time.Second
	// stallTimeout is how long a caller may read nothing of its stream.
	stallTimeout = 5 * time.Second
)

// Configuration provides the routing table in force and how current it is.
type Configuration interface {
	// Table returns the table in force, or nil if none is known yet.
	Table() *router.Table
	// Confirmed returns when the table was last confirmed to be the newest.
	Confirmed() time.Time
	// Healthy reports whether the platform answered the last call.
	Healthy() bool
}

// Directory lists upstreams.
type Directory interface {
	// Upstreams returns the upstreams of a service that may be sent requests.
	Upstreams(service definer.PoolName) []*registrar.Upstream
	// Loaded reports whether the list has been read yet.
	Loaded() bool
}

// Confinement restricts where requests are served.
type Confinement interface {
	// Permitted returns those of the upstreams to which a request may be sent that is confined
	// by each of the lists of regions; an empty list does not confine it.
	Permitted(upstreams []*registrar.Upstream, regions ...[]definer.Region) []*registrar.Upstream
	// Loaded reports whether the restrictions are known.
	Loaded() bool
}

// unconfined implements Confinement without restrictions.
type unconfined struct{}

// Permitted returns all upstreams.
func (unconfined) Permitted(upstreams []*registrar.Upstream, _ ...[]definer.Region) []*registrar.Upstream {
	return upstreams
}

// Loaded reports true.
func (unconfined) Loaded() bool { return true }

// Forwarder is an http.Handler that serves callers by sending their requests to upstreams. It
// is safe for concurrent use.
type Forwarder struct {
	protocol         Protocol
	configuration    Configuration
	directory        Directory
	selector         *selector.Selector
	retryBudget      *budgeter.Budgeter
	connector        *connector.Connector
	attempts         *attemptRegistry
	loggedStatements *statementCache
	examiner         *examiner.Examiner
	inquirer         *inquirer.Inquirer
	quarantine       *quarantiner.Quarantiner
	permits          Permits
	// connections is nil if connections need no leave.
	connections   Connections
	announcements Announcements
	confinement   Confinement
	origins       Origins
	// shares is nil if organisations do not share capacity.
	shares     Shares
	capacities capacityClock
	evidence   Evidence
	log        func(number int, pairs ...any)
	record     func(Record)
	begun      func(organisation definer.OrganisationName)
	backedOff  func()
	random     func() float64
	// confirmedFor is how long keys are accepted after the configuration was confirmed; 0 is
	// without limit.
	confirmedFor time.Duration
	// bodies bounds the request bodies in memory, answers the answers that are held whole.
	bodies  *rationer.Rationer
	answers *rationer.Rationer
	// openStreams is the number of streamed answers that have begun and not ended.
	openStreams atomic.Int64
	// listedAt returns when the list of upstreams is known to have been current.
	listedAt func() time.Time
	// settled reports whether the list of upstreams holds what arrived while the process was paused.
	settled func(now time.Time) bool
	// longestBackoff bounds the backoff that an upstream may ask for.
	longestBackoff time.Duration
	// closing is set once answers ask callers to close their connections.
	closing atomic.Bool
	// cutting is set once the node closes the connections of callers itself.
	cutting atomic.Bool
	// admitting ends when Refuse is called, and answersEnd is when a planned stop cuts the requests that are left;
	// it is set before. endAdmission ends admitting.
	admitting    context.Context
	endAdmission context.CancelFunc
	answersEnd   atomic.Pointer[time.Time]
	// starting ends when no more sends to upstreams may begin; endStarts ends it.
	starting  context.Context
	endStarts context.CancelFunc
}

// Option changes one setting of a Forwarder.
type Option func(*Forwarder)

// WithLog sets the function that logs numbered events; the default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(forwarder *Forwarder) { forwarder.log = log }
}

// WithRecord sets the function that is called with the Record of each finished request; the
// default does nothing.
func WithRecord(record func(Record)) Option {
	return func(forwarder *Forwarder) { forwarder.record = record }
}

// WithRequestBegun sets the function that is called once for each request with which an upstream
// has begun; the default does nothing.
func WithRequestBegun(begun func(organisation definer.OrganisationName)) Option {
	return func(forwarder *Forwarder) { forwarder.begun = begun }
}

// WithConfirmationLifetime sets how long keys are accepted after the configuration was confirmed;
// the default is without limit.
func WithConfirmationLifetime(span time.Duration) Option {
	return func(forwarder *Forwarder) { forwarder.confirmedFor = span }
}

// WithMemory sets what bounds the memory of request bodies, and that of answers: of those that are read to
// their end before they are passed on, and of events that are incomplete. The answers should have
// MaxAnswerBytes at least.
func WithMemory(bodies, answers *rationer.Rationer) Option {
	return func(forwarder *Forwarder) { forwarder.bodies, forwarder.answers = bodies, answers }
}

// WithRandom sets the source of random numbers between 0 and 1, by which targets are picked by
// weight and retry delays are randomised; the default always returns 0.
func WithRandom(draw func() float64) Option {
	return func(forwarder *Forwarder) { forwarder.random = draw }
}

// WithQuarantine sets the quarantine that holds off requests which make upstreams end; the
// default is one without reports of peers.
func WithQuarantine(quarantine *quarantiner.Quarantiner) Option {
	return func(forwarder *Forwarder) { forwarder.quarantine = quarantine }
}

// WithLimits sets what receives the announcements of upstreams and grants permits for those
// with a rate limit; by default, upstreams have no limits.
func WithLimits(announcements Announcements, permits Permits) Option {
	return func(forwarder *Forwarder) { forwarder.announcements, forwarder.permits = announcements, permits }
}

// WithConfinement sets what restricts where requests are served; the default restricts nothing.
func WithConfinement(confinement Confinement) Option {
	return func(forwarder *Forwarder) { forwarder.confinement = confinement }
}

// WithOrigins sets what keeps which software version began each stream; by default, the upstreams of a
// service are taken to have no versions.
func WithOrigins(origins Origins) Option {
	return func(forwarder *Forwarder) { forwarder.origins = origins }
}

// WithBackoffs sets the function that is called for each answer that asks for a backoff; the
// default does nothing.
func WithBackoffs(backedOff func()) Option {
	return func(forwarder *Forwarder) { forwarder.backedOff = backedOff }
}

// WithListedAt sets the function that returns when the list of upstreams is known to have been
// current, zero if it never was. By default it always is.
func WithListedAt(listedAt func() time.Time) Option {
	return func(forwarder *Forwarder) { forwarder.listedAt = listedAt }
}

// WithSettled sets the function that reports whether the list of upstreams holds what arrived while the process
// was paused. The default reports true.
func WithSettled(settled func(now time.Time) bool) Option {
	return func(forwarder *Forwarder) { forwarder.settled = settled }
}

// WithLongestBackoff bounds the backoff that an upstream may ask for; the default is
// interpreter.MaxRetryAfter.
func WithLongestBackoff(span time.Duration) Option {
	return func(forwarder *Forwarder) { forwarder.longestBackoff = span }
}

// New returns a Forwarder that uses the given parts, which remain the caller's.
func New(protocol Protocol, configuration Configuration, directory Directory, selector *selector.Selector, budget *budgeter.Budgeter, connector *connector.Connector, options ...Option) *Forwarder {
	forwarder := &Forwarder{
		protocol:         protocol,
		configuration:    configuration,
		directory:        directory,
		selector:         selector,
		retryBudget:      budget,
		connector:        connector,
		attempts:         newAttemptRegistry(),
		loggedStatements: newStatementCache(),
		examiner:         examiner.New(connector.Look),
		inquirer:         inquirer.New(),
		quarantine:       quarantiner.New(),
		permits:          unlimited{},
		announcements:    unlimited{},
		confinement:      unconfined{},
		origins:          sameVersion{},
		capacities:       capacityClock{counted: make(map[definer.PoolName]time.Time)},
		evidence:         noEvidence{},
		log:              func(int, ...any) {},
		record:           func(Record) {},
		begun:            func(definer.OrganisationName) {},
		backedOff:        func() {},
		random:           func() float64 { return 0 },
		bodies:           rationer.New(defaultMaxHeldBytes),
		answers:          rationer.New(defaultMaxHeldBytes),
		listedAt:         time.Now,
		settled:          func(time.Time) bool { return true },
		longestBackoff:   interpreter.MaxRetryAfter,
	}
	forwarder.admitting, forwarder.endAdmission = context.WithCancel(context.Background())
	forwarder.starting, forwarder.endStarts = context.WithCancel(context.Background())
	for _, option := range options {
		option(forwarder)
	}
	return forwarder
}

// CloseConnections makes each further answer ask the caller to close its connection.
func (forwarder *Forwarder) CloseConnections() { forwarder.closing.Store(true) }

// Refuse makes each further request be refused as Stopping. Answers have to be complete by the given time: requests that
// were not sent and whose time limit is later are refused too, wherever they wait.
func (forwarder *Forwarder) Refuse(answersEnd time.Time) {
	forwarder.answersEnd.Store(&answersEnd)
	forwarder.endAdmission()
}

// refusing reports whether further requests are refused.
func (forwarder *Forwarder) refusing() bool { return forwarder.admitting.Err() != nil }

// EndStarts refuses further requests and begins no more sends to upstreams. Requests that were
// not sent, or whose upstreams stated that they did not run them, are refused at once, as not
// run: those whose bodies are being read, and those that wait for a permit, a connection or a
// retry. Sends that have begun go on.
func (forwarder *Forwarder) EndStarts() {
	forwarder.endAdmission()
	forwarder.endStarts()
}

// Cut makes requests whose callers' connections close from now on end as Cut. It must be called before the
// node closes these connections.
func (forwarder *Forwarder) Cut() { forwarder.cutting.Store(true) }

// disconnectReason returns who closed the connection of a caller.
func (forwarder *Forwarder) disconnectReason() Reason {
	if forwarder.cutting.Load() {
		return Cut
	}
	return Left
}

// Ready reports whether requests can be served: the configuration is known and was confirmed
// recently, the upstreams are known, and shutdown has not begun.
func (forwarder *Forwarder) Ready(now time.Time) bool {
	return forwarder.configured() && !forwarder.closing.Load() && forwarder.confirmed(now)
}

// configured reports whether all is known that decides where requests are sent.
func (forwarder *Forwarder) configured() bool {
	return forwarder.configuration.Table() != nil && forwarder.directory.Loaded() && forwarder.confinement.Loaded()
}

// confirmed reports whether the configuration was confirmed recently enough to accept keys.
// Times are compared by the monotonic clock.
func (forwarder *Forwarder) confirmed(now time.Time) bool {
	return forwarder.confirmedFor == 0 || now.Sub(forwarder.configuration.Confirmed()) < forwarder.confirmedFor
}

// release frees the memory that the exchange holds and ends its stream, if it has one.
func (exchange *exchange) release() {
	exchange.bodyShare.Release()
	exchange.failureShare.Release()
	if exchange.stream.headWritten.Load() {
		exchange.forwarder.openStreams.Add(-1)
	}
}

// OpenStreams returns the number of streamed answers that have begun and not ended.
func (forwarder *Forwarder) OpenStreams() int64 { return forwarder.openStreams.Load() }

// ServeHTTP serves one request of a caller. It implements http.Handler.
func (forwarder *Forwarder) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if forwarder.closing.Load() {
		writer.Header().Set("Connection", "close")
	}
	exchange := &exchange{
		forwarder: forwarder, writer: writer, request: request, arrivedAt: time.Now(),
		bodyShare: forwarder.bodies.NewShare(), failureShare: forwarder.answers.NewShare(),
	}
	defer exchange.finish()
	defer exchange.release()
	if reason := exchange.admit(); reason != "" {
		exchange.refuse(reason)
		return
	}
	exchange.serve()
}

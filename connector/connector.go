// Package connector is an HTTP/1.1 client for upstreams with a pool of idle connections. It
// sends each request once, without retries, and its errors tell whether the request can have
// reached the upstream.
package connector

import (
	"context"
	"errors"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/dialer"
	"limpetcleat/rationer"
	"limpetcleat/sizer"
)

const (
	// dialTimeout limits the time to establish a connection. An upstream accepts within
	// 1 ms, and the network adds about 3 ms at most. TCP retransmits a lost SYN only
	// after 1 s; by then the request has been sent to another upstream.
	dialTimeout = 300 * time.Millisecond
	// idleMargin is subtracted from the idle timeout that an upstream announces, so that
	// no request is sent on a connection that the upstream is about to close.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is the idle timeout for upstreams that announce none.
	defaultIdleTimeout = 800 * time.Millisecond
	// scarceIdleTimeout is the idle timeout of a connection that other nodes may need.
	scarceIdleTimeout = 200 * time.Millisecond
	// limitedSpan is how long after its last admission an address is known to accept a limited number of
	// connections.
	limitedSpan = time.Minute
	// maxIdleConnections is the largest number of idle connections kept per address, and defaultMaxIdle that
	// of all together.
	maxIdleConnections = 32
	defaultMaxIdle     = 1024
	// maxInterimAnswers is the number of interim (1xx) responses at which an exchange fails with Mismatched.
	maxInterimAnswers = 3
	// maxUnrelatedBytes limits the bodies of all skipped responses of an exchange, in bytes. Their heads count
	// towards dialer.MaxHeadBytes.
	maxUnrelatedBytes = 1 << 20
	// defaultMemory is in bytes.
	defaultMemory = 16 << 20
)

// Outgoing is a request to send to an upstream.
type Outgoing struct {
	Method string
	// ID identifies the request in the responses of upstreams. No connection carries two requests with one ID.
	ID string
	// Target is the path and query, passed on exactly as the caller sent them. It must contain no space or
	// control byte.
	Target string
	Host   string
	// Header belongs to Send, which may modify it.
	Header http.Header
	Body   []byte
	// Repeatable tells that the request may be sent again after it was sent, so that nothing is
	// lost by giving up a connection on which it waits.
	Repeatable bool
	// Silence decides whether the exchange goes on while nothing arrives; nil means that it does.
	Silence Silence
	// Position is set by Send once there is a connection for the request; zero before.
	Position Position
	// BegunAt is set by Send to when it began to write the request; zero before.
	BegunAt time.Time
	// Confirm is called with the connection at hand, before the first byte is written; an error keeps the request
	// from being sent. Nil confirms it.
	Confirm func() error
	// Admission is asked for leave if a connection has to be opened; nil means that none is needed.
	Admission Admission
	// Reservation is the connection to use if it is still open; nil means any.
	Reservation *Reservation
	// Belongs reports whether a response with this status and header answers this
	// request.
	Belongs func(status int, header http.Header) bool
	// Skipped is called with the head of each final response that Belongs rejects; nil ignores them. It is called
	// by the goroutine that calls Receive.
	Skipped func(status int, header http.Header)
}

// Position is where an exchange takes place.
type Position struct {
	// Connection is the number of the connection, from 1, in the order in which this Connector opened them.
	Connection uint64
	// Exchange is the number of the exchange on the connection, from 1.
	Exchange int
}

// String returns both numbers, separated by a point.
func (position Position) String() string {
	return fmt.Sprintf("%d.%d", position.Connection, position.Exchange)
}

// Opened reports whether the connection was opened for the exchange, or has carried none before it.
func (position Position) Opened() bool { return position.Exchange == 1 }

// Admission grants leave to open connections.
type Admission interface {
	// Open returns the leave for a connection, or an error if none may be opened now.
	Open(ctx context.Context) (Pass, error)
}

// Pass is the leave for one connection. It is told what becomes of the connection.
type Pass interface {
	// Used is called when something has been received on the connection.
	Used()
	// Reset is called when the connection was reset.
	Reset()
	// Scarce reports whether the connection should be closed soon if it is not used again.
	Scarce() bool
	// Close is called when the connection is closed.
	Close()
}

// Connector sends requests to upstreams and pools the idle connections to them. It is safe
// for concurrent use.
type Connector struct {
	dial Dial
	// relay is nil if connections are direct only.
	relay     Relay
	paths     *paths
	log       func(number int, pairs ...any)
	startedAt time.Time
	// mutex guards idle, active, limited and closed; the lock of paths may be taken under it.
	mutex sync.Mutex
	// idle holds the idle connections by address, the most recently used one last.
	idle map[string][]*connection
	// idleCount is the number of all idle connections, maxIdle its limit.
	idleCount int
	maxIdle   int
	// active holds the direct connections with an exchange by address.
	active map[string]*activity
	// limited holds, by address, when an Admission was last asked for.
	limited map[string]time.Time
	closed  bool
	// memory bounds what the heads of answers take.
	memory *rationer.Rationer
	// sizer is nil if the kernel sizes the receive buffers.
	sizer *sizer.Sizer
	// testing is set while testOthers runs.
	testing atomic.Bool
	// opened is the number of connections that were opened.
	opened atomic.Uint64
	// seed is that of the keys of requests.
	seed maphash.Seed
	// background runs direct attempts and tests of paths.
	background conc.WaitGroup
}

// Dial opens a TCP connection to an address. It must return when the context ends.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Option sets an optional property of a Connector.
type Option func(*Connector)

// WithDial sets what opens connections to upstreams; the default is package dialer.
func WithDial(dial Dial) Option {
	return func(connector *Connector) { connector.dial = dial }
}

// WithRelay sets what connects to upstreams to which this node has lost its direct path; by default
// they are unreachable.
func WithRelay(relay Relay) Option {
	return func(connector *Connector) { connector.relay = relay }
}

// WithLostPaths sets the function that is called with the number of lost paths when it changes. It
// must not block. The default does nothing.
func WithLostPaths(count func(lost int)) Option {
	return func(connector *Connector) { connector.paths.count = count }
}

// WithLog sets the function that log events are passed to; it must not block. By default they are
// discarded.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(connector *Connector) { connector.log = log }
}

// WithMemory sets what bounds the memory that the heads of answers take over all connections. The default
// is defaultMemory bytes of its own.
func WithMemory(memory *rationer.Rationer) Option {
	return func(connector *Connector) { connector.memory = memory }
}

// WithMaxIdle sets the largest number of idle connections; the default is defaultMaxIdle.
func WithMaxIdle(count int) Option {
	return func(connector *Connector) { connector.maxIdle = count }
}

// WithSizer sets what sizes the receive buffers of connections to upstreams; by default the kernel does.
func WithSizer(sizer *sizer.Sizer) Option {
	return func(connector *Connector) { connector.sizer = sizer }
}

// New returns a connector with an empty pool.
func New(options ...Option) *Connector {
	connector := &Connector{
		paths:     newPaths(),
		memory:    rationer.New(defaultMemory),
		maxIdle:   defaultMaxIdle,
		log:       func(int, ...any) {},
		startedAt: time.Now(),
		seed:      maphash.MakeSeed(),
		idle:      make(map[string][]*connection),
		active:    make(map[string]*activity),
		limited:   make(map[string]time.Time),
	}
	for _, option := range options {
		option(connector)
	}
	if connector.dial == nil {
		dial := dialer.Sized(dialer.New(dialTimeout), connector.sizer)
		connector.dial = func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, "tcp", address) }
	}
	return connector
}

// Answer is the response of an upstream: its head, and a body to be read with Read or
// ReadAll. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Delimited reports whether the response marks the end of its body, by a length or a
	// final chunk. Otherwise the body ends when the connection closes, and a truncated body
	// cannot be told from a complete one.
	Delimited bool

	body       *body
	connection *connection
	connector  *Connector
	address    string
	// idleTimeout is how long the connection may be idle; 0 if it must not be reused.
	idleTimeout time.Duration
	// stopWatch ends the watch on the context. It returns false if the context has already
	// ended and the connection is being closed.
	stopWatch func() bool
}

// connect returns an idle connection to the address that has not carried the request, or dials a new one if that is
// admitted.
func (connector *Connector) connect(ctx context.Context, address string, key requestKey, admission Admission) (*connection, error) {
	idle := connector.takeIdle(address, key)
	if idle != nil && (idle.pass != nil || admission == nil) {
		return idle, nil
	}
	connector.noteLimited(address, admission != nil)
	pass, err := admit(ctx, admission)
	if err != nil {
		if idle != nil {
			_ = idle.Close()
		}
		return nil, fail("connect", Denied, "%w", err)
	}
	if idle != nil {
		idle.pass = pass // It was opened while connections needed no leave.
		return idle, nil
	}
	return connector.openWith(ctx, address, pass)
}

// openWith opens a connection to the address with the leave, which may be nil and ends if that fails.
func (connector *Connector) openWith(ctx context.Context, address string, pass Pass) (*connection, error) {
	conn, err := connector.open(ctx, address)
	if err != nil {
		if pass != nil {
			pass.Close()
		}
		return nil, fail("connect", Unconnected, "%w", err)
	}
	connection := connector.newConnection(conn)
	connection.pass = pass
	return connection, nil
}

// admit returns the leave for a connection; nil if none is needed.
func admit(ctx context.Context, admission Admission) (Pass, error) {
	if admission == nil {
		return nil, nil
	}
	return admission.Open(ctx)
}

// read returns the response that belongs to the request. It skips interim (1xx) responses and
// responses to other requests.
func (connection *connection) read(outgoing *Outgoing) (*http.Response, error) {
	interim, unrelated, wait := 0, int64(0), connection.quiet.wait()
	for interim < maxInterimAnswers {
		answer, err := connection.readHead()
		if err != nil {
			return nil, err
		}
		if isInterim(answer.StatusCode) {
			interim++
			continue
		}
		if outgoing.Belongs(answer.StatusCode, answer.Header) {
			if outgoing.Method == http.MethodHead {
				answer.Body = http.NoBody
				answer.Close = true // A surplus copy of it would be read as having a body.
			}
			return answer, nil
		}
		if outgoing.Skipped != nil {
			outgoing.Skipped(answer.StatusCode, answer.Header)
		}
		count, err := io.CopyN(io.Discard, answer.Body, maxUnrelatedBytes-unrelated)
		unrelated += count
		switch {
		case err == nil:
			return nil, fail("read", Mismatched, "received responses to other requests of over %d bytes", maxUnrelatedBytes)
		case !errors.Is(err, io.EOF):
			return nil, fail("read", Unanswered, "%w", err)
		}
		connection.quiet.continueWait(wait)
	}
	return nil, fail("read", Mismatched, "received only interim responses")
}

// isInterim reports whether another response follows one with the status.
func isInterim(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// Read reads from the body. An error other than io.EOF is of kind Broken: the body ended early.
func (answer *Answer) Read(data []byte) (int, error) {
	count, err := answer.body.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fail("read", Broken, "%w", err)
	}
	return count, err
}

// ReadAll returns the whole body. If the body exceeds limit bytes, the error is of kind
// TooLarge; if it ends early, Broken.
func (answer *Answer) ReadAll(limit int64) ([]byte, error) {
	if answer.Length > limit {
		return nil, fail("read", TooLarge, "response body has %d bytes; the limit is %d", answer.Length, limit)
	}
	data, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fail("read", TooLarge, "response body exceeds %d bytes", limit)
	}
	return data, nil
}

// DisableReuse makes Close close the connection.
func (answer *Answer) DisableReuse() { answer.idleTimeout = 0 }

// Close ends the exchange. The connection returns to the pool if the body was read to its end
// and no further bytes followed; otherwise it is closed.
func (answer *Answer) Close() {
	stopped := answer.stopWatch()
	connection := answer.connection
	connection.heads.Reset()
	answer.connector.endExchange(answer.address, connection)
	reusable := stopped && answer.body.complete && answer.idleTimeout > 0 && connection.reader.Buffered() == 0 && connection.exchanges() < maxExchanges
	if !reusable || !connection.stopListening() {
		_ = connection.Close()
		return
	}
	idle := answer.idleTimeout
	if connection.pass != nil && connection.pass.Scarce() {
		idle = min(idle, scarceIdleTimeout)
	}
	connection.idleUntil = time.Now().Add(idle)
	answer.connector.putIdle(answer.address, connection)
}

package acceptor

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/logger"
	"limpetcleat/rationer"
	"limpetcleat/weigher"
)

const (
	// wakeUpInterval is the time between the wake-ups whose delay is measured.
	wakeUpInterval = 50 * time.Millisecond
	// reportInterval is the shortest time between two log events on closed connections.
	reportInterval = time.Second
	// defaultMemory is in bytes.
	defaultMemory = 32 << 20
)

// Acceptor accepts connections as its Controller decides. It is safe for concurrent use.
//
// An Acceptor owns the worker that measures wake-ups; Done is closed once it has ended.
type Acceptor struct {
	controller *Controller
	log        func(number int, pairs ...any)
	count      func(reason Reason)
	done       chan struct{}
	// unread are the connections on which no header of a request has been received yet.
	unread *queue
	// idle are the connections that wait for another request.
	idle *queue
	// crowdedOut and gaveWay are the connections closed for Crowded and for Unread since the last report.
	crowdedOut atomic.Int64
	gaveWay    atomic.Int64
	// exceeded are the connections closed for Full, for Idle and for Exhausted since the last report.
	exceeded atomic.Int64
	// open is the number of open connections, maxOpen the largest one; 0 means without limit.
	open    atomic.Int64
	maxOpen int64
	// weigher bounds what the headers of requests take.
	weigher *weigher.Weigher
}

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// Option changes one setting of an Acceptor.
type Option func(*Acceptor)

// WithLog sets the function that receives numbered events; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(acceptor *Acceptor) { acceptor.log = log }
}

// WithCount sets the function that is called for each new connection with why it was closed, or an empty
// reason. It must not block. The default does nothing.
func WithCount(count func(reason Reason)) Option {
	return func(acceptor *Acceptor) { acceptor.count = count }
}

// WithMaxConnections sets the largest number of open connections; the default is without limit.
func WithMaxConnections(count int64) Option {
	return func(acceptor *Acceptor) { acceptor.maxOpen = count }
}

// WithMemory sets what bounds the memory that the headers of requests take over all connections. The default
// is defaultMemory bytes of its own.
func WithMemory(memory *rationer.Rationer) Option {
	return func(acceptor *Acceptor) { acceptor.weigher = weigher.New(memory) }
}

// New returns an Acceptor. target returns how late all wake-ups of the process may be before it closes
// connections; it follows from the latency objectives of requests.
func New(target func() time.Duration, options ...Option) *Acceptor {
	acceptor := &Acceptor{
		controller: NewController(time.Now(), target),
		log:        func(int, ...any) {},
		count:      func(Reason) {},
		done:       make(chan struct{}),
		unread:     newQueue(func(connection *connection) **list.Element { return &connection.unreadElement }),
		idle:       newQueue(func(connection *connection) **list.Element { return &connection.idleElement }),
		weigher:    weigher.New(rationer.New(defaultMemory)),
	}
	for _, option := range options {
		option(acceptor)
	}
	return acceptor
}

// Start measures wake-ups until the context ends.
func (acceptor *Acceptor) Start(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { acceptor.measure(ctx) })
	go func() {
		group.Wait()
		close(acceptor.done)
	}()
}

// Done returns a channel that is closed once the work begun by Start has ended.
func (acceptor *Acceptor) Done() <-chan struct{} { return acceptor.done }

func (acceptor *Acceptor) measure(ctx context.Context) {
	wakeUp := time.NewTimer(wakeUpInterval)
	defer wakeUp.Stop()
	reportedAt := time.Now()
	for due := time.Now().Add(wakeUpInterval); ; {
		select {
		case <-ctx.Done():
			return
		case <-wakeUp.C:
		}
		now := time.Now()
		if change, ok := acceptor.controller.RecordWakeUp(now, now.Sub(due)); ok {
			acceptor.logChange(change)
		}
		if now.Sub(reportedAt) >= reportInterval {
			reportedAt = now
			acceptor.reportClosed()
		}
		due = now.Add(wakeUpInterval)
		wakeUp.Reset(wakeUpInterval)
	}
}

func (acceptor *Acceptor) logChange(change Change) {
	acceptor.log(logger.EventNodeBusy, "busy", change.Short, "delayMs", change.Delay.Milliseconds(), "allowedMs", change.Target.Milliseconds(),
		"acceptedPerSecond", change.Rate, "closed", change.Closed, "unread", acceptor.unread.size())
}

// reportClosed logs how many connections were closed since the last report, if any.
func (acceptor *Acceptor) reportClosed() {
	crowdedOut, gaveWay, exceeded := acceptor.crowdedOut.Swap(0), acceptor.gaveWay.Swap(0), acceptor.exceeded.Swap(0)
	if crowdedOut+gaveWay+exceeded > 0 {
		room, spacing := acceptor.controller.Room()
		acceptor.log(logger.EventConnectionsClosed, "crowded", crowdedOut, "unread", gaveWay, "exceeded", exceeded,
			"open", acceptor.open.Load(), "room", room, "spacingMs", spacing.Milliseconds())
	}
}

// recordJudged counts a new connection, or one that gave way.
func (acceptor *Acceptor) recordJudged(reason Reason) {
	switch reason {
	case Crowded:
		acceptor.crowdedOut.Add(1)
	case Unread:
		acceptor.gaveWay.Add(1)
	case Full, Idle, Exhausted:
		acceptor.exceeded.Add(1)
	case Busy:
	}
	acceptor.count(reason)
}

// Listen returns a listener that closes the connections which are not accepted.
func (acceptor *Acceptor) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, acceptor: acceptor}
}

// Attach makes a server, whose listener must be of Listen, tell the Acceptor when a request has been
// received.
func (acceptor *Acceptor) Attach(server *http.Server) {
	handler := server.Handler
	server.ConnState = acceptor.watchIdle(server.ConnState)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		accepted, ok := request.Context().Value(connectionKey{}).(*connection)
		if !ok {
			handler.ServeHTTP(writer, request)
			return
		}
		if !accepted.receive() {
			weigher.Abort(writer) // The connection is being closed anyway, as it has given way.
			return
		}
		if !accepted.beginServing(request.ContentLength) {
			acceptor.recordJudged(Exhausted)
			weigher.Abort(writer)
			return
		}
		defer accepted.head.EndServing()
		handler.ServeHTTP(writer, request)
	})
}

// watchIdle returns a function that records which connections are idle, and passes each change on. A handler that has
// returned does not make its connection idle, as the server still writes the end of the answer.
func (acceptor *Acceptor) watchIdle(next func(net.Conn, http.ConnState)) func(net.Conn, http.ConnState) {
	return func(conn net.Conn, state http.ConnState) {
		if accepted, ok := conn.(*connection); ok && state == http.StateIdle {
			accepted.becomeIdle()
		}
		if next != nil {
			next(conn, state)
		}
	}
}

package acceptor

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/logger"
)

const (
	// wakeUpInterval is the time between the wake-ups whose delay is measured.
	wakeUpInterval = 50 * time.Millisecond
	// maxUnread bounds the connections from which no request has begun to arrive.
	maxUnread = 512
)

// Acceptor accepts connections as its Controller decides. It is safe for concurrent use.
//
// An Acceptor owns the worker that measures wake-ups; Done is closed once it has ended.
type Acceptor struct {
	controller *Controller
	log        func(number int, pairs ...any)
	count      func(reason Reason)
	done       chan struct{}
	// unread is the number of connections that were accepted and have not begun a request.
	unread atomic.Int64
}

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

// New returns an Acceptor. target returns how late all wake-ups of the process may be before it closes
// connections; it follows from the latency objectives of requests.
func New(target func() time.Duration, options ...Option) *Acceptor {
	acceptor := &Acceptor{
		controller: NewController(time.Now(), target),
		log:        func(int, ...any) {},
		count:      func(Reason) {},
		done:       make(chan struct{}),
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
		due = now.Add(wakeUpInterval)
		wakeUp.Reset(wakeUpInterval)
	}
}

func (acceptor *Acceptor) logChange(change Change) {
	acceptor.log(logger.EventNodeBusy, "busy", change.Short, "delayMs", change.Delay.Milliseconds(), "allowedMs", change.Target.Milliseconds(),
		"acceptedPerSecond", change.Rate, "closed", change.Closed, "unread", acceptor.unread.Load())
}

// Listen returns a listener that closes the connections which are not accepted.
func (acceptor *Acceptor) Listen(inner net.Listener) net.Listener {
	return &listener{Listener: inner, acceptor: acceptor}
}

// ConnectionChanged follows the states of the connections of a server; it is meant for its ConnState.
func (acceptor *Acceptor) ConnectionChanged(conn net.Conn, state http.ConnState) {
	accepted, ok := conn.(*connection)
	if !ok {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
	case http.StateActive, http.StateHijacked, http.StateClosed:
		accepted.receive()
	}
}

// judge returns why a new connection is not accepted, or an empty reason.
func (acceptor *Acceptor) judge(now time.Time) Reason {
	switch {
	case acceptor.unread.Load() >= maxUnread:
		return Unread
	default:
		return acceptor.controller.Accept(now)
	}
}

// listener is a listener whose connections an Acceptor judges.
type listener struct {
	net.Listener
	acceptor *Acceptor
}

// Accept returns the next connection that is accepted. It resets the others, so that nothing remains of them.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		reason := listener.acceptor.judge(time.Now())
		listener.acceptor.count(reason)
		if reason == "" {
			listener.acceptor.unread.Add(1)
			return &connection{Conn: conn, acceptor: listener.acceptor}, nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection; otherwise it is closed in order.
		}
		_ = conn.Close()
	}
}

// connection is an accepted connection.
type connection struct {
	net.Conn
	acceptor *Acceptor
	// begun is set once the goroutine of the connection runs, and received once a request has begun to
	// arrive; both are set when the connection is closed.
	begun    atomic.Bool
	received atomic.Bool
}

// Read reads from the connection.
func (connection *connection) Read(data []byte) (int, error) {
	connection.begin()
	return connection.Conn.Read(data)
}

// Close closes the connection.
func (connection *connection) Close() error {
	connection.begin()
	connection.receive()
	return connection.Conn.Close()
}

// CloseWrite closes the sending direction, so that the other end still reads what was sent.
func (connection *connection) CloseWrite() error {
	if half, ok := connection.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (connection *connection) begin() {
	if !connection.begun.Load() && connection.begun.CompareAndSwap(false, true) {
		connection.acceptor.controller.Begin(time.Now())
	}
}

func (connection *connection) receive() {
	if connection.received.CompareAndSwap(false, true) {
		connection.acceptor.unread.Add(-1)
	}
}

package acceptor

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"limpetcleat/weigher"
)

const (
	// maxUnread bounds the connections on which no header of a request has been received. The oldest is
	// closed for a new one unless it is younger than unreadGrace.
	maxUnread   = 512
	unreadGrace = 500 * time.Millisecond
)

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
		now := time.Now()
		reason := listener.acceptor.judge(now)
		listener.acceptor.recordJudged(reason)
		if reason == "" {
			return listener.admit(now, conn), nil
		}
		if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection; otherwise it is closed in order.
		}
		_ = conn.Close()
	}
}

// judge returns why a new connection is not accepted, or an empty reason. If as many are open as may be, the one
// that has been idle for longest gives way.
func (acceptor *Acceptor) judge(now time.Time) Reason {
	if acceptor.maxOpen > 0 && acceptor.open.Load() >= acceptor.maxOpen {
		idle := acceptor.idle.takeOldest(always)
		if idle == nil {
			return Full
		}
		acceptor.recordJudged(Idle)
		_ = idle.Close()
	}
	return acceptor.controller.Accept(now)
}

// admit returns an accepted connection. If too many wait for the header of a request, the one that has waited
// longest is closed.
func (listener *listener) admit(now time.Time, conn net.Conn) net.Conn {
	acceptor := listener.acceptor
	accepted := &connection{Conn: conn, acceptor: acceptor, acceptedAt: now, head: acceptor.weigher.NewHead()}
	acceptor.open.Add(1)
	acceptor.unread.add(accepted)
	if oldest := acceptor.unread.takeOldest(accepted.mayDisplace); oldest != nil {
		acceptor.recordJudged(Unread)
		_ = oldest.Close()
	}
	return accepted
}

// mayDisplace reports whether the oldest of a number of connections without a header gives way to this one, and
// records that.
func (connection *connection) mayDisplace(oldest *connection, count int) bool {
	if count <= maxUnread || connection.acceptedAt.Sub(oldest.acceptedAt) < unreadGrace {
		return false
	}
	oldest.gaveWay.Store(true)
	return true
}

// connection is an accepted connection.
type connection struct {
	net.Conn
	acceptor   *Acceptor
	acceptedAt time.Time
	// begun is set once the goroutine of the connection runs, or it was closed.
	begun atomic.Bool
	// unreadElement and idleElement are the connection's entries in the queues of those without a header and of
	// idle ones; nil if it is not in the queue. They are guarded by the mutex of their queue.
	unreadElement *list.Element
	idleElement   *list.Element
	// gaveWay is set once the connection has left the queue of those without a header for another one.
	gaveWay atomic.Bool
	// head counts what was read of the header of the current request, until the request has been served.
	head *weigher.Head
	// mutex guards closed; only that of the queue of idle connections is acquired while it is held.
	mutex  sync.Mutex
	closed bool
}

// Read reads from the connection. It fails if there is no memory for the header of a request.
func (connection *connection) Read(data []byte) (int, error) {
	connection.begin()
	count, err := connection.Conn.Read(data)
	if count > 0 {
		connection.acceptor.idle.remove(connection)
	}
	if shortage := connection.head.Received(data[:count]); shortage != nil {
		connection.acceptor.recordJudged(Exhausted)
		return 0, weigher.ReadError(shortage)
	}
	return count, err
}

// beginServing records that a header has been received and its request, with a body of the given length, is being served. It
// reports whether there is memory for the header.
func (connection *connection) beginServing(length int64) bool {
	connection.acceptor.idle.remove(connection) // No read shows a request that was sent ahead.
	return connection.head.BeginServing(length)
}

// becomeIdle records that the answer to the last request has been written.
func (connection *connection) becomeIdle() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if !connection.closed {
		connection.acceptor.idle.add(connection)
	}
}

// Close closes the connection.
func (connection *connection) Close() error {
	connection.begin()
	connection.acceptor.unread.remove(connection)
	connection.release()
	return connection.Conn.Close()
}

// release ends what the open connection takes, once.
func (connection *connection) release() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.closed {
		return
	}
	connection.closed = true
	connection.head.Close()
	connection.acceptor.idle.remove(connection)
	connection.acceptor.open.Add(-1)
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

// receive records that the header of a request has been received, or that none will be. It returns false if
// the connection has given way to another one.
func (connection *connection) receive() bool {
	connection.acceptor.unread.remove(connection)
	return !connection.gaveWay.Load()
}

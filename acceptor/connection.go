package acceptor

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"
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
		reason := listener.acceptor.controller.Accept(now)
		listener.acceptor.recordJudged(reason)
		if reason == "" {
			return listener.admit(now, conn), nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection; otherwise it is closed in order.
		}
		_ = conn.Close()
	}
}

// admit returns an accepted connection. If too many wait for the header of a request, the one that has waited
// longest is closed.
func (listener *listener) admit(now time.Time, conn net.Conn) net.Conn {
	acceptor := listener.acceptor
	accepted := &connection{Conn: conn, acceptor: acceptor, acceptedAt: now}
	if oldest := acceptor.unread.add(accepted); oldest != nil {
		acceptor.recordJudged(Unread)
		_ = oldest.Close()
	}
	return accepted
}

// connection is an accepted connection.
type connection struct {
	net.Conn
	acceptor   *Acceptor
	acceptedAt time.Time
	// begun is set once the goroutine of the connection runs, or it was closed.
	begun atomic.Bool
	// element is the connection's entry among those without a header; nil once it has been received or the
	// connection has given way. Both fields are guarded by the set's mutex.
	element *list.Element
	gaveWay bool
}

// Read reads from the connection.
func (connection *connection) Read(data []byte) (int, error) {
	connection.begin()
	return connection.Conn.Read(data)
}

// Close closes the connection.
func (connection *connection) Close() error {
	connection.begin()
	_ = connection.receive() // Only its removal matters.
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

// receive records that the header of a request has been received, or that none will be. It returns false if
// the connection has given way to another one.
func (connection *connection) receive() bool { return connection.acceptor.unread.remove(connection) }

// unreadSet holds the connections on which no header of a request has been received. It is safe for concurrent
// use.
type unreadSet struct {
	// mutex guards connections and their elements; no other lock is acquired while it is held.
	mutex sync.Mutex
	// connections are in the order in which they were accepted.
	connections *list.List
}

func newUnreadSet() *unreadSet { return &unreadSet{connections: list.New()} }

// add adds a connection. It returns the oldest one if that has to give way, and removes it.
func (unreadSet *unreadSet) add(connection *connection) *connection {
	unreadSet.mutex.Lock()
	defer unreadSet.mutex.Unlock()
	connection.element = unreadSet.connections.PushBack(connection)
	return unreadSet.takeExcess(connection.acceptedAt)
}

// remove removes a connection, and reports whether it has not given way.
func (unreadSet *unreadSet) remove(connection *connection) bool {
	unreadSet.mutex.Lock()
	defer unreadSet.mutex.Unlock()
	unreadSet.drop(connection)
	return !connection.gaveWay
}

// drop removes a connection that is in the set. The mutex is held.
func (unreadSet *unreadSet) drop(connection *connection) {
	if connection.element != nil {
		unreadSet.connections.Remove(connection.element)
		connection.element = nil
	}
}

func (unreadSet *unreadSet) size() int {
	unreadSet.mutex.Lock()
	defer unreadSet.mutex.Unlock()
	return unreadSet.connections.Len()
}

// takeExcess removes and returns the oldest connection if there are too many; nil if there are not, or if it is
// too young. The mutex is held.
func (unreadSet *unreadSet) takeExcess(now time.Time) *connection {
	if unreadSet.connections.Len() <= maxUnread {
		return nil
	}
	oldest, ok := unreadSet.connections.Front().Value.(*connection)
	if !ok || now.Sub(oldest.acceptedAt) < unreadGrace {
		return nil
	}
	unreadSet.drop(oldest)
	oldest.gaveWay = true
	return oldest
}

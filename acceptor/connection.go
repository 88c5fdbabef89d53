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
		reason := listener.acceptor.judge(now)
		listener.acceptor.recordJudged(reason)
		if reason == "" {
			accepted := &connection{Conn: conn, acceptor: listener.acceptor, acceptedAt: now}
			listener.acceptor.unread.add(accepted)
			return accepted, nil
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
	acceptor   *Acceptor
	acceptedAt time.Time
	// begun is set once the goroutine of the connection runs, or it was closed.
	begun atomic.Bool
	// element is the connection's entry among those without a header; nil once it has been received. It is
	// guarded by the set's mutex.
	element *list.Element
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

// receive records that the header of a request has been received, or that none will be.
func (connection *connection) receive() { connection.acceptor.unread.remove(connection) }

// unreadSet holds the connections on which no header of a request has been received. It is safe for concurrent
// use.
type unreadSet struct {
	// mutex guards connections and their elements; no other lock is acquired while it is held.
	mutex sync.Mutex
	// connections are in the order in which they were accepted.
	connections *list.List
}

func newUnreadSet() *unreadSet { return &unreadSet{connections: list.New()} }

func (unreadSet *unreadSet) add(connection *connection) {
	unreadSet.mutex.Lock()
	defer unreadSet.mutex.Unlock()
	connection.element = unreadSet.connections.PushBack(connection)
}

func (unreadSet *unreadSet) remove(connection *connection) {
	unreadSet.mutex.Lock()
	defer unreadSet.mutex.Unlock()
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

// excess returns the connection that is to be closed for a new one; nil if there is none.
func (unreadSet *unreadSet) excess(now time.Time) *connection {
	unreadSet.mutex.Lock()
	defer unreadSet.mutex.Unlock()
	if unreadSet.connections.Len() < maxUnread {
		return nil
	}
	oldest, _ := unreadSet.connections.Front().Value.(*connection)
	if now.Sub(oldest.acceptedAt) < unreadGrace {
		return nil
	}
	return oldest
}

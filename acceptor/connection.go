package acceptor

import (
	"container/list"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"limpetcleat/rationer"
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
		idle := acceptor.idle.takeOldest()
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
	accepted := &connection{Conn: conn, acceptor: acceptor, acceptedAt: now, heads: acceptor.newMeter()}
	acceptor.open.Add(1)
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
	// mutex guards the fields below; only that of the set of idle connections is acquired while it is held.
	mutex sync.Mutex
	// heads counts what was read of the header of the current request, until the request has been served.
	heads *rationer.Meter
	// serving is set while a request is served, whose body is not counted here.
	serving bool
	closed  bool
	// idleElement is the connection's entry among the idle ones; nil if it is not idle. It is guarded by the
	// mutex of that set.
	idleElement *list.Element
}

// Read reads from the connection. It fails if there is no memory for the header of a request.
func (connection *connection) Read(data []byte) (int, error) {
	connection.begin()
	count, err := connection.Conn.Read(data)
	if count > 0 {
		connection.acceptor.idle.remove(connection)
	}
	if shortage := connection.countHead(count); shortage != nil {
		connection.acceptor.recordJudged(Exhausted)
		// An http.Server closes the connection after an error of this kind, as after those of the network.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: shortage}
	}
	return count, err
}

// countHead counts what was read if it belongs to the header of a request.
func (connection *connection) countHead(count int) error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	if connection.serving || connection.closed {
		return nil
	}
	// What exceeds the limit of a header is skipped by the server.
	return connection.heads.Add(int(min(int64(count), connection.heads.Left())))
}

// beginServing records that a header has been received and its request is being served.
func (connection *connection) beginServing() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving = true
	connection.acceptor.idle.remove(connection) // No read shows a request that was sent ahead.
}

// endServing records that the request has been served, whose header is not used any more.
func (connection *connection) endServing() {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.serving = false
	connection.heads.Reset()
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
	_ = connection.receive() // Only its removal matters.
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
	connection.heads.Reset()
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

// idleSet holds the connections whose last request has been served and on which nothing has been received since.
// It is safe for concurrent use.
type idleSet struct {
	// mutex guards connections and their idle elements; no other lock is acquired while it is held.
	mutex sync.Mutex
	// connections are in the order in which they became idle.
	connections *list.List
}

func newIdleSet() *idleSet { return &idleSet{connections: list.New()} }

// add adds a connection.
func (idleSet *idleSet) add(connection *connection) {
	idleSet.mutex.Lock()
	defer idleSet.mutex.Unlock()
	if connection.idleElement == nil {
		connection.idleElement = idleSet.connections.PushBack(connection)
	}
}

// remove removes a connection if it is in the set.
func (idleSet *idleSet) remove(connection *connection) {
	idleSet.mutex.Lock()
	defer idleSet.mutex.Unlock()
	idleSet.drop(connection)
}

// drop removes a connection if it is in the set. The mutex is held.
func (idleSet *idleSet) drop(connection *connection) {
	if connection.idleElement != nil {
		idleSet.connections.Remove(connection.idleElement)
		connection.idleElement = nil
	}
}

// takeOldest removes and returns the connection that has been idle for longest; nil if none is.
func (idleSet *idleSet) takeOldest() *connection {
	idleSet.mutex.Lock()
	defer idleSet.mutex.Unlock()
	front := idleSet.connections.Front()
	if front == nil {
		return nil
	}
	oldest, ok := front.Value.(*connection)
	if !ok {
		return nil
	}
	idleSet.drop(oldest)
	return oldest
}

package weigher

import (
	"container/list"
	"net"
	"sync"
)

// listener is a listener whose connections count heads.
type listener struct {
	net.Listener
	weigher *Weigher
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// open is the number of open connections, waiting those of them that serve no request, the oldest first.
	open    int
	waiting *list.List
}

// Accept returns the next connection. If as many are open as may be, the one that has served no request for longest gives
// way.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		accepted := &connection{Conn: conn, listener: listener, head: listener.weigher.NewHead()}
		surplus := listener.admit(accepted)
		if surplus != nil {
			_ = surplus.Close()
		}
		if surplus != accepted {
			return accepted, nil
		}
	}
}

// admit adds a connection and returns the one that has to be closed for it, which may be the new one; nil if none has to.
func (listener *listener) admit(accepted *connection) (surplus *connection) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if most := listener.weigher.maxOpen; most > 0 && listener.open >= most {
		surplus = accepted
		if oldest := listener.waiting.Front(); oldest != nil {
			surplus, _ = oldest.Value.(*connection)
		}
	}
	listener.open++
	accepted.element = listener.waiting.PushBack(accepted)
	return surplus
}

// setWaiting records whether a connection serves no request.
func (listener *listener) setWaiting(connection *connection, waiting bool) {
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if connection.closed {
		return
	}
	if connection.element != nil {
		listener.waiting.Remove(connection.element)
		connection.element = nil
	}
	if waiting {
		connection.element = listener.waiting.PushBack(connection)
	}
}

// remove removes a connection that is being closed.
func (listener *listener) remove(connection *connection) {
	listener.setWaiting(connection, false)
	listener.mutex.Lock()
	defer listener.mutex.Unlock()
	if !connection.closed {
		connection.closed = true
		listener.open--
	}
}

// connection is a connection that counts the heads of its requests.
type connection struct {
	net.Conn
	listener *listener
	head     *Head
	// element is the connection's entry among those that wait; nil while it serves a request. It and closed are guarded
	// by the listener's mutex.
	element *list.Element
	closed  bool
}

// Read reads from the connection. It fails if there is no memory for the head of a request.
func (connection *connection) Read(data []byte) (int, error) {
	count, err := connection.Conn.Read(data)
	if shortage := connection.head.Received(data[:count]); shortage != nil {
		connection.listener.weigher.onShortage()
		return 0, ReadError(shortage)
	}
	return count, err
}

// ReadError returns the error of a read from a connection for which there is no memory. An http.Server closes the
// connection after an error of this kind, as after those of the network.
func ReadError(shortage error) error { return &net.OpError{Op: "read", Net: "tcp", Err: shortage} }

// beginServing records that a request with a body of the given length is being served, and reports whether there is
// memory for its head.
func (connection *connection) beginServing(length int64) bool {
	connection.listener.setWaiting(connection, false)
	return connection.head.BeginServing(length)
}

// endServing records that the request has been served.
func (connection *connection) endServing() {
	connection.head.EndServing()
	connection.listener.setWaiting(connection, true)
}

// Close closes the connection and frees the memory.
func (connection *connection) Close() error {
	connection.listener.remove(connection)
	connection.head.Close()
	return connection.Conn.Close()
}

// CloseWrite closes the sending direction, so that the other end still reads what was sent.
func (connection *connection) CloseWrite() error {
	if half, ok := connection.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

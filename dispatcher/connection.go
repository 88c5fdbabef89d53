package dispatcher

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errStopped is returned by Write after the connection was stopped.
var errStopped = errors.New("the connection is stopped and accepts no more writes")

// connection is a network connection that records whether a byte of the current request
// may have been sent. It serves one request at a time.
type connection struct {
	net.Conn
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// startBy, if not zero, is the time from which the first byte may not be sent.
	startBy time.Time
	written bool
	// stopped is never reset.
	stopped bool
}

// startRequest prepares the connection for the next request.
func (connection *connection) startRequest(startBy time.Time) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.startBy = startBy
	connection.written = false
}

// Write writes data, unless the connection was stopped or startBy has passed before the
// first byte; it then returns errStopped.
func (connection *connection) Write(data []byte) (int, error) {
	if !connection.mayWrite() {
		return 0, errStopped
	}
	return connection.Conn.Write(data)
}

func (connection *connection) mayWrite() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	late := !connection.written && !connection.startBy.IsZero() && !time.Now().Before(connection.startBy)
	if connection.stopped || late {
		connection.stopped = true
		return false
	}
	connection.written = true
	return true
}

// stop rejects all later writes and reports whether a byte may have been sent.
func (connection *connection) stop() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.stopped = true
	return connection.written
}

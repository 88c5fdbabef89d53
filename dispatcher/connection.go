package dispatcher

import (
	"errors"
	"net"
	"sync"
	"time"
)

// errStopped is returned for a write that must not happen any more.
var errStopped = errors.New("the connection may not be written to any more")

// connection knows whether a byte of the request in hand may have gone out. It
// serves one request at a time.
type connection struct {
	net.Conn
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// startBy, when not zero, is when it is too late for a first byte.
	startBy time.Time
	wrote   bool
	// stopped is never taken back.
	stopped bool
}

// begin hands the connection to a next request.
func (connection *connection) begin(startBy time.Time) {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.startBy = startBy
	connection.wrote = false
}

// Write writes, unless the connection was stopped or it is too late to begin.
func (connection *connection) Write(data []byte) (int, error) {
	if !connection.mayWrite() {
		return 0, errStopped
	}
	return connection.Conn.Write(data)
}

func (connection *connection) mayWrite() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	late := !connection.wrote && !connection.startBy.IsZero() && !time.Now().Before(connection.startBy)
	if connection.stopped || late {
		connection.stopped = true
		return false
	}
	connection.wrote = true
	return true
}

// stop forbids all writes to come and tells whether a byte may have gone out.
func (connection *connection) stop() bool {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	connection.stopped = true
	return connection.wrote
}

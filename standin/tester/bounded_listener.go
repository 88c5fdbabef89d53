package tester

import (
	"net"
	"sync"
)

// connectionCounter counts the connections that an upstream accepts.
type connectionCounter struct {
	// most is the number of connections that are accepted at a time; 0 is without limit.
	most int
	// crowded reports whether fewer are accepted at present, crowdedMost of them; nil means never.
	crowded     func() bool
	crowdedMost int
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	open  int
	// mostOpen is the largest number of open connections, reset the number of those beyond the limit.
	mostOpen int
	reset    int
}

// admit reports whether another connection is accepted, and counts it.
func (counter *connectionCounter) admit() bool {
	most := counter.most
	if counter.crowded != nil && counter.crowded() {
		most = counter.crowdedMost
	}
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	if most > 0 && counter.open >= most {
		counter.reset++
		return false
	}
	counter.open++
	counter.mostOpen = max(counter.mostOpen, counter.open)
	return true
}

// release counts the end of an accepted connection.
func (counter *connectionCounter) release() {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.open--
}

func (counter *connectionCounter) counts() (most, reset int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return counter.mostOpen, counter.reset
}

// boundedListener resets the connections that its counter does not admit.
type boundedListener struct {
	net.Listener
	connections *connectionCounter
}

// Accept returns the next connection that is admitted.
func (listener boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if listener.connections.admit() {
			return &countedConn{Conn: conn, connections: listener.connections}, nil
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // Makes Close reset the connection.
		}
		_ = conn.Close()
	}
}

// countedConn is an accepted connection.
type countedConn struct {
	net.Conn
	connections *connectionCounter
	once        sync.Once
}

// Close closes the connection and counts its end.
func (conn *countedConn) Close() error {
	conn.once.Do(conn.connections.release)
	return conn.Conn.Close()
}

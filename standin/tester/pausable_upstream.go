package tester

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
)

// PausableUpstream is an upstream in the test's process that can be paused as a process can: its kernel
// accepts connections and requests, and nothing reads them.
type PausableUpstream struct {
	*httptest.Server
	// mutex guards running, which is closed while the upstream runs; no other lock is acquired while it is held.
	mutex   sync.Mutex
	running chan struct{}
}

// StartPausableUpstream starts an upstream and lists it.
func StartPausableUpstream(fleet *Fleet, name string, serve http.HandlerFunc) *PausableUpstream {
	fleet.T.Helper()
	upstream := &PausableUpstream{Server: httptest.NewUnstartedServer(serve), running: make(chan struct{})}
	close(upstream.running)
	upstream.Listener = pausableListener{upstream.Listener, upstream}
	upstream.Start()
	fleet.T.Cleanup(func() {
		upstream.Resume()
		upstream.CloseClientConnections()
		upstream.Close()
	})
	fleet.ListUpstream(name, upstream.Listener.Addr().String(), "ready")
	return upstream
}

// Pause pauses the upstream until Resume.
func (upstream *PausableUpstream) Pause() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.running = make(chan struct{})
}

// Resume lets a paused upstream go on.
func (upstream *PausableUpstream) Resume() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	select {
	case <-upstream.running:
	default:
		close(upstream.running)
	}
}

// await blocks while the upstream is paused.
func (upstream *PausableUpstream) await() {
	upstream.mutex.Lock()
	running := upstream.running
	upstream.mutex.Unlock()
	<-running
}

// pausableListener accepts connections while its upstream runs.
type pausableListener struct {
	net.Listener
	upstream *PausableUpstream
}

// Accept returns the next connection.
func (listener pausableListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	listener.upstream.await()
	return pausableConn{conn, listener.upstream}, nil
}

// pausableConn is read and written while its upstream runs.
type pausableConn struct {
	net.Conn
	upstream *PausableUpstream
}

// Read waits for bytes first, as they may arrive during a pause.
func (conn pausableConn) Read(data []byte) (int, error) {
	count, err := conn.Conn.Read(data)
	conn.upstream.await()
	return count, err
}

// Write writes once the upstream runs.
func (conn pausableConn) Write(data []byte) (int, error) {
	conn.upstream.await()
	return conn.Conn.Write(data)
}

package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	defaultReadHeaderTimeout = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultMaxHeader         = 64 << 10
	defaultMaxConnections    = 4096
	// turnedAwayTimeout bounds the time for telling a connection too many.
	turnedAwayTimeout = time.Second
	// maxTurnedAway bounds the connections that are being told.
	maxTurnedAway = 64
)

// WithHeaderLimits bounds a request's header in bytes and in time.
func WithHeaderLimits(size int, timeout time.Duration) Option {
	return func(server *Server) { server.maxHeader, server.headerTimeout = size, timeout }
}

// WithIdleTimeout sets how long an unused connection stays open.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(server *Server) { server.idleTimeout = timeout }
}

// WithMaxConnections bounds the open connections of callers.
func WithMaxConnections(count int) Option {
	return func(server *Server) { server.maxConnections = count }
}

// HTTP returns the HTTP server of the callers' interface, with its limits.
func (server *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           server.Handler(),
		ReadHeaderTimeout: server.headerTimeout,
		IdleTimeout:       server.idleTimeout,
		MaxHeaderBytes:    server.maxHeader,
	}
}

// Limit returns a listener that answers connections above the bound with a
// refusal and closes them.
func (server *Server) Limit(inner net.Listener) net.Listener {
	return &listener{Listener: inner, slots: make(chan struct{}, server.maxConnections), turnedAway: make(chan struct{}, maxTurnedAway)}
}

// listener bounds the open connections.
type listener struct {
	net.Listener
	// slots holds one element for each open connection.
	slots chan struct{}
	// turnedAway holds one element for each connection that is being told.
	turnedAway chan struct{}
}

// Accept returns the next connection within the bound.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		conn, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case listener.slots <- struct{}{}:
			return &slotted{Conn: conn, release: sync.OnceFunc(func() { <-listener.slots })}, nil
		default:
			listener.turnAway(conn)
		}
	}
}

// turnAway tells a connection that there are too many, if not too many are
// being told already.
func (listener *listener) turnAway(conn net.Conn) {
	select {
	case listener.turnedAway <- struct{}{}:
		go func() {
			defer func() { <-listener.turnedAway }()
			refuse(conn)
		}()
	default:
		_ = conn.Close()
	}
}

// refuse writes a whole refusal and closes the connection once the caller has
// had the time to read it.
func refuse(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(turnedAwayTimeout))
	failure := callerFailure{status: http.StatusServiceUnavailable, code: codeConnections, message: "too many connections are open", retryAfter: retryLater}
	body := failure.body()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n%s: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", headerOutcome, failure.told(), len(body), body)
	if err != nil {
		return
	}
	if half, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, conn)
}

// slotted gives its slot back when it is closed.
type slotted struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (slotted *slotted) Close() error {
	defer slotted.release()
	return slotted.Conn.Close()
}

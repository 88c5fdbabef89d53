package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"limpetcleat/rationer"
)

const (
	defaultReadHeaderTimeout = 5 * time.Second
	defaultIdleTimeout       = 2 * time.Minute
	defaultMaxHeaderBytes    = 64 << 10
	defaultMaxConnections    = 4096
	// refusalTimeout bounds the time for refusing a connection above the limit.
	refusalTimeout = time.Second
	// maxConcurrentRefusals bounds the connections that are refused with a response at the same
	// time.
	maxConcurrentRefusals = 64
)

// WithHeaderLimits sets the maximum size of a request's header in bytes and the timeout for
// reading the header.
func WithHeaderLimits(size int, timeout time.Duration) Option {
	return func(server *Server) { server.maxHeaderBytes, server.headerTimeout = size, timeout }
}

// WithIdleTimeout sets the time after which an idle connection is closed.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(server *Server) { server.idleTimeout = timeout }
}

// WithMaxConnections sets the maximum number of open connections from callers.
func WithMaxConnections(count int) Option {
	return func(server *Server) { server.maxConnections = count }
}

// WithMemory sets what bounds the memory that the bodies of requests take. The default is defaultMemory bytes of its
// own.
func WithMemory(memory *rationer.Rationer) Option {
	return func(server *Server) { server.memory = memory }
}

// HTTP returns an HTTP server for the handler with the configured timeouts and limits.
func (server *Server) HTTP() *http.Server {
	return &http.Server{
		Handler:           server.Handler(),
		ReadHeaderTimeout: server.headerTimeout,
		IdleTimeout:       server.idleTimeout,
		MaxHeaderBytes:    server.maxHeaderBytes,
	}
}

// LimitConnections returns a listener that bounds the open connections. It responds with status
// 503 to connections above the limit and closes them.
func (server *Server) LimitConnections(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, slots: make(chan struct{}, server.maxConnections), refusals: make(chan struct{}, maxConcurrentRefusals)}
}

// limitedListener bounds the open connections.
type limitedListener struct {
	net.Listener
	// slots holds one element for each open connection.
	slots chan struct{}
	// refusals holds one element for each connection that is being refused with a response.
	refusals chan struct{}
}

// Accept returns the next connection within the limit and refuses those above it.
func (limitedListener *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := limitedListener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case limitedListener.slots <- struct{}{}:
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-limitedListener.slots })}, nil
		default:
			limitedListener.refuse(conn)
		}
	}
}

// refuse responds to a connection in a new goroutine and closes it. If too many refusals are in
// progress, it closes the connection without a response.
func (limitedListener *limitedListener) refuse(conn net.Conn) {
	select {
	case limitedListener.refusals <- struct{}{}:
		go func() {
			defer func() { <-limitedListener.refusals }()
			writeRefusal(conn)
		}()
	default:
		_ = conn.Close()
	}
}

// writeRefusal writes a complete HTTP response. It closes the connection after the caller has
// closed its side or refusalTimeout has passed, so that the caller can read the response.
func writeRefusal(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(refusalTimeout))
	failure := failure{status: http.StatusServiceUnavailable, code: codeTooManyConnections, message: "too many connections are open", retryAfter: defaultRetryAfter}
	body := failure.body()
	_, err := fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n%s: %s\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", headerOutcome, failure.reportedOutcome(), len(body), body)
	if err != nil {
		return
	}
	if halfCloser, ok := conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_, _ = io.Copy(io.Discard, conn)
}

// limitedConn releases its slot when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (limitedConn *limitedConn) Close() error {
	defer limitedConn.release()
	return limitedConn.Conn.Close()
}

package tester

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"limpetcleat/standin/shaper"
)

// connKey is the key of a connection in the context of its requests.
type connKey struct{}

// wrappedListener accepts connections that can be attached to a link.
type wrappedListener struct{ net.Listener }

// Accept returns the next connection.
func (listener wrappedListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return shaper.Wrap(accepted), nil
}

// withConn adds the connection to the context of its requests.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// identifyNode attaches each connection to the link of the node that sends the first request on it.
func (site *Site) identifyNode(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if conn, ok := request.Context().Value(connKey{}).(*shaper.Conn); ok {
			if link := site.links.Get(request.Header.Get("X-Node")); link != nil {
				conn.Attach(link)
			}
		}
		next.ServeHTTP(writer, request)
	})
}

// StreamingUpstream is an upstream that streams events, like an engine.
type StreamingUpstream struct {
	Name string
	// Events is the number of events of a stream, Interval the time between them, First that before the
	// first.
	Events   int
	Interval time.Duration
	First    time.Duration
	// EventBytes is the size of the data of an event.
	EventBytes int
	// ReadPause is the pause after each KB of a request's body that is read.
	ReadPause time.Duration

	// attempts holds the IDs of the attempts that were begun.
	attempts sync.Map
}

// Start starts and lists the upstream.
func (upstream *StreamingUpstream) Start(site *Site, fields map[string]any) {
	server := httptest.NewUnstartedServer(http.HandlerFunc(upstream.serve))
	site.AttachUpstream(server)
	server.Start()
	site.T.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	site.PutUpstream(upstream.Name, server.Listener.Addr().String(), fields)
}

// Began reports whether an attempt of a caller was begun.
func (upstream *StreamingUpstream) Began(attempt string) bool {
	_, began := upstream.attempts.Load(attempt)
	return began
}

// serve reads the body and streams the events after the last one that the caller has received.
func (upstream *StreamingUpstream) serve(writer http.ResponseWriter, request *http.Request) {
	if !readSlowly(request.Body, upstream.ReadPause) {
		return
	}
	upstream.attempts.Store(request.Header.Get("X-Attempt-Id"), true)
	WriteAttemptHeaders(writer, request)
	writer.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0 // The first request has no Last-Event-Id.
	}
	control, text := http.NewResponseController(writer), strings.Repeat("x", upstream.EventBytes)
	pause := upstream.First
	for number := last + 1; number <= upstream.Events; number++ {
		select {
		case <-time.After(pause):
		case <-request.Context().Done():
			return
		}
		pause = upstream.Interval
		_, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, text)
		if err == nil {
			err = control.Flush()
		}
		if err != nil {
			return
		}
	}
}

// readSlowly reads a body with a pause after each KB and reports whether it was read to its end.
func readSlowly(body io.Reader, pause time.Duration) bool {
	const partBytes = 1 << 10
	for {
		_, err := io.CopyN(io.Discard, body, partBytes)
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil {
			return false
		}
		time.Sleep(pause)
	}
}

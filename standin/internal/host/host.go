// Package host provides the HTTP server functions that the stand-ins share. It covers the server
// lifecycle, JSON requests and responses, and deliberately closed connections.
package host

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const readHeaderTimeout = 10 * time.Second

// Host manages the HTTP servers of one stand-in and the channel that signals its shutdown. Its
// methods are safe for concurrent use.
type Host struct {
	done      chan struct{}
	closeOnce sync.Once
}

// New returns an open Host. The caller must call Close.
func New() *Host {
	return &Host{done: make(chan struct{})}
}

// Done returns a channel that is closed by Close.
func (host *Host) Done() <-chan struct{} {
	return host.done
}

// Close makes all calls of Serve, Sleep and WaitUntilDone return. It is idempotent and does not
// wait for them.
func (host *Host) Close() {
	host.closeOnce.Do(func() { close(host.done) })
}

// Serve serves HTTP on the listener until ctx is done or the host is closed, then closes all
// connections and returns nil. It closes the listener, and returns any other error of the server.
func (host *Host) Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	tasks.Go(func() {
		host.WaitUntilDone(ctx)
		_ = server.Close()
	})
	err := server.Serve(listener)
	cancel()
	tasks.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Sleep sleeps for the duration. It returns false if ctx is done or the host is closed first.
func (host *Host) Sleep(ctx context.Context, duration time.Duration) bool {
	if duration <= 0 {
		return true
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-host.done:
		return false
	}
}

// WaitUntilDone blocks until ctx is done or the host is closed. The context of a request is done
// when its client disconnects.
func (host *Host) WaitUntilDone(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-host.done:
	}
}

// WriteJSON writes a response with the status and the value as its JSON body.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// ErrorResponse is the body of an error response, in the form of an OpenAI error.
type ErrorResponse struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object in an ErrorResponse.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// WriteError writes an error response with the status, whose error type is kind.
func WriteError(writer http.ResponseWriter, status int, kind, message string) {
	WriteJSON(writer, status, ErrorResponse{Error: ErrorDetail{Message: message, Type: kind}})
}

// CloseConnection closes the TCP connection of a response without completing the response. The
// caller must flush what the client is to receive. CloseConnection has no effect if the connection
// cannot be hijacked.
func CloseConnection(writer http.ResponseWriter) {
	controller := http.NewResponseController(writer)
	connection, _, err := controller.Hijack()
	if err != nil {
		return
	}
	_ = connection.Close()
}

// DecodeJSON decodes the JSON body of the request into value, a pointer; fields that are absent
// from the body keep their value. For malformed JSON or an unknown field it responds with status
// 400 and returns false; value may then be partly updated.
func DecodeJSON(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		WriteError(writer, http.StatusBadRequest, "invalidBody", err.Error())
		return false
	}
	return true
}

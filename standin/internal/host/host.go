// Package host serves the HTTP side that all stand-ins share: listening,
// closing, JSON answers and connections that are cut on purpose.
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

const headerTimeout = 10 * time.Second

// Host owns the done channel of one stand-in and the servers that run for it.
type Host struct {
	done chan struct{}
	once sync.Once
}

// New returns an open Host.
func New() *Host {
	return &Host{done: make(chan struct{})}
}

// Done returns the channel that Close closes.
func (host *Host) Done() <-chan struct{} {
	return host.done
}

// Close ends every Serve and every Wait of this host.
func (host *Host) Close() {
	host.once.Do(func() { close(host.done) })
}

// Serve answers HTTP on the listener until the context ends or the host is
// closed. It returns nil after such an end.
func (host *Host) Serve(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          log.New(io.Discard, "", 0),
	}
	ctx, cancel := context.WithCancel(ctx)
	var closer conc.WaitGroup
	closer.Go(func() {
		host.Hang(ctx)
		_ = server.Close()
	})
	err := server.Serve(listener)
	cancel()
	closer.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Wait sleeps for the duration. It returns false when the context or the host
// ended first.
func (host *Host) Wait(ctx context.Context, duration time.Duration) bool {
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

// Hang blocks until the context ends, as it does when the client gives up, or
// the host is closed.
func (host *Host) Hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-host.done:
	}
}

// Answer writes the value as JSON with the status.
func Answer(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// Failure is the body of every plain error of a stand-in.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail has the form of an OpenAI error.
type FailureDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// Fail writes an error body of the kind.
func Fail(writer http.ResponseWriter, status int, kind, message string) {
	Answer(writer, status, Failure{Error: FailureDetail{Message: message, Type: kind}})
}

// Cut sends what was written so far and closes the TCP connection without an
// end mark.
func Cut(writer http.ResponseWriter) {
	controller := http.NewResponseController(writer)
	connection, _, err := controller.Hijack()
	if err != nil {
		return
	}
	_ = connection.Close()
}

// Update decodes the request's JSON body over the value, so that fields which
// are not given keep what they were. It answers 400 and returns false for a
// body that is not such JSON.
func Update(writer http.ResponseWriter, request *http.Request, value any) bool {
	decoder := json.NewDecoder(request.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		Fail(writer, http.StatusBadRequest, "invalidBody", err.Error())
		return false
	}
	return true
}

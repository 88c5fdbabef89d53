// Package copier serves HTTP/1.1 like an upstream that sends copies of its answers.
package copier

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// IDHeader is the header of requests and answers that names a request.
const IDHeader = "X-Attempt-Id"

// Moment is when a copy is sent.
type Moment string

const (
	// BeforeNext is right before the next answer on the connection.
	BeforeNext Moment = "beforeNext"
	// BeforeSameID is right before the next answer on the connection to a request with the same id.
	BeforeSameID Moment = "beforeSameID"
	// After is a time after the answer.
	After Moment = "after"
)

// Copy is a copy of an answer.
type Copy struct {
	Moment Moment
	// Delay is the time between the answer and a copy After it.
	Delay time.Duration
	// WithoutID omits the header IDHeader.
	WithoutID bool
	// CutBytes is how many bytes at its end are not sent.
	CutBytes int
}

// Plan returns the copies to send of an answer. It is called by several goroutines.
type Plan func(answer *http.Response) []Copy

// Copier answers requests by a handler and sends copies of the answers. Answers are sent whole, once the handler has
// returned.
type Copier struct {
	handler http.Handler
	plan    Plan

	// mutex guards the fields below.
	mutex  sync.Mutex
	conns  map[*connection]struct{}
	closed bool
}

// New returns a Copier.
func New(handler http.Handler, plan Plan) *Copier {
	return &Copier{handler: handler, plan: plan, conns: make(map[*connection]struct{})}
}

// Serve answers the connections of the listener until the context ends. It closes the listener and all connections.
func (copier *Copier) Serve(ctx context.Context, listener net.Listener) error {
	var group conc.WaitGroup
	defer group.Wait()
	stop := context.AfterFunc(ctx, func() {
		_ = listener.Close()
		copier.close()
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		switch {
		case err != nil && ctx.Err() != nil:
			return nil
		case err != nil:
			return err
		}
		connection := &connection{Conn: conn}
		if copier.add(connection) {
			group.Go(func() { copier.serve(connection) })
		}
	}
}

// CloseConnections closes all connections, as the end of a process does.
func (copier *Copier) CloseConnections() {
	copier.mutex.Lock()
	defer copier.mutex.Unlock()
	for connection := range copier.conns {
		_ = connection.Close()
	}
}

func (copier *Copier) close() {
	copier.mutex.Lock()
	copier.closed = true
	copier.mutex.Unlock()
	copier.CloseConnections()
}

// add adds a connection, or closes it and returns false after the end.
func (copier *Copier) add(connection *connection) bool {
	copier.mutex.Lock()
	defer copier.mutex.Unlock()
	if copier.closed {
		_ = connection.Close()
		return false
	}
	copier.conns[connection] = struct{}{}
	return true
}

func (copier *Copier) remove(connection *connection) {
	copier.mutex.Lock()
	defer copier.mutex.Unlock()
	delete(copier.conns, connection)
	_ = connection.Close()
}

// serve answers the requests on a connection in turn.
func (copier *Copier) serve(connection *connection) {
	defer copier.remove(connection)
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		copier.handler.ServeHTTP(recorder, request)
		answer := recorder.Result()
		answer.ContentLength = int64(recorder.Body.Len())
		if err := connection.answer(request.Header.Get(IDHeader), answer, recorder.Body.Bytes(), copier.plan(answer)); err != nil {
			return
		}
	}
}

// connection is one connection to a Copier.
type connection struct {
	net.Conn

	// mutex guards the field below, and writes.
	mutex sync.Mutex
	due   []dueCopy
}

// dueCopy is a copy that is sent before a later answer.
type dueCopy struct {
	// id is that of the request before whose answer it is sent; empty means any.
	id   string
	data []byte
}

// answer sends the due copies and the answer, and schedules its copies.
func (connection *connection) answer(id string, answer *http.Response, body []byte, copies []Copy) error {
	connection.mutex.Lock()
	defer connection.mutex.Unlock()
	data := connection.takeDue(id)
	data = append(data, encode(answer, body, false)...)
	if _, err := connection.Write(data); err != nil {
		return err
	}
	for _, planned := range copies {
		data := encode(answer, body, planned.WithoutID)
		connection.schedule(planned, id, data[:max(0, len(data)-planned.CutBytes)])
	}
	return nil
}

// takeDue returns the copies that are due before the answer to a request with the id.
func (connection *connection) takeDue(id string) []byte {
	var data []byte
	kept := connection.due[:0]
	for _, due := range connection.due {
		if due.id != "" && due.id != id {
			kept = append(kept, due)
			continue
		}
		data = append(data, due.data...)
	}
	connection.due = kept
	return data
}

// schedule sends a copy when it is due. The mutex is held.
func (connection *connection) schedule(planned Copy, id string, data []byte) {
	switch planned.Moment {
	case BeforeNext:
		connection.due = append(connection.due, dueCopy{data: data})
	case BeforeSameID:
		connection.due = append(connection.due, dueCopy{id: id, data: data})
	case After:
		time.AfterFunc(planned.Delay, func() {
			connection.mutex.Lock()
			defer connection.mutex.Unlock()
			_, _ = connection.Write(data) // The connection may be closed by then.
		})
	}
}

// encode returns the bytes of an answer.
func encode(answer *http.Response, body []byte, withoutID bool) []byte {
	head := *answer
	head.Header = answer.Header.Clone()
	if withoutID {
		head.Header.Del(IDHeader)
	}
	head.Body = io.NopCloser(bytes.NewReader(body))
	var data bytes.Buffer
	_ = head.Write(&data) // Neither the body nor the buffer fails.
	return data.Bytes()
}

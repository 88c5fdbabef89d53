package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"
)

// Sent is a request that was sent and whose response has not been read. It is owned by one goroutine, which
// must call Receive.
type Sent struct {
	connector  *Connector
	address    string
	connection *connection
	outgoing   *Outgoing
	// stopWatch ends the watch on the context.
	stopWatch func() bool
	// writeErr is why the request was not written whole; an upstream may respond all the same. awaitErr is
	// why Await could not read.
	writeErr error
	awaitErr error
}

// Exchange sends a request and returns the response once its head has been read, as Send and Receive do.
func (connector *Connector) Exchange(ctx, start context.Context, address string, outgoing *Outgoing) (*Answer, error) {
	sent, err := connector.Send(ctx, start, address, outgoing)
	if err != nil {
		return nil, err
	}
	return sent.Receive()
}

// Send sends a request. The context applies to the whole exchange, reading the body included: when it ends,
// the connection is closed. The context start applies until the first byte of the request is written: if it
// ends before, nothing is sent. It should end with ctx. The error is of kind Denied, Unconnected, Unconfirmed
// or Unsent: nothing was sent.
func (connector *Connector) Send(ctx, start context.Context, address string, outgoing *Outgoing) (*Sent, error) {
	key := connector.key(outgoing.ID)
	connection, err := connector.connectFor(start, address, key, outgoing)
	if err != nil {
		return nil, err
	}
	connection.carry(key)
	outgoing.Position = Position{Connection: connection.number, Exchange: connection.exchanges()}
	if err := errors.Join(start.Err(), ctx.Err()); err != nil {
		_ = connection.Close()
		return nil, fail("start", Unsent, "%w", err)
	}
	if err := outgoing.confirm(); err != nil {
		_ = connection.Close()
		return nil, err
	}
	sent := &Sent{
		connector: connector, address: address, connection: connection, outgoing: outgoing,
		stopWatch: context.AfterFunc(ctx, func() { _ = connection.Close() }),
	}
	outgoing.BegunAt = time.Now()
	connector.beginExchange(address, connection, outgoing.Repeatable)
	sent.writeErr = connection.send(newRequest(outgoing), outgoing)
	if sent.writeErr != nil && connection.written == 0 {
		return nil, sent.end(fail("write", Unsent, "%w", sent.writeErr))
	}
	return sent, nil
}

// confirm returns an error of kind Unconfirmed if the request must not be sent any more.
func (outgoing *Outgoing) confirm() error {
	if outgoing.Confirm == nil {
		return nil
	}
	if err := outgoing.Confirm(); err != nil {
		return fail("confirm", Unconfirmed, "%w", err)
	}
	return nil
}

// newRequest returns what is written to the upstream, but for the target.
func newRequest(outgoing *Outgoing) *http.Request {
	request := &http.Request{
		Method:        outgoing.Method,
		URL:           &url.URL{Scheme: "http", Host: outgoing.Host, Path: "/"}, // The target is written by targetWriter.
		Host:          outgoing.Host,
		Header:        outgoing.Header,
		ContentLength: int64(len(outgoing.Body)),
		Body:          http.NoBody,
	}
	if len(outgoing.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(outgoing.Body))
	}
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = []string{""} // Keep net/http from adding its default.
	}
	return request
}

// send writes the request.
func (connection *connection) send(request *http.Request, outgoing *Outgoing) error {
	connection.written = 0
	if err := request.Write(newTargetWriter(connection.writer, outgoing.Method, outgoing.Target)); err != nil {
		return err
	}
	return connection.writer.Flush()
}

// Await waits for the first byte of a response, at most for the span. It reports whether Receive has something
// to read: a byte, or that the connection has failed. Outgoing.Silence is not asked meanwhile.
func (sent *Sent) Await(span time.Duration) bool {
	connection := sent.connection
	_ = connection.Conn.SetReadDeadline(time.Now().Add(span)) // Fails on a closed connection only.
	connection.readingHead = true
	_, err := connection.reader.Peek(1)
	connection.readingHead = false
	_ = connection.Conn.SetReadDeadline(time.Time{}) // Fails on a closed connection only.
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	sent.awaitErr = err
	return true
}

// Receive returns the response once its head has been read. The error is of kind Unanswered, PathLost,
// Mismatched or TooLarge; its cause is a rationer.Error of kind Exhausted if there was no memory for the head.
func (sent *Sent) Receive() (*Answer, error) {
	connection := sent.connection
	if sent.awaitErr != nil {
		return nil, sent.end(fail("read", Unanswered, "%w", sent.awaitErr))
	}
	connection.listen(sent.outgoing.Silence)
	// Read even after a failed write: an upstream may respond before it has read the whole request.
	answer, err := connection.read(sent.outgoing)
	if err != nil {
		return nil, sent.end(errors.Join(err, sent.writeErr))
	}
	if sent.writeErr != nil {
		answer.Close = true
	}
	delimited := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	return &Answer{
		Status:    answer.StatusCode,
		Header:    answer.Header,
		Length:    answer.ContentLength,
		Delimited: delimited,
		// A connection reports that it was reset once: here to the write, so that a read finds its end.
		body:        &body{ReadCloser: answer.Body, answer: answer, endless: !delimited && sent.writeErr != nil},
		connection:  connection,
		connector:   sent.connector,
		address:     sent.address,
		idleTimeout: idleTimeout(answer),
		stopWatch:   sent.stopWatch,
	}, nil
}

// end closes the connection because of the error, and returns the error of the exchange.
func (sent *Sent) end(err error) error {
	connection := sent.connection
	connection.heads.Reset()
	sent.connector.endExchange(sent.address, connection)
	sent.stopWatch()
	connection.noteReset(err)
	_ = connection.Close()
	if connection.abandoned.Load() {
		return fail("read", PathLost, "nothing came, and the path to %s was lost", sent.address)
	}
	return err
}

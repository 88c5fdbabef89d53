// Package connector carries exchanges with upstreams: one request, sent once,
// and its answer. It never sends a request again by itself, and it tells what
// can have reached the upstream when there is no answer.
package connector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"limpetcleat/dialer"
)

const (
	// dialTimeout bounds making a connection. An upstream takes 1 ms for it and
	// the way there at most some 3 ms; a lost first packet is sent again after 1 s,
	// by which time another upstream has been asked.
	dialTimeout = 300 * time.Millisecond
	// idleMargin is how long before an upstream closes an idle connection it is
	// no longer used.
	idleMargin = 500 * time.Millisecond
	// idleDefault is the same for upstreams that do not tell.
	idleDefault = 800 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream.
	maxIdle = 32
	// maxStrangers bounds the answers to others that are skipped on a connection.
	maxStrangers = 3
	// maxStrangerBytes bounds what is read of one of them.
	maxStrangerBytes = 1 << 20
)

// Outgoing is a request to an upstream.
type Outgoing struct {
	Method string
	// Target is the path with the query as the caller sent it.
	Target string
	Host   string
	// Header is owned by the exchange.
	Header http.Header
	Body   []byte
	// Belongs tells whether an answer with this status and header is the
	// request's own.
	Belongs func(status int, header http.Header) bool
}

// Connector keeps connections to upstreams. It is safe for concurrent use.
type Connector struct {
	dialer *net.Dialer
	// mutex guards idle and closed; no other lock is taken under it.
	mutex sync.Mutex
	// idle holds the connections without an exchange by address, the one used
	// last at the end.
	idle   map[string][]*connection
	closed bool
}

// New returns a connector without connections.
func New() *Connector {
	return &Connector{
		dialer: dialer.New(dialTimeout),
		idle:   make(map[string][]*connection),
	}
}

// Answer is the head of an upstream's answer, with its body to be read.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, -1 when unknown.
	Length int64
	// Delimited tells whether the end of the body is marked, by its length or a last chunk,
	// so that one that ends with its connection cannot be taken for whole.
	Delimited bool

	body       *body
	connection *connection
	connector  *Connector
	address    string
	keep       time.Duration
	// release ends the watch on the context.
	release func() bool
}

// Exchange sends a request and returns the head of its answer. The context
// bounds the whole exchange, the body included: when it ends, the connection is
// closed. The error is of kind Unconnected, Unanswered or Mismatched.
func (connector *Connector) Exchange(ctx context.Context, address string, outgoing *Outgoing) (*Answer, error) {
	connection, err := connector.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	release := context.AfterFunc(ctx, func() { _ = connection.Close() })
	answer, err := connection.exchange(outgoing)
	if err != nil {
		release()
		_ = connection.Close()
		return nil, err
	}
	return &Answer{
		Status:     answer.StatusCode,
		Header:     answer.Header,
		Length:     answer.ContentLength,
		Delimited:  answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0,
		body:       &body{ReadCloser: answer.Body},
		connection: connection,
		connector:  connector,
		address:    address,
		keep:       keep(answer),
		release:    release,
	}, nil
}

// connect returns an idle connection or makes one.
func (connector *Connector) connect(ctx context.Context, address string) (*connection, error) {
	if connection := connector.take(address); connection != nil {
		return connection, nil
	}
	conn, err := connector.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fail("connect", Unconnected, "%w", err)
	}
	return newConnection(conn), nil
}

func (connector *Connector) take(address string) *connection {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	for {
		idle := connector.idle[address]
		if len(idle) == 0 {
			return nil
		}
		last := idle[len(idle)-1]
		connector.idle[address] = idle[:len(idle)-1]
		if last.fresh(time.Now()) {
			return last
		}
		_ = last.Close()
	}
}

func (connector *Connector) put(address string, connection *connection) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	if connector.closed || len(connector.idle[address]) >= maxIdle {
		_ = connection.Close()
		return
	}
	connector.idle[address] = append(connector.idle[address], connection)
}

// Sweep closes the idle connections that are too old or were closed by their
// upstream.
func (connector *Connector) Sweep(now time.Time) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	for address, idle := range connector.idle {
		kept := idle[:0]
		for _, connection := range idle {
			if connection.fresh(now) {
				kept = append(kept, connection)
				continue
			}
			_ = connection.Close()
		}
		connector.idle[address] = kept
		if len(kept) == 0 {
			delete(connector.idle, address)
		}
	}
}

// Drop closes the idle connections to an address: what listened there has started again.
func (connector *Connector) Drop(address string) {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	connector.closeIdle(address)
}

// closeIdle closes the idle connections to an address; mutex is held.
func (connector *Connector) closeIdle(address string) {
	for _, connection := range connector.idle[address] {
		_ = connection.Close()
	}
	delete(connector.idle, address)
}

// Close ends the idle connections; those in use end with their exchange.
func (connector *Connector) Close() {
	connector.mutex.Lock()
	defer connector.mutex.Unlock()
	connector.closed = true
	for address := range connector.idle {
		connector.closeIdle(address)
	}
}

func (connection *connection) exchange(outgoing *Outgoing) (*http.Response, error) {
	request := &http.Request{
		Method:        outgoing.Method,
		URL:           &url.URL{Scheme: "http", Host: outgoing.Host, Opaque: outgoing.Target},
		Host:          outgoing.Host,
		Header:        outgoing.Header,
		ContentLength: int64(len(outgoing.Body)),
		Body:          http.NoBody,
	}
	if len(outgoing.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(outgoing.Body))
	}
	if _, named := request.Header["User-Agent"]; !named {
		request.Header["User-Agent"] = []string{""} // Send none of our own.
	}
	err := request.Write(connection.writer)
	if err == nil {
		err = connection.writer.Flush()
	}
	// An upstream may answer before it has read the whole request.
	answer, readErr := connection.read(request, outgoing.Belongs)
	if readErr != nil {
		return nil, errors.Join(readErr, err)
	}
	if err != nil {
		answer.Close = true
	}
	return answer, nil
}

// read returns the head of the answer that belongs to the request.
func (connection *connection) read(request *http.Request, belongs func(int, http.Header) bool) (*http.Response, error) {
	for range maxStrangers {
		answer, err := http.ReadResponse(connection.reader, request)
		if err != nil {
			return nil, fail("read", Unanswered, "%w", err)
		}
		if answer.StatusCode >= http.StatusContinue && answer.StatusCode < http.StatusOK {
			continue
		}
		if belongs(answer.StatusCode, answer.Header) {
			return answer, nil
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxStrangerBytes); !errors.Is(err, io.EOF) {
			break
		}
	}
	return nil, fail("read", Mismatched, "only answers to other requests came")
}

// Read reads the body. An error other than io.EOF means that it ended early.
func (answer *Answer) Read(data []byte) (int, error) {
	count, err := answer.body.Read(data)
	if err != nil && !errors.Is(err, io.EOF) {
		err = fail("read", Broken, "%w", err)
	}
	return count, err
}

// ReadAll returns the whole body, of at most limit bytes.
func (answer *Answer) ReadAll(limit int64) ([]byte, error) {
	if answer.Length > limit {
		return nil, fail("read", TooLarge, "the answer has %d bytes; allowed are %d", answer.Length, limit)
	}
	data, err := io.ReadAll(io.LimitReader(answer, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fail("read", TooLarge, "the answer has more than %d bytes", limit)
	}
	return data, nil
}

// Close ends the exchange: the connection is kept if the answer was read whole
// and nothing came behind it, and closed otherwise.
func (answer *Answer) Close() {
	released := answer.release()
	connection := answer.connection
	reusable := released && answer.body.whole && answer.keep > 0 && connection.reader.Buffered() == 0
	if !reusable {
		_ = connection.Close()
		return
	}
	connection.idleUntil = time.Now().Add(answer.keep)
	answer.connector.put(answer.address, connection)
}

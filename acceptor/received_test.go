package acceptor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/rationer"
)

const request = "GET / HTTP/1.1\r\nHost: h\r\n"

// startServer serves requests behind an acceptor and returns its address.
func startServer(t *testing.T, acceptor *Acceptor, handler http.HandlerFunc) string {
	t.Helper()
	server := &http.Server{Handler: handler}
	acceptor.Attach(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(acceptor.Listen(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	return inner.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
	return conn
}

// ask sends a request on a connection and returns the error of reading its answer.
func ask(conn net.Conn) error {
	if _, err := io.WriteString(conn, request+"\r\n"); err != nil {
		return err
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

// TestConnectionsAreBounded guards against more open connections than the memory allows: the one that has been idle
// for longest gives way, and a new one is closed if none is idle.
func TestConnectionsAreBounded(t *testing.T) {
	const most = 3
	release, begun := make(chan struct{}), make(chan struct{})
	sut := New(func() time.Duration { return time.Minute }, WithMaxConnections(most))
	address := startServer(t, sut, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/held" {
			begun <- struct{}{}
			<-release
		}
	})
	oldest, newer := dial(t, address), dial(t, address)
	// A connection is idle only after the server has written the end of the answer, which may arrive before.
	for number, conn := range []net.Conn{oldest, newer} {
		assert.NilError(t, ask(conn))
		for sut.idle.size() <= number {
			<-time.After(time.Millisecond)
		}
	}
	for range most {
		held := dial(t, address)
		_, err := io.WriteString(held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		<-begun
		assert.Assert(t, sut.open.Load() <= most)
	}
	for _, conn := range []net.Conn{oldest, newer} {
		_, err := conn.Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
	}
	// The connection may be reset before Dial returns.
	if surplus, err := net.Dial("tcp", address); err == nil {
		t.Cleanup(func() { _ = surplus.Close() })
		assert.NilError(t, surplus.SetDeadline(time.Now().Add(time.Minute)))
		assert.Assert(t, ask(surplus) != nil, "one connection too many was served")
	} else {
		assert.ErrorIs(t, err, syscall.ECONNRESET)
	}
	close(release)
}

// TestHeadersShareTheMemory guards against headers that each stay below their limit and together exceed the memory.
// Usual headers need none of it, and it is free once a request has been served.
func TestHeadersShareTheMemory(t *testing.T) {
	const limit = 300 << 10
	memory := rationer.New(limit)
	sut := New(func() time.Duration { return time.Minute }, WithMemory(memory))
	address := startServer(t, sut, func(http.ResponseWriter, *http.Request) {})
	long := request + "A: " + strings.Repeat("x", 60<<10)
	first, usual := dial(t, address), dial(t, address)
	_, err := io.WriteString(first, long)
	assert.NilError(t, err)
	for memory.Held() < limit/2 {
		<-time.After(time.Millisecond)
	}
	second := dial(t, address)
	_, _ = io.WriteString(second, long) // May fail, as the connection is closed meanwhile.
	_, err = second.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "an answer was received")
	assert.Assert(t, memory.Held() <= limit)
	assert.NilError(t, ask(usual))
	_, err = io.WriteString(first, "\r\n\r\n")
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	for memory.Held() > 0 {
		<-time.After(time.Millisecond)
	}
}

// TestConnectionWithAnAnswerUnderWayDoesNotGiveWay guards against answers that are cut off by a new connection: the
// handler has returned, and the server still writes the end of the answer.
func TestConnectionWithAnAnswerUnderWayDoesNotGiveWay(t *testing.T) {
	sut := New(func() time.Duration { return time.Minute }, WithMaxConnections(1))
	server := &http.Server{}
	sut.Attach(server)
	near, far := net.Pipe()
	defer far.Close()
	admitted, ok := (&listener{acceptor: sut}).admit(time.Now(), near).(*connection)
	assert.Assert(t, ok)
	admitted.begin()
	admitted.beginServing(0)
	admitted.head.EndServing()
	assert.Equal(t, sut.judge(time.Now()), Full)
	server.ConnState(admitted, http.StateIdle)
	admitted.beginServing(0) // A request that was sent ahead needs no further read.
	assert.Equal(t, sut.judge(time.Now()), Full)
	admitted.head.EndServing()
	server.ConnState(admitted, http.StateIdle)
	assert.Equal(t, sut.judge(time.Now()), Reason(""))
	assert.Assert(t, admitted.closed)
}

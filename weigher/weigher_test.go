package weigher_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/rationer"
	"limpetcleat/weigher"
)

// TestServersCloseHeadsWithoutMemory guards against servers that read heads without a bound on all of them together, and
// against usual requests that are refused beside them.
func TestServersCloseHeadsWithoutMemory(t *testing.T) {
	memory := rationer.New(1 << 20)
	shortages := make(chan struct{}, 1)
	sut := weigher.New(memory, weigher.WithShortages(func() { shortages <- struct{}{} }))
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	sut.Attach(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(sut.Listen(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		return conn
	}
	flood := dial()
	_, _ = io.WriteString(flood, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", 8000)) // May fail, as the connection is closed meanwhile.
	<-shortages
	_, err = flood.Read(make([]byte, 1))
	assert.Assert(t, err != nil, "an answer was received")
	usual := dial()
	for range 2 {
		_, err = io.WriteString(usual, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(usual), nil)
		assert.NilError(t, err)
		assert.Equal(t, answer.StatusCode, http.StatusOK)
	}
	for memory.Held() > 0 {
		<-time.After(time.Millisecond)
	}
}

// TestOldestConnectionGivesWay guards against clients that take all connections of an address and keep others from being
// served, and against requests that are cut off by a new connection.
func TestOldestConnectionGivesWay(t *testing.T) {
	const most = 3
	begun, release := make(chan struct{}), make(chan struct{})
	sut := weigher.New(rationer.New(1<<20), weigher.WithMaxConnections(most))
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/held" {
			close(begun)
			<-release
		}
	})}
	sut.Attach(server)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(sut.Listen(inner)) }()
	t.Cleanup(func() { _ = server.Close() })
	ask := func(path string) net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
		_, err = io.WriteString(conn, path)
		assert.NilError(t, err)
		return conn
	}
	status := func(conn net.Conn) int {
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		return answer.StatusCode
	}
	held := ask("GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	<-begun
	first := ask("GET / HTTP/1.1\r\n")
	for range 2 * most {
		ask("GET / HTTP/1.1\r\n")
	}
	_, err = first.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	assert.Equal(t, status(ask("GET / HTTP/1.1\r\nHost: h\r\n\r\n")), http.StatusOK)
	close(release)
	assert.Equal(t, status(held), http.StatusOK)
}

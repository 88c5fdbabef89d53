package connector_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/standin/darkener"
)

// darkTime is how long the test's path carries nothing; it exceeds the limit of idle connections.
const darkTime = 2600 * time.Millisecond

// TestExchangeOutlastsADarkPath lets the path to an upstream carry nothing while it works on a request.
//
// It guards against requests that are lost since their connection is closed during a pause of the upstream's
// VM, or of the link, that ends in time.
func TestExchangeOutlastsADarkPath(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = conn.Read(make([]byte, 1024))
		dark := conn.(*net.TCPConn)
		assert.Check(t, darkener.Darken(dark))
		<-time.After(darkTime)
		assert.Check(t, darkener.Brighten(dark))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ntext")
		<-t.Context().Done()
	}()
	answer, err := connector.New().Exchange(context.Background(), context.Background(), listener.Addr().String(), newOutgoing())
	assert.NilError(t, err)
	defer answer.Close()
	body, err := answer.ReadAll(64)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text")
}

// TestExchangeOutlastsAReaderThatPauses lets an upstream leave the body of a request unread for a while.
//
// It guards against requests that are lost since their connection is closed while the upstream, whose kernel
// answers, has no room for more of the body.
func TestExchangeOutlastsAReaderThatPauses(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		<-time.After(darkTime)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ntext")
		_, _ = io.Copy(io.Discard, conn)
	}()
	outgoing := newOutgoing()
	outgoing.Body = make([]byte, 16<<20)
	answer, err := connector.New().Exchange(context.Background(), context.Background(), listener.Addr().String(), outgoing)
	assert.NilError(t, err)
	defer answer.Close()
	body, err := answer.ReadAll(64)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text")
}

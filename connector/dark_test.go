package connector_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/dialer"
	"limpetcleat/standin/darkener"
)

// darkTime is how long the test's path carries nothing; it exceeds the limit of idle connections.
const darkTime = 2600 * time.Millisecond

// serveOnce starts a server that handles one connection and then closes it, and returns its address.
func serveOnce(t *testing.T, serve func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		serve(conn.(*net.TCPConn))
	}()
	return listener.Addr().String()
}

// checkExchange checks that an exchange is answered whole.
func checkExchange(t *testing.T, address string, outgoing *connector.Outgoing) {
	t.Helper()
	answer, err := connector.New().Exchange(context.Background(), context.Background(), address, outgoing)
	assert.NilError(t, err)
	defer answer.Close()
	body, err := answer.ReadAll(64)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "text")
}

// TestExchangeOutlastsADarkPath lets the path to an upstream carry nothing while it works on a request.
//
// It guards against requests that are lost since their connection is closed during a pause of the upstream's
// VM, or of the link, that ends in time.
func TestExchangeOutlastsADarkPath(t *testing.T) {
	t.Parallel()
	address := serveOnce(t, func(conn *net.TCPConn) {
		_, _ = conn.Read(make([]byte, 1024))
		assert.Check(t, darkener.Darken(conn))
		<-time.After(darkTime)
		assert.Check(t, darkener.Brighten(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ntext")
		<-t.Context().Done()
	})
	checkExchange(t, address, newOutgoing())
}

// TestExchangeOutlastsAReaderThatPauses lets an upstream leave the body of a request unread for a while.
//
// It guards against requests that are lost since their connection is closed while the upstream, whose kernel
// answers, has no room for more of the body.
func TestExchangeOutlastsAReaderThatPauses(t *testing.T) {
	t.Parallel()
	address := serveOnce(t, func(conn *net.TCPConn) {
		<-time.After(darkTime)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 4\r\n\r\ntext")
		_, _ = io.Copy(io.Discard, conn)
	})
	outgoing := newOutgoing()
	outgoing.Body = make([]byte, 16<<20)
	checkExchange(t, address, outgoing)
}

// TestDarkPathEndsAWrite guards against repeatable requests whose body is longer than the kernel's buffers, and
// which wait for the kernel's limit of an exchange on a path that carries nothing.
func TestDarkPathEndsAWrite(t *testing.T) {
	t.Parallel()
	address := serveOnce(t, func(conn *net.TCPConn) {
		assert.Check(t, darkener.Darken(conn))
		<-t.Context().Done()
	})
	outgoing := newOutgoing()
	outgoing.Body, outgoing.Repeatable = make([]byte, 16<<20), true
	ctx, cancel := context.WithTimeout(context.Background(), dialer.ExchangeSilenceLimit)
	defer cancel()
	_, err := connector.New().Exchange(ctx, ctx, address, outgoing)
	assert.Assert(t, err != nil && ctx.Err() == nil, "it waited for its own end: %v", err)
}

// TestRequestIsNotDeliveredLate lets the path to an upstream carry nothing for twice the limit of silence from
// before a request is sent.
//
// It guards against requests that reach an upstream long after they were sent, when it has been announced that it
// leaves.
func TestRequestIsNotDeliveredLate(t *testing.T) {
	t.Parallel()
	dark, delivered := make(chan struct{}), make(chan int, 1)
	address := serveOnce(t, func(conn *net.TCPConn) {
		assert.Check(t, darkener.Darken(conn))
		close(dark)
		<-time.After(2 * dialer.SilenceLimit)
		assert.Check(t, darkener.Brighten(conn))
		_ = conn.SetReadDeadline(time.Now().Add(2 * dialer.SilenceLimit))
		count, _ := conn.Read(make([]byte, 1024)) // It counts what arrived.
		delivered <- count
	})
	ctx, cancel := context.WithTimeout(context.Background(), 6*dialer.SilenceLimit)
	defer cancel()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.New(time.Second).DialContext(ctx, "tcp", address)
		<-dark
		return conn, err
	}
	_, err := connector.New(connector.WithDial(dial)).Exchange(ctx, ctx, address, newOutgoing())
	assert.Check(t, err != nil)
	assert.Equal(t, <-delivered, 0, "bytes of the request")
}

package connector_test

import (
	"bytes"
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/dialer"
	"limpetcleat/standin/darkener"
)

// TestDarkPathEndsAWrite guards against repeatable requests whose body is longer than the kernel's buffers, and
// which wait for the kernel's limit of an exchange on a path that carries nothing.
func TestDarkPathEndsAWrite(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		assert.Check(t, darkener.Darken(conn.(*net.TCPConn)))
		<-t.Context().Done()
	}()
	outgoing := newOutgoing()
	outgoing.Body, outgoing.Repeatable = bytes.Repeat([]byte("b"), 16<<20), true
	ctx, cancel := context.WithTimeout(context.Background(), dialer.ExchangeSilenceLimit)
	defer cancel()
	_, err = connector.New().Exchange(ctx, ctx, listener.Addr().String(), outgoing)
	assert.Assert(t, err != nil && ctx.Err() == nil, "it waited for its own end: %v", err)
}

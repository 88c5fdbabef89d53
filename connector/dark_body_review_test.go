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

// TestSilenceIsMeasuredWhileTheRequestIsWritten guards against repeatable requests whose body is longer than the
// kernel's buffers, and which wait for the kernel's limit of an exchange on a path that carries nothing.
func TestSilenceIsMeasuredWhileTheRequestIsWritten(t *testing.T) {
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
	outgoing, silence := newOutgoing(), &scriptedSilence{limit: dialer.SilenceLimit}
	outgoing.Silence, outgoing.Body, outgoing.Repeatable = silence, bytes.Repeat([]byte("b"), 16<<20), true
	ctx, cancel := context.WithTimeout(context.Background(), 3*dialer.SilenceLimit)
	defer cancel()
	_, err = connector.New().Exchange(ctx, ctx, listener.Addr().String(), outgoing)
	assert.Assert(t, silence.reached > 0, "not asked; %v", err)
}

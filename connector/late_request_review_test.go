package connector_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/dialer"
	"limpetcleat/standin/darkener"
)

// TestRequestIsNotDeliveredLate lets the path to an upstream carry nothing for twice the limit of silence from
// before a request is sent.
//
// It guards against requests that reach an upstream long after they were sent, when it has been announced that it
// leaves.
func TestRequestIsNotDeliveredLate(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dark, delivered := make(chan struct{}), make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		path := conn.(*net.TCPConn)
		assert.Check(t, darkener.Darken(path))
		close(dark)
		<-time.After(2 * dialer.SilenceLimit)
		assert.Check(t, darkener.Brighten(path))
		_ = conn.SetReadDeadline(time.Now().Add(2 * dialer.SilenceLimit))
		count, _ := conn.Read(make([]byte, 1024)) // It counts what arrived.
		delivered <- count
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 6*dialer.SilenceLimit)
	defer cancel()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialer.New(time.Second).DialContext(ctx, "tcp", address)
		<-dark
		return conn, err
	}
	_, err = connector.New(connector.WithDial(dial)).Exchange(ctx, ctx, listener.Addr().String(), newOutgoing())
	assert.Check(t, err != nil)
	assert.Equal(t, <-delivered, 0, "bytes of the request")
}

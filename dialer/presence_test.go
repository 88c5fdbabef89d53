package dialer_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/dialer"
)

// TestLook checks that Look distinguishes a process that listens, one that has ended, and an
// attempt without a result.
func TestLook(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	presence, conn := dialer.Look(context.Background(), address)
	assert.Equal(t, presence, dialer.Listening)
	assert.NilError(t, conn.Close())

	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	presence, _ = dialer.Look(cancelled, address)
	assert.Equal(t, presence, dialer.Untold)

	assert.NilError(t, listener.Close())
	presence, _ = dialer.Look(context.Background(), address)
	assert.Equal(t, presence, dialer.Refused)
}

package connector_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// TestLook tells a process that has ended from one that listens, and keeps the connection
// that showed it for the next exchange.
func TestLook(t *testing.T) {
	address, connections := upstream(t, plain("1", "a"))
	links := connector.New()
	defer links.Close()
	assert.Equal(t, links.Look(context.Background(), address), connector.Listening)
	exchange(t, links, address)
	assert.Equal(t, connections(), 1)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := listener.Addr().String()
	assert.NilError(t, listener.Close())
	assert.Equal(t, links.Look(context.Background(), ended), connector.Refused)

	left, cancel := context.WithCancel(context.Background())
	cancel()
	assert.Equal(t, links.Look(left, address), connector.Untold)
}

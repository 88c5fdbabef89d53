package connector_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/dialer"
)

// TestLookKeepsTheConnection checks that the connection made by Look carries the next
// exchange.
func TestLookKeepsTheConnection(t *testing.T) {
	address, connections := startUpstream(t, plainAnswer("1", "a"))
	client := connector.New()
	defer client.Close()
	assert.Equal(t, client.Look(context.Background(), address), dialer.Listening)
	exchange(t, client, address)
	assert.Equal(t, connections(), 1)
}

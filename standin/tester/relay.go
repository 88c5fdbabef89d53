package tester

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/relay"
	"limpetcleat/standin/runner"
)

// runningRelay is a relay that has been started.
type runningRelay struct {
	*relay.Relay
	*runner.Runner
}

// startRelay relays connections from a free port of the host to the target. Names are the peers
// whose connections the relay can distinguish.
func startRelay(t *testing.T, host, target string, names ...string) *runningRelay {
	t.Helper()
	relay := relay.New(relay.WithTarget(target), relay.WithPeers(names...), relay.WithCountedPrefix("POST /v1/"))
	running, err := runner.Start(context.Background(), relay, host+":0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, running.Stop()) })
	return &runningRelay{Relay: relay, Runner: running}
}

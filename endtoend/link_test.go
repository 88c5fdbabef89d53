package endtoend_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/relay"
	"limpetcleat/standin/runner"
)

// link is a relay that runs.
type link struct {
	*relay.Relay
	*runner.Runner
}

// startLink relays a free port of the host to the target. Names are those of the peers
// whose connections can be told apart.
func startLink(t *testing.T, host, target string, names ...string) *link {
	t.Helper()
	relay := relay.New(relay.WithTarget(target), relay.WithPeers(names...), relay.WithCounted("POST /v1/"))
	running, err := runner.Start(context.Background(), relay, host+":0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, running.Stop()) })
	return &link{Relay: relay, Runner: running}
}

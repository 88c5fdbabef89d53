package endtoend_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
)

const (
	// linkBytesPerSecond is 10 Mbit/s; largePaddingBytes take 0.8 s to transfer.
	linkBytesPerSecond = 10_000_000 / 8
	largePaddingBytes  = 1_000_000
)

// TestAskerKilledInALargeChange kills the leader, which reads the store on behalf of the others,
// while it receives a large configuration over a slow link. The next node takes over, all nodes
// apply the configuration within the bound, and the number of calls to the store stays low.
func TestAskerKilledInALargeChange(t *testing.T) {
	fleet := newFleetWithLink(t, store.NewLink(linkBytesPerSecond))
	fleet.arguments = []string{"-delegation"}
	fleet.configure(unsafeRule("/old/"))
	fleet.startUpstream("u1", newBookingRecorder().serve("u1"))
	for number := range 6 {
		fleet.startNode(fmt.Sprintf("entry-%d", number))
	}
	for _, node := range fleet.startedNodes() {
		node.awaitReady()
	}
	// Once the nodes have discovered each other, the first in the order of their names is the
	// leader.
	<-time.After(2 * time.Second)
	before := fleet.store.Calls()
	fleet.paddingBytes = largePaddingBytes
	written := fleet.configure(unsafeRule("/new/"))
	<-time.After(300 * time.Millisecond)
	fleet.startedNodes()[0].Kill()
	for _, node := range fleet.startedNodes()[1:] {
		eventually(t, configurationTimeout-time.Since(written), node.name+" applies the new configuration", func() bool {
			return newClient(t).send(node.request("/new/")).status == http.StatusOK
		})
	}
	calls := fleet.store.Calls() - before
	t.Logf("%d calls to the store", calls)
	assert.Assert(t, calls < 20, "%d calls", calls)
}

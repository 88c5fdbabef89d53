package membership_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
	"limpetcleat/standin/tester"
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
	fleet := tester.NewFleetWithLink(t, store.NewLink(linkBytesPerSecond))
	fleet.Arguments = []string{"-delegation"}
	fleet.Configure(tester.UnsafeRule("/old/"))
	fleet.StartUpstream("u1", newBookingRecorder().serve("u1"))
	for number := range 6 {
		fleet.StartNode(fmt.Sprintf("entry-%d", number))
	}
	for _, node := range fleet.StartedNodes() {
		node.AwaitReady()
	}
	// Once the nodes have discovered each other, the first in the order of their names is the
	// leader.
	<-time.After(2 * time.Second)
	before := fleet.Store.Calls()
	fleet.PaddingBytes = largePaddingBytes
	written := fleet.Configure(tester.UnsafeRule("/new/"))
	<-time.After(300 * time.Millisecond)
	fleet.StartedNodes()[0].Kill()
	for _, node := range fleet.StartedNodes()[1:] {
		tester.Eventually(t, configurationTimeout-time.Since(written), node.Name+" applies the new configuration", func() bool {
			return tester.NewClient(t).Send(node.Request("/new/")).Status == http.StatusOK
		})
	}
	calls := fleet.Store.Calls() - before
	t.Logf("%d calls to the store", calls)
	assert.Assert(t, calls < 20, "%d calls", calls)
}

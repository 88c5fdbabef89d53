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
	// thinLink is 10 Mbit/s in bytes a second, over which largePadding takes 0.8 s.
	thinLink     = 10_000_000 / 8
	largePadding = 1_000_000
)

// TestAskerKilledInALargeChange kills the node that asks the store for the others while it
// receives a large configuration over a thin link: the next takes over, and all go by the
// configuration within the bound. The store is asked little.
func TestAskerKilledInALargeChange(t *testing.T) {
	fleet := newFleetOver(t, store.NewLink(thinLink))
	fleet.arguments = []string{"-delegation"}
	fleet.configure(unsafeRule("/old/"))
	fleet.upstream("u1", newDesk().serve("u1"))
	for number := range 6 {
		fleet.join(fmt.Sprintf("entry-%d", number))
	}
	for _, node := range fleet.all() {
		node.awaitReady()
	}
	// Nodes lead in the order of their names, once they know of each other.
	<-time.After(2 * time.Second)
	before := fleet.store.Calls()
	fleet.padding = largePadding
	written := fleet.configure(unsafeRule("/new/"))
	<-time.After(300 * time.Millisecond)
	fleet.all()[0].Kill()
	for _, node := range fleet.all()[1:] {
		eventually(t, inForceWithin-time.Since(written), node.name+" goes by the new configuration", func() bool {
			return newClient(t).send(node.request("/new/")).status == http.StatusOK
		})
	}
	calls := fleet.store.Calls() - before
	t.Logf("%d calls to the store", calls)
	assert.Assert(t, calls < 20, "%d calls", calls)
}

package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/sectioner"
)

// wantedDocument wants one engine changed, besides what claimDocument has.
func wantedDocument() definer.Document {
	document := claimDocument()
	document.Pools = append(document.Pools, definer.PoolDocument{Name: "models", Kind: "engine", Upstreams: []definer.UpstreamDocument{
		{Name: "e", DataCentre: "dc", Address: "127.0.0.1:2", Slots: 1, Wanted: &definer.WantedDocument{Role: "decode"}},
		{Name: "far", DataCentre: "other", Address: "127.0.0.1:3", Slots: 1, Wanted: &definer.WantedDocument{Role: "decode"}},
		{Name: "going", DataCentre: "dc", Address: "127.0.0.1:4", Slots: 1, Leaving: true, Wanted: &definer.WantedDocument{Role: "decode"}},
	}})
	return document
}

// TestLeaseCallsDoNotGrow counts the calls for the lease in a data centre of
// two members and of seven, and finds one holder in each.
func TestLeaseCallsDoNotGrow(t *testing.T) {
	for _, count := range []int{2, 7} {
		var vms []definer.VM
		for index := range count {
			vms = append(vms, definer.VM(fmt.Sprintf("vm%d", index)))
		}
		world := newWorld(t, 1, vms...)
		calls := 0
		world.onCall = func(_ definer.VM, call CallPlatform) callFate {
			if call.Kind == leaseKind {
				calls++
			}
			return callFate{effect: true, delay: 4 * time.Millisecond}
		}
		world.Run(10 * time.Second)
		assert.Equal(t, calls, 0, "nothing is wanted yet")
		sums, sections, err := sectioner.Cut(wantedDocument())
		assert.NilError(t, err)
		for _, vm := range vms {
			world.deliver(world.nodes[vm], ConfigurationFound{Head: Head{Version: 2, Sections: sums}, Contents: sections})
		}
		world.Run(time.Minute)
		calls = 0
		world.Run(time.Minute)
		t.Logf("%d members: %d calls a minute", count, calls)
		assert.Assert(t, calls <= 30, "%d calls", calls)
		holders := 0
		for _, vm := range vms {
			status := world.nodes[vm].decider.Status()
			assert.Equal(t, status.Orders.Wanted, 1)
			if status.Orders.Held {
				holders++
			}
		}
		assert.Equal(t, holders, 1)
	}
}

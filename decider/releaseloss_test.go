package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// TestLostReleasesDelayNoCall guards against slots that stay occupied after their releases were lost
// in a short cut, so that the next call gets its slot only at its deadline.
func TestLostReleasesDelayNoCall(t *testing.T) {
	const deadline = 8 * time.Second
	cluster := newCluster(t, 1, 1, 2)
	owner := cluster.owner("dc0-vm0", "dc0")
	entry := cluster.others("dc0", owner)[0]
	cluster.run(14 * time.Second)
	held := cluster.sendRequests("held", "/desk", []definer.VM{entry}, 2*slots, 0)
	cluster.run(cluster.service - 50*time.Millisecond)
	cluster.cut = func(definer.VM, definer.VM) bool { return true }
	cluster.run(100 * time.Millisecond)
	cluster.cut = nil
	cluster.checkFinished(held, 0)
	began := cluster.now
	cluster.request(entry, "next", "/desk")
	cluster.run(deadline)
	started := cluster.servedAfter(began, "dc0")
	assert.Assert(t, started < deadline, "no attempt started within %v", deadline)
}

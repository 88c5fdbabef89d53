package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// totalSlots is the number of slots in one data centre.
const totalSlots = 2 * slots

// TestOwnerKilled kills the owner of a shard under load: all requests must
// finish, later ones in order, without more attempts than slots.
func TestOwnerKilled(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			cluster := newCluster(t, seed, 1, 4)
			cluster.run(2 * time.Second)
			owner := cluster.owner("dc0-vm0", "dc0")
			entries := cluster.others("dc0", owner)
			ids := cluster.sendRequests("r", "/", entries, 12, 50*time.Millisecond)
			delete(cluster.nodes, owner)
			killed := cluster.now
			ids = append(ids, cluster.sendRequests("s", "/", entries, 12, 50*time.Millisecond)...)
			cluster.checkFinished(ids, 40*time.Second)
			cluster.checkOrderedAfter(killed)
			assert.Assert(t, cluster.peak["dc0"] <= totalSlots, "%d ran", cluster.peak["dc0"])
			t.Logf("at most %d of %d slots", cluster.peak["dc0"], totalSlots)
		})
	}
}

// TestTimeToServeAgain sends a request just after the owner was lost, while
// slots are free, and bounds the time until it starts.
func TestTimeToServeAgain(t *testing.T) {
	t.Parallel()
	losses := map[string]func(cluster *cluster, owner definer.VM){
		"killed": func(cluster *cluster, owner definer.VM) { delete(cluster.nodes, owner) },
		"frozen": func(cluster *cluster, owner definer.VM) { cluster.nodes[owner].frozen = true },
		"cut": func(cluster *cluster, owner definer.VM) {
			cluster.cut = func(from, to definer.VM) bool { return (from == owner) != (to == owner) }
		},
	}
	for _, size := range [][2]int{{1, 2}, {1, 4}, {4, 2}} {
		for _, name := range sortedKeys(losses) {
			t.Run(fmt.Sprintf("%s in %dx%d", name, size[0], size[1]), func(t *testing.T) {
				var longest time.Duration
				for seed := range int64(20) {
					cluster := newCluster(t, seed, size[0], size[1])
					cluster.run(2*time.Second + time.Duration(seed)*50*time.Millisecond)
					owner := cluster.owner("dc0-vm0", "dc0")
					entry := cluster.others("dc0", owner)[0]
					losses[name](cluster, owner)
					lost := cluster.now
					cluster.request(entry, "r", "/")
					cluster.run(10 * time.Second)
					longest = max(longest, cluster.servedAfter(lost, "dc0"))
				}
				t.Logf("served again after at most %v", longest)
				assert.Assert(t, longest < 3*time.Second)
			})
		}
	}
}

// TestWindowBoundsOverCommitment shows that the window is what keeps a new
// owner from granting slots that are still in use: without it, more attempts
// run than there are slots.
func TestWindowBoundsOverCommitment(t *testing.T) {
	t.Parallel()
	for _, window := range []time.Duration{rebuildWindow, 0} {
		worst := 0
		for seed := range int64(5) {
			cluster := newCluster(t, seed, 1, 4)
			cluster.service = 10 * time.Second
			for vm := range cluster.nodes {
				cluster.ownerOf(vm).listenWindow = window
			}
			cluster.run(2 * time.Second)
			owner := cluster.owner("dc0-vm0", "dc0")
			ids := cluster.sendRequests("r", "/", cluster.others("dc0", owner), 12, 50*time.Millisecond)
			delete(cluster.nodes, owner)
			cluster.checkFinished(ids, 60*time.Second)
			worst = max(worst, cluster.peak["dc0"])
		}
		t.Logf("window %v: at most %d of %d slots", window, worst, totalSlots)
		assert.Equal(t, worst <= totalSlots, window > 0)
	}
}

// TestOwnerFrozenAndBack freezes the owner and resumes it: for a time two
// members may grant the same slots, and none may stay in use.
func TestOwnerFrozenAndBack(t *testing.T) {
	t.Parallel()
	for _, freeze := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 20 * time.Second} {
		t.Run(freeze.String(), func(t *testing.T) {
			cluster := newCluster(t, 1, 1, 4)
			cluster.service = 8 * time.Second
			cluster.run(2 * time.Second)
			owner := cluster.owner("dc0-vm0", "dc0")
			entries := cluster.others("dc0", owner)
			ids := cluster.sendRequests("r", "/", entries, 12, 50*time.Millisecond)
			ids = append(ids, "f000")
			cluster.request(owner, "f000", "/")
			cluster.nodes[owner].frozen = true
			cluster.run(freeze)
			cluster.resume(owner)
			ids = append(ids, cluster.sendRequests("s", "/", append(entries, owner), 12, 50*time.Millisecond)...)
			resumed := cluster.now
			cluster.checkFinished(ids, 60*time.Second)
			cluster.checkOrderedAfter(resumed)
			t.Logf("at most %d of %d slots", cluster.peak["dc0"], totalSlots)
			assert.Assert(t, cluster.peak["dc0"] <= 2*totalSlots)
			assert.Equal(t, cluster.ownerOf(owner).scheduled(), 0, "all slots are free again")
		})
	}
}

// scheduled counts the asks and grants that the schedulers and ledgers of a
// node still hold.
func (owner *owner) scheduled() int {
	sum := 0
	for _, owned := range owner.shards {
		sum += owned.scheduler.Running() + owned.scheduler.Waiting() + len(owned.pending) + len(owned.ledger.grants)
	}
	return sum
}

// TestTwoOwnersAtOnce disconnects the owner, so that both sides grant the same
// slots, and checks that they agree again after the network heals.
func TestTwoOwnersAtOnce(t *testing.T) {
	cluster := newCluster(t, 1, 1, 4)
	cluster.run(2 * time.Second)
	owner := cluster.owner("dc0-vm0", "dc0")
	entries := cluster.others("dc0", owner)
	ids := cluster.sendRequests("r", "/", append(entries, owner), 16, 50*time.Millisecond)
	cluster.cut = func(from, to definer.VM) bool { return (from == owner) != (to == owner) }
	ids = append(ids, cluster.sendRequests("s", "/", append(entries, owner), 32, 100*time.Millisecond)...)
	cluster.run(5 * time.Second)
	assert.Equal(t, cluster.owner(owner, "dc0"), owner)
	assert.Assert(t, cluster.owner(entries[0], "dc0") != owner)
	cluster.cut = nil
	cluster.checkFinished(ids, 90*time.Second)
	t.Logf("at most %d of %d slots", cluster.peak["dc0"], totalSlots)
	assert.Assert(t, cluster.peak["dc0"] <= 2*totalSlots)
	for _, vm := range sortedKeys(cluster.nodes) {
		assert.Equal(t, cluster.ownerOf(vm).scheduled(), 0, "%s", vm)
	}
}

// TestProtectedRequestGoesPastASilentOwner checks that a protected request is
// served by an emergency grant while its owner does not answer.
func TestProtectedRequestGoesPastASilentOwner(t *testing.T) {
	cluster := newCluster(t, 1, 1, 4)
	cluster.run(2 * time.Second)
	owner := cluster.owner("dc0-vm0", "dc0")
	entries := cluster.others("dc0", owner)
	delete(cluster.nodes, owner)
	killed := cluster.now
	ids := cluster.sendRequests("d", "/desk", entries, 1, 0)
	ids = append(ids, cluster.sendRequests("b", "/", entries, 1, 0)...)
	cluster.run(time.Second)
	assert.Equal(t, len(cluster.starts), 1, "only the protected request starts")
	assert.Equal(t, cluster.starts[0].request, definer.RequestID("d000"))
	t.Logf("served after %v", cluster.servedAfter(killed, "dc0"))
	ids = append(ids, cluster.sendRequests("e", "/desk", entries, 10, 10*time.Millisecond)...)
	cluster.checkFinished(ids, 40*time.Second)
	t.Logf("%d emergency grants, at most %d of %d slots", cluster.emergencyGrants, cluster.peak["dc0"], totalSlots)
	// Each member that ranked second may have granted one slot for each
	// upstream.
	assert.Assert(t, cluster.peak["dc0"] <= totalSlots+2*emergencySlots)
	for _, vm := range sortedKeys(cluster.nodes) {
		assert.Equal(t, cluster.ownerOf(vm).scheduled(), 0, "%s", vm)
	}
}

// TestEntryKilledGivesItsSlotsBack checks that the slots of a killed entry VM
// are freed and that its work is cancelled at the upstreams.
func TestEntryKilledGivesItsSlotsBack(t *testing.T) {
	cluster := newCluster(t, 1, 1, 4)
	cluster.service = 30 * time.Second
	cluster.run(2 * time.Second)
	owner := cluster.owner("dc0-vm0", "dc0")
	entries := cluster.others("dc0", owner)
	cluster.sendRequests("lost", "/", entries[:1], 6, 50*time.Millisecond)
	ids := cluster.sendRequests("r", "/", entries[1:], 2, 50*time.Millisecond)
	delete(cluster.nodes, entries[0])
	cluster.run(4 * time.Second)
	assert.Equal(t, len(cluster.canceled), totalSlots, "the upstreams are told to stop")
	cluster.checkFinished(ids, 40*time.Second)
}

// TestMessagesLostLoseNoSlot checks that lost messages leave no slot in use.
func TestMessagesLostLoseNoSlot(t *testing.T) {
	for seed := range int64(3) {
		cluster := newCluster(t, seed, 1, 4)
		cluster.service = 500 * time.Millisecond
		cluster.run(2 * time.Second)
		cluster.loss = 0.05
		ids := cluster.sendRequests("r", "/", cluster.others("dc0", ""), 60, 100*time.Millisecond)
		cluster.loss = 0
		cluster.checkFinished(ids, 60*time.Second)
		for _, vm := range sortedKeys(cluster.nodes) {
			assert.Equal(t, cluster.ownerOf(vm).scheduled(), 0, "%s", vm)
		}
	}
}

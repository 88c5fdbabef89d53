package decider

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestFaultsInAnyOrder drives a data centre through random faults. Once they
// are over, every request of a live entry VM must have exactly one final
// answer, and no slot may stay in use.
func TestFaultsInAnyOrder(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(draw *rapid.T) {
		seed := int64Of(draw, "seed", 1000)
		cluster := newCluster(draw, seed, 1, 4)
		cluster.service = 700 * time.Millisecond
		cluster.run(2 * time.Second)
		taken := make(map[definer.RequestID]definer.Member)
		for round := range int(int64Of(draw, "rounds", 8)) + 1 {
			cluster.injectFault(draw, round)
			for index, vm := range sortedKeys(cluster.nodes) {
				id := fmt.Sprintf("r%02d-%d", round, index)
				if node := cluster.nodes[vm]; !node.frozen {
					taken[definer.RequestID(id)] = node.decider.Self()
					cluster.request(vm, id, []string{"/", "/desk"}[index%2])
				}
			}
			cluster.run(time.Duration(int64Of(draw, "wait", 3000)) * time.Millisecond)
		}
		cluster.cut, cluster.loss = nil, 0
		for _, vm := range sortedKeys(cluster.nodes) {
			cluster.resume(vm)
		}
		cluster.run(60 * time.Second)
		for _, id := range sortedKeys(taken) {
			if node, ok := cluster.nodes[taken[id].VM]; ok && node.decider.Self() == taken[id] {
				assert.Assert(draw, cluster.ended[id] == "finished" || cluster.interrupted(id), "%s: %q", id, cluster.ended[id])
			}
		}
		for _, vm := range sortedKeys(cluster.nodes) {
			assert.Equal(draw, cluster.ownerOf(vm).scheduled(), 0, "%s", vm)
			assert.Equal(draw, cluster.nodes[vm].decider.core.openRequests, 0, "%s", vm)
			assert.Equal(draw, len(cluster.nodes[vm].decider.core.roster.members), len(cluster.nodes), "%s", vm)
		}
	})
}

func int64Of(draw *rapid.T, label string, below int) int64 {
	return int64(rapid.IntRange(0, below-1).Draw(draw, label))
}

// interrupted reports whether the work of a request was cancelled at its
// upstream while its entry VM was unreachable.
func (cluster *cluster) interrupted(id definer.RequestID) bool {
	for attempt := range 10 {
		if slices.Contains(cluster.canceled, attemptID(id, attempt)) {
			return cluster.ended[id] == string(messenger.UpstreamFailed)
		}
	}
	return false
}

// injectFault applies one random fault.
func (cluster *cluster) injectFault(draw *rapid.T, round int) {
	vms := sortedKeys(cluster.nodes)
	vm := vms[int64Of(draw, "node", len(vms))]
	node := cluster.nodes[vm]
	switch int64Of(draw, "fault", 7) {
	case 0:
		delete(cluster.nodes, vm)
		cluster.start(listedVM(string(vm), 0), node.decider.Self().Incarnation+1)
	case 1, 2:
		node.frozen = true
	case 3:
		cluster.resume(vm)
	case 4:
		cluster.cut = func(from, to definer.VM) bool { return (from == vm) != (to == vm) }
	case 5:
		cluster.cut, cluster.loss = nil, 0.05
	case 6:
		if len(vms) > 2 {
			delete(cluster.nodes, vm)
		}
		cluster.start(listedVM(fmt.Sprintf("dc0-extra%d", round), 0), 1)
	}
}

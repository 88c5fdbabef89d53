package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// TestDrainUnderLoadLosesNothing stops an owner or an entry VM under load:
// every request finishes, and the node stops.
func TestDrainUnderLoadLosesNothing(t *testing.T) {
	for _, who := range []string{"owner", "entry"} {
		t.Run(who, func(t *testing.T) {
			cluster := newCluster(t, 1, 1, 3)
			cluster.run(2 * time.Second)
			stopping := cluster.owner("dc0-vm0", "dc0")
			if who == "entry" {
				stopping = cluster.others("dc0", stopping)[0]
			}
			others := cluster.others("dc0", stopping)
			ids := cluster.sendRequests("r", "/", append(others, stopping), 12, 50*time.Millisecond)
			cluster.handle(cluster.nodes[stopping], DrainRequested{})
			asked := cluster.now
			cluster.request(stopping, "late", "/")
			assert.Equal(t, cluster.ended["late"], "draining")
			ids = append(ids, cluster.sendRequests("s", "/", others, 6, 50*time.Millisecond)...)
			if who == "owner" {
				assert.Assert(t, cluster.owner(others[0], "dc0") != stopping, "the others rank another owner first at once")
			}
			cluster.checkFinished(ids, 40*time.Second)
			assert.DeepEqual(t, cluster.stopped, []definer.VM{stopping})
			cluster.checkOrderedAfter(asked)
			assert.Assert(t, cluster.peak["dc0"] <= totalSlots)
		})
	}
}

func TestLastMemberOfADataCentreDrains(t *testing.T) {
	cluster := newCluster(t, 1, 2, 1)
	cluster.run(2 * time.Second)
	ids := cluster.sendRequests("r", "/", []definer.VM{"dc0-vm0"}, 8, 10*time.Millisecond)
	cluster.handle(cluster.nodes["dc0-vm0"], DrainRequested{})
	cluster.checkFinished(ids, 20*time.Second)
	assert.DeepEqual(t, cluster.stopped, []definer.VM{"dc0-vm0"})
}

func TestDataCentresServeTheirOwnWhileCutOff(t *testing.T) {
	cluster := newCluster(t, 1, 2, 2)
	cluster.service = 500 * time.Millisecond
	cluster.run(2 * time.Second)
	cluster.cut = func(from, to definer.VM) bool { return from[:3] != to[:3] }
	cluster.run(5 * time.Second)
	var ids []definer.RequestID
	for _, dataCentre := range []definer.DataCentre{"dc0", "dc1"} {
		started := cluster.now
		ids = append(ids, cluster.sendRequests(string(dataCentre), "/", cluster.others(dataCentre, ""), 10, 20*time.Millisecond)...)
		assert.Assert(t, cluster.servedAfter(started, dataCentre) < time.Second)
	}
	cluster.checkFinished(ids, 10*time.Second)
	cluster.cut = nil
	cluster.run(6 * time.Second)
	for _, vm := range sortedKeys(cluster.nodes) {
		assert.Equal(t, len(cluster.nodes[vm].decider.core.roster.members), 4, "%s", vm)
	}
}

func TestMembersReplacedOneByOneUnderLoad(t *testing.T) {
	cluster := newCluster(t, 1, 1, 4)
	cluster.service = time.Second
	cluster.run(2 * time.Second)
	var ids []definer.RequestID
	for index, old := range append([]ListedVM(nil), cluster.listed...) {
		replacement := listedVM(fmt.Sprintf("dc0-new%d", index), 0)
		cluster.listed = append(cluster.listed, replacement)
		cluster.start(replacement, 1)
		cluster.run(time.Second)
		stopping := definer.VM(old.Name)
		ids = append(ids, cluster.sendRequests(fmt.Sprintf("r%d-", index), "/", cluster.others("dc0", ""), 10, 20*time.Millisecond)...)
		cluster.handle(cluster.nodes[stopping], DrainRequested{})
		ids = append(ids, cluster.sendRequests(fmt.Sprintf("s%d-", index), "/", cluster.others("dc0", stopping), 6, 20*time.Millisecond)...)
		cluster.run(8 * time.Second)
	}
	cluster.checkFinished(ids, 30*time.Second)
	assert.Equal(t, len(cluster.stopped), 4)
	assert.Assert(t, cluster.peak["dc0"] <= totalSlots, "%d ran", cluster.peak["dc0"])
}

// TestLeavingUpstreamGetsNoNewWork checks that an upstream that is leaving gets
// no new work, even after the owner that was told is lost.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	tell := map[string]func(cluster *cluster){
		"its own word, at any entry VM": func(cluster *cluster) {
			owner := cluster.owner("dc0-vm0", "dc0")
			cluster.handle(cluster.nodes[cluster.others("dc0", owner)[0]], UpstreamLeaving{Name: "dc0-engine0"})
		},
		"the platform's list, by address": func(cluster *cluster) {
			vms := append(append([]ListedVM(nil), cluster.listed...), ListedVM{Name: "vm-77", DataCentre: "dc0", Address: "10.0.1.0:22", Upstream: true, Leaving: true})
			for _, vm := range sortedKeys(cluster.nodes) {
				cluster.handle(cluster.nodes[vm], VMsListed{VMs: vms})
			}
		},
	}
	for name, tell := range tell {
		t.Run(name, func(t *testing.T) {
			cluster := newCluster(t, 1, 1, 3)
			cluster.service = 200 * time.Millisecond
			cluster.run(2 * time.Second)
			ids := cluster.sendRequests("r", "/", cluster.others("dc0", ""), 10, 50*time.Millisecond)
			tell(cluster)
			announced := cluster.now
			// The mark is kept when the owner that received it is lost.
			cluster.run(500 * time.Millisecond)
			delete(cluster.nodes, cluster.owner("dc0-vm0", "dc0"))
			cluster.run(3 * time.Second)
			ids = append(ids, cluster.sendRequests("s", "/", cluster.others("dc0", ""), 20, 50*time.Millisecond)...)
			cluster.checkFinished(ids[10:], 10*time.Second)
			for _, start := range cluster.starts {
				assert.Assert(t, start.upstream != "dc0-engine0" || start.at.Before(announced.Add(100*time.Millisecond)), "%v", start)
			}
		})
	}
}

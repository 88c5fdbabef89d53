package detector_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/detector"
	"limpetcleat/messenger"
)

func TestMembersFindEachOther(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {1, 2}, {3, 3}, {4, 2}, {5, 12}} {
		t.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(t *testing.T) {
			network := newNetwork(size[0], size[1])
			t.Logf("all found after %v", network.runUntil(t, 5*time.Second, network.converged))
		})
	}
}

func TestFailureIsDeclaredInTime(t *testing.T) {
	for _, size := range [][2]int{{1, 2}, {4, 2}, {3, 3}, {5, 12}} {
		for _, loss := range []float64{0, 0.02} {
			t.Run(fmt.Sprintf("%dx%d loss %v", size[0], size[1], loss), func(t *testing.T) {
				var longest, found time.Duration
				rounds := 128 / (size[0] * size[1])
				for round := range rounds {
					network := newNetwork(size[0], size[1])
					network.loss = loss
					found = max(found, network.runUntil(t, 30*time.Second, network.converged))
					network.run(time.Second + time.Duration(round)*70*time.Millisecond)
					delete(network.nodes, "dc0-vm1")
					longest = max(longest, network.runUntil(t, 3*time.Second, network.converged))
				}
				t.Logf("all found after at most %v, a failure known to all after at most %v", found, longest)
				assert.Assert(t, longest <= 2500*time.Millisecond)
			})
		}
	}
}

func TestNobodyIsAccusedWhileMessagesAreLost(t *testing.T) {
	network := newNetwork(4, 2)
	network.run(3 * time.Second)
	network.loss = 0.1
	network.run(2 * time.Minute)
	for _, node := range network.sorted() {
		assert.Equal(t, len(node.gone), 0, "%s lost %v", node.member.VM, node.gone)
	}
}

func TestFrozenMemberAnnouncesItselfAnew(t *testing.T) {
	for _, freeze := range []time.Duration{time.Second, 4 * time.Second, 30 * time.Second} {
		t.Run(freeze.String(), func(t *testing.T) {
			network := newNetwork(4, 2)
			network.run(3 * time.Second)
			frozen := network.nodes["dc0-vm1"]
			frozen.frozen = true
			network.run(freeze)
			network.resume(frozen)
			t.Logf("alive to all after %v", network.runUntil(t, 2*time.Second, network.converged))
			network.run(5 * time.Second)
			assert.Assert(t, frozen.pausesNoticed >= 1)
			for _, node := range network.sorted() {
				for _, gone := range node.gone {
					assert.Equal(t, gone.Member, frozen.member, "%s declared a running member failed", node.member.VM)
				}
			}
			assert.Assert(t, network.converged())
		})
	}
}

func TestDataCentresAreCutOffAndHeal(t *testing.T) {
	network := newNetwork(3, 3)
	network.run(3 * time.Second)
	network.cut = func(from, to *node) bool { return (from.dataCentre == "dc0") != (to.dataCentre == "dc0") }
	network.run(10 * time.Second)
	for _, node := range network.sorted() {
		for _, other := range network.sorted() {
			assert.Equal(t, node.sees(other.member), (node.dataCentre == "dc0") == (other.dataCentre == "dc0"), "%s of %s", node.member.VM, other.member.VM)
		}
	}
	network.cut = nil
	t.Logf("healed after %v", network.runUntil(t, 6*time.Second, network.converged))
}

func TestRestartIsAnotherMember(t *testing.T) {
	network := newNetwork(3, 3)
	network.run(3 * time.Second)
	old := network.nodes["dc0-vm1"]
	network.start(network.listed[1], 2)
	network.runUntil(t, time.Second, network.converged)
	watcher := network.nodes["dc0-vm0"]
	assert.Equal(t, watcher.gone[0].Member, old.member)
	// A late message of the earlier incarnation changes nothing.
	network.process(watcher, watcher.detector.Receive(network.now, old.member, &messenger.Heartbeat{Changes: []messenger.MemberChange{
		{Member: old.member, DataCentre: old.dataCentre, Address: "dc0-vm1", State: messenger.Alive, Sequence: 99},
	}}))
	assert.Assert(t, !watcher.sees(old.member))
}

// Guards against a node that is taken for its earlier process for good, since its clock, from which it takes its
// incarnation, was set back between its starts.
func TestRestartWithAClockThatWasSetBack(t *testing.T) {
	network := newNetwork(3, 3)
	network.start(network.listed[1], 3000)
	network.run(3 * time.Second)
	network.start(network.listed[1], 600)
	network.runUntil(t, 4*time.Second, network.converged)
}

func TestListOnlyProposes(t *testing.T) {
	network := newNetwork(2, 2)
	ghost := detector.Proposal{VM: "ghost", DataCentre: "dc0", Address: "ghost"}
	network.listed = append(network.listed, ghost)
	network.proposeListed()
	network.run(5 * time.Second)
	assert.Assert(t, network.converged(), "a listed VM that never answered is no member")
	network.listed = network.listed[:1]
	network.proposeListed()
	network.run(20 * time.Second)
	assert.Assert(t, network.converged(), "members that answer stay without the list")
	delete(network.nodes, "dc1-vm1")
	network.run(20 * time.Second)
	assert.Assert(t, network.converged())
}

func (network *network) proposeListed() {
	for _, node := range network.sorted() {
		network.process(node, node.detector.Propose(network.now, network.listed))
	}
}

func TestLeavingAndDrainingSpread(t *testing.T) {
	network := newNetwork(4, 2)
	network.run(3 * time.Second)
	leaver := network.nodes["dc0-vm1"]
	network.process(leaver, leaver.detector.SetDraining(network.now, true))
	took := network.runUntil(t, time.Second, func() bool {
		for _, node := range network.nodes {
			for _, member := range node.detector.Members() {
				if member.Member == leaver.member && !member.Draining {
					return false
				}
			}
		}
		return true
	})
	t.Logf("draining known to all after %v", took)
	network.process(leaver, leaver.detector.Leave(network.now))
	network.run(100 * time.Millisecond)
	delete(network.nodes, "dc0-vm1")
	t.Logf("leaving known to all after %v more", network.runUntil(t, time.Second, network.converged))
}

func TestMembersAreReplacedOneByOne(t *testing.T) {
	network := newNetwork(4, 2)
	network.run(3 * time.Second)
	for index := range len(network.listed) {
		old := network.listed[index]
		delete(network.nodes, old.VM)
		network.listed[index] = detector.Proposal{VM: old.VM + "-new", DataCentre: old.DataCentre, Address: string(old.VM + "-new")}
		network.start(network.listed[index], definer.Incarnation(10+index))
		network.run(time.Second)
		if index%3 == 0 {
			network.proposeListed()
		}
	}
	network.runUntil(t, 4*time.Second, network.converged)
}

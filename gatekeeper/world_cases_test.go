package gatekeeper

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/exchanger"
	"limpetcleat/ranker"
)

// issuer returns the node that issues the permits of connections while there are no faults.
func (world *world) issuer() *worldNode {
	var first *worldNode
	weight := uint64(0)
	for _, node := range world.nodes {
		if rank := ranker.Weight(string(world.start.Upstream), string(node.peer.VM)); node.peer.DataCentre == "d0" && rank > weight {
			first, weight = node, rank
		}
	}
	return first
}

// each does something with the nodes that the function selects.
func (world *world) each(selects func(number int) bool, do func(node *worldNode)) {
	for number, node := range world.nodes {
		if selects(number) {
			do(node)
		}
	}
}

func (world *world) sever(severed func(from, to int) bool) {
	world.mutex.Lock()
	world.severed = severed
	world.mutex.Unlock()
	world.reconnect()
}

// largeAccepted is the number of connections that the upstream of the largest world accepts.
const largeAccepted = 460

// worldFault is a change of the fleet in a burst, and its end.
type worldFault struct {
	begin, end func(world *world)
	// large is set if the fault is played with the largest fleet too.
	large bool
}

func worldFaults() map[string]worldFault {
	none := func(*world) {}
	all := func(int) bool { return true }
	half := func(number int) bool { return number%2 == 1 }
	whole := func(world *world) { world.sever(func(int, int) bool { return false }) }
	return map[string]worldFault{
		"none":          {none, none, false},
		"issuer killed": {func(world *world) { world.issuer().kill() }, func(world *world) { world.issuer().restart() }, false},
		"issuer frozen": {func(world *world) { world.issuer().freeze() }, func(world *world) { world.issuer().thaw() }, false},
		"half frozen":   {func(world *world) { world.each(half, (*worldNode).freeze) }, func(world *world) { world.each(half, (*worldNode).thaw) }, false},
		"half killed":   {func(world *world) { world.each(half, (*worldNode).kill) }, func(world *world) { world.each(half, (*worldNode).restart) }, false},
		"all restarted": {func(world *world) {
			world.each(all, (*worldNode).kill)
			world.each(all, (*worldNode).restart)
		}, none, false},
		"issuer cut off": {func(world *world) {
			issuer := world.issuer().number
			world.sever(func(from, to int) bool { return (from == issuer) != (to == issuer) })
		}, whole, false},
		"data centre cut off": {func(world *world) { world.sever(func(from, to int) bool { return (from%3 == 0) != (to%3 == 0) }) }, whole, false},
		"half cut off":        {func(world *world) { world.sever(func(from, to int) bool { return from%2 != to%2 }) }, whole, true},
		"messages lost":       {func(world *world) { world.setLost(0.33) }, func(world *world) { world.setLost(0) }, false},
		"lists that differ": {func(world *world) {
			world.each(half, func(node *worldNode) { node.setList(world.nodes[0].list[:(2*len(world.nodes)+2)/3]) })
		}, func(world *world) { world.each(half, func(node *worldNode) { node.setList(world.nodes[0].list) }) }, false},
	}
}

func (world *world) setLost(lost float64) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.lost = lost
}

func (node *worldNode) setList(list []exchanger.Peer) {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	node.list = list
}

// TestConnectionsKeepWithinWhatIsAccepted plays a burst of twice what an upstream can run, beside faults of
// the fleet.
//
// It guards against nodes that together have more connections open than the upstream accepts, and against
// permits that are never returned.
func TestConnectionsKeepWithinWhatIsAccepted(t *testing.T) {
	sizes := []struct {
		nodes, accepted int
		weights         func(nodes int) []float64
	}{{2, 40, evenly}, {4, 2, evenly}, {16, 40, evenly}, {16, 110, heavy}, {66, 60, heavy}, {66, largeAccepted, heavy}}
	for name, fault := range worldFaults() {
		for _, size := range sizes {
			if size.accepted == largeAccepted && !fault.large {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d nodes, %d accepted", name, size.nodes, size.accepted), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					world := newWorld(1, size.nodes, size.accepted, (size.accepted+5)/6)
					world.play(t, fault, size.weights(size.nodes))
				})
			})
		}
	}
}

// TestFewConnectionsAreUsed sends the usual load to an upstream that accepts fewer connections than there are
// nodes.
//
// It guards against shares that are rounded down to none, so that the upstream is never used.
func TestFewConnectionsAreUsed(t *testing.T) {
	for _, size := range []struct{ nodes, accepted int }{{1, 1}, {2, 1}, {2, 2}, {4, 2}, {16, 3}, {66, 8}} {
		t.Run(fmt.Sprintf("%d nodes, %d accepted", size.nodes, size.accepted), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(1, size.nodes, size.accepted, 1)
				world.load(0.5, 4*time.Second, evenly(size.nodes))
				<-time.After(5 * time.Second)
				before := world.counts()
				world.load(0.5, 6*time.Second, evenly(size.nodes))
				<-time.After(worldPatience)
				after := world.counts()
				world.end()
				share := float64(after.served-before.served) / float64(after.sent-before.sent)
				t.Logf("%.2f served, %d reset", share, world.reset)
				assert.Check(t, share >= 0.4 && world.reset == 0, "%.2f served, %d reset", share, world.reset)
			})
		})
	}
}

// play plays the usual load, a burst with a fault, and the end of both.
func (world *world) play(t *testing.T, fault worldFault, weights []float64) {
	t.Helper()
	world.load(0.5, 3*time.Second, weights)
	before, began := world.counts(), time.Now()
	world.load(2, time.Second, weights)
	fault.begin(world)
	world.load(2, 4*time.Second, weights)
	fault.end(world)
	world.load(2, time.Second, weights)
	burst, span := world.counts(), time.Since(began).Seconds()
	world.load(0.5, time.Second, weights)
	<-time.After(3 * worldIdle)
	holdings, open := 0, 0
	for _, node := range world.nodes {
		nodeHoldings, nodeOpen := node.held()
		holdings, open = holdings+nodeHoldings, open+nodeOpen
	}
	world.end()
	share := float64(burst.served-before.served) * worldWork.Seconds() / float64(cap(world.slots)) / span
	t.Logf("usual: %d of %d served; burst: %.2f of what can be run; at most %d of %d open, %d reset, %.0f messages/s in the burst",
		before.served, before.sent, share, world.mostOpen, world.accepted, world.reset, float64(burst.messages-before.messages)/span)
	assert.Check(t, world.reset == 0, "%d connections were reset", world.reset)
	assert.Check(t, holdings == 0 && open == 0, "%d permits are still held, %d connections counted", holdings, open)
}

// worldCounts are the numbers of a world at one time.
type worldCounts struct{ sent, served, messages int }

func (world *world) counts() worldCounts {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return worldCounts{world.sent, world.served, world.messages}
}

package exchanger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// deployments returns the sizes of the users' deployments by data centre, with their
// numbers of upstreams.
func deployments() map[string]struct {
	sizes     []int
	upstreams int
} {
	return map[string]struct {
		sizes     []int
		upstreams int
	}{
		"4":   {[]int{2, 2}, 12},
		"59":  {[]int{20, 20, 19}, 140},
		"295": {[]int{99, 98, 98}, 1000},
	}
}

// TestFleetHoldsOffWhatEndsUpstreams sends requests that crash their upstreams through
// random nodes of a fleet, beside other requests and under various failures.
//
// The number of upstreams that such a request crashes before all nodes hold it off is
// three, plus those that it is sent to while the facts spread to all nodes: some 0.3 s
// with three data centres.
func TestFleetHoldsOffWhatEndsUpstreams(t *testing.T) {
	slow := load{guilty: 1, callers: 1, every: 1200 * time.Millisecond, others: 300}
	usual := load{guilty: 1, callers: 1, every: 150 * time.Millisecond, others: 300}
	cases := []struct {
		name string
		load load
		// trouble injects failures; it is called at each tick.
		trouble func(world *world)
	}{
		{"calm", usual, func(*world) {}},
		{"ten callers at once", load{guilty: 1, callers: 10, every: 150 * time.Millisecond, others: 300}, func(*world) {}},
		{"four requests at once", load{guilty: 4, callers: 1, every: 300 * time.Millisecond, others: 300}, func(*world) {}},
		{"reports lost", usual, func(world *world) { world.lossRate = 0.2 }},
		{"nodes cut off in turn", usual, (*world).cutInTurn},
		{"nodes started again in turn", usual, (*world).restartInTurn},
		{"upstreams killed at once beside it", usual, (*world).killMany},
		{"a slow caller while aggregators are away in turn", slow, (*world).loseAggregators},
	}
	for size, fleet := range deployments() {
		for _, test := range cases {
			for seed := range uint64(worldSeeds) {
				t.Run(fmt.Sprintf("%s/%s/%d", size, test.name, seed), func(t *testing.T) {
					t.Parallel()
					world := newWorld(t, seed, fleet.upstreams, fleet.sizes...)
					world.runLoad(test.load.span(), test.load, func() { test.trouble(world) })
					world.check()
				})
			}
		}
	}
}

// cutInTurn partitions one random node from all others for a second, then another.
func (world *world) cutInTurn() {
	if world.now.UnixNano()%int64(time.Second) != 0 {
		return
	}
	for vm := range world.cut {
		world.node(vm).disturbed = world.now
		delete(world.cut, vm)
	}
	world.cut[world.pick().peer.VM] = true
}

// restartInTurn restarts a random node or the first aggregator every half second.
func (world *world) restartInTurn() {
	if world.now.UnixNano()%int64(500*time.Millisecond) != 0 {
		return
	}
	node := world.pick()
	if world.random.IntN(2) == 0 {
		node = world.nodes[0]
	}
	world.start(node)
}

// loseAggregators partitions a random aggregator for 2 s, and another one every 3 s.
func (world *world) loseAggregators() {
	into := time.Duration(world.now.UnixNano()) % (3 * time.Second)
	switch into {
	case 0:
		groups := world.nodes[0].exchanger.groups
		world.cut[groups[world.random.IntN(len(groups))][0].VM] = true
	case 2 * time.Second:
		for vm := range world.cut {
			world.node(vm).disturbed = world.now
			delete(world.cut, vm)
		}
	}
}

// killMany crashes a fifth of the upstreams at once, every two seconds.
func (world *world) killMany() {
	if world.now.UnixNano()%int64(2*time.Second) != 0 {
		return
	}
	for range len(world.upstreams) / 5 {
		world.end(world.upstreams[world.random.IntN(len(world.upstreams))])
	}
}

// TestNoRequestIsRefusedForItsCompany checks that no innocent request is held off when
// many upstreams crash again and again by themselves, while most of them run one request
// that is sent a hundred times a second and others that are sent once or now and then.
func TestNoRequestIsRefusedForItsCompany(t *testing.T) {
	for size, fleet := range deployments() {
		for seed := range uint64(worldSeeds) {
			t.Run(fmt.Sprintf("%s/%d", size, seed), func(t *testing.T) {
				t.Parallel()
				world := newWorld(t, seed, fleet.upstreams, fleet.sizes...)
				world.runLoad(10*time.Second, load{others: 300}, world.killMany)
				t.Logf("%d served, %d refused", world.served, world.refused)
				assert.Equal(t, world.refused, 0)
			})
		}
	}
}

// TestStartedNodeKnowsWithin checks that a node which starts while a request is held off
// also holds it off within the time that the users require, without having sent it
// itself.
func TestStartedNodeKnowsWithin(t *testing.T) {
	for size, fleet := range deployments() {
		t.Run(size, func(t *testing.T) {
			t.Parallel()
			world := newWorld(t, 3, fleet.upstreams, fleet.sizes...)
			world.runLoad(3*time.Second, load{guilty: 1, callers: 1, every: 150 * time.Millisecond}, func() {})
			late := world.nodes[len(world.nodes)-1]
			first := world.nodes[0]
			world.start(late)
			world.start(first)
			for _, node := range []*member{late, first} {
				assert.Equal(t, node.suspects.Check(world.now, identityOf("guilty 0")).HeldFor, time.Duration(0))
			}
			world.play(propagationBound, func() {})
			for _, node := range []*member{late, first} {
				assert.Assert(t, node.suspects.Check(world.now, identityOf("guilty 0")).HeldFor > 0, "%s", node.peer.VM)
			}
		})
	}
}

// TestFactsReachAllNodes bounds the time until all nodes hold off a request that one of
// them has seen crash three upstreams. Crashes within this time cannot be prevented.
func TestFactsReachAllNodes(t *testing.T) {
	// Reports between any two nodes pass three stages; each may have to wait for an
	// interval, since latencies in the model are longer than the time between two stages.
	const allWithin = time.Duration(stageCount) * (interval + maxLatency)
	for size, fleet := range deployments() {
		t.Run(size, func(t *testing.T) {
			world := newWorld(t, 4, fleet.upstreams, fleet.sizes...)
			var all time.Duration
			for count := range 60 {
				identity := identityOf(fmt.Sprint("guilty ", count))
				teller := world.pick()
				for _, upstream := range world.upstreams[:crashesUntilHeld] {
					teller.suspects.RecordCrash(world.now, upstream.start, identity)
				}
				told := world.now
				world.play(time.Duration(400+world.random.IntN(25)*4)*time.Millisecond, func() {
					for _, node := range world.nodes {
						if node.suspects.UnclearedCrashes(identity) < crashesUntilHeld {
							all = max(all, world.now.Sub(told))
						}
					}
				})
			}
			t.Logf("everywhere after %v", all)
			assert.Assert(t, all <= allWithin)
		})
	}
}

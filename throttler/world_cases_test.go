package throttler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/exchanger"
)

const (
	// window, factor and slack define the users' bound on the requests that an upstream with a
	// limit gets.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// settlingTime is how long after the first announcement of a limit the bound begins to hold.
	settlingTime = 3 * time.Second
	// minUse is the least part of a limit that is used in the calm case, where three times the
	// limit is asked for. It leaves out unusedPermits, which random gaps between requests may
	// leave over.
	minUse        = 0.7
	unusedPermits = 3
	// worldSeeds is the number of random runs of each case; for a longer manual run set it to 50.
	worldSeeds = 2
)

// faults returns the faults of the issuer of the first upstream, or of other nodes, by name.
// Each begins some seconds after the start and includes the time after the fault.
func faults() map[string]func(world *world) {
	return map[string]func(world *world){
		"calm": func(world *world) { world.run(20 * time.Second) },
		"issuer killed and back": func(world *world) {
			node := world.primaryIssuer(world.upstreams[0])
			node.down, node.excluded = true, true
			world.run(2500 * time.Millisecond)
			node.start()
			world.run(20 * time.Second)
		},
		"issuer gone for good": func(world *world) {
			node := world.primaryIssuer(world.upstreams[0])
			node.down, node.excluded = true, true
			world.run(20 * time.Second)
		},
		"issuer frozen again and again": func(world *world) {
			node := world.primaryIssuer(world.upstreams[0])
			node.excluded = true
			for range 3 {
				node.frozen = true
				world.run(4500 * time.Millisecond)
				node.thaw()
				world.run(5 * time.Second)
			}
		},
		"issuer frozen for 1, 2 and 5 s": func(world *world) {
			node := world.primaryIssuer(world.upstreams[0])
			node.excluded = true
			for _, seconds := range []time.Duration{1, 2, 5} {
				node.frozen = true
				world.run(seconds * time.Second)
				node.thaw()
				world.run(4 * time.Second)
			}
		},
		"issuer cut off from all nodes": func(world *world) {
			node := world.primaryIssuer(world.upstreams[0])
			node.excluded = true
			world.severed = func(from, to *member) bool { return from != to && (from == node || to == node) }
			world.run(8 * time.Second)
			world.severed = func(_, _ *member) bool { return false }
			world.run(12 * time.Second)
		},
		"issuer is not heard": func(world *world) {
			node := world.primaryIssuer(world.upstreams[0])
			node.excluded = true
			world.severed = func(from, _ *member) bool { return from == node }
			world.run(8 * time.Second)
			world.severed = func(_, _ *member) bool { return false }
			world.run(12 * time.Second)
		},
		"half of the nodes cut off from the others": func(world *world) {
			world.severed = func(from, to *member) bool { return from.number()%2 != to.number()%2 }
			for _, node := range world.nodes {
				node.excluded = node.number()%2 == 1
			}
			world.run(8 * time.Second)
			world.severed = func(_, _ *member) bool { return false }
			world.run(12 * time.Second)
		},
		"a third of all messages lost": func(world *world) {
			world.lost = 1.0 / 3
			world.run(20 * time.Second)
		},
		"half of the nodes miss another on their lists": func(world *world) {
			missing := world.primaryIssuer(world.upstreams[0]).peer.VM
			for _, node := range world.nodes {
				if node.number()%2 == 0 && node.peer.VM != missing {
					node.list = nil
					for _, peer := range world.peers() {
						if peer.VM != missing {
							node.list = append(node.list, peer)
						}
					}
				}
			}
			world.run(12 * time.Second)
			for _, node := range world.nodes {
				node.list = world.peers()
			}
			world.run(8 * time.Second)
		},
		"two miss each other on their lists": func(world *world) {
			first, second := world.primaryIssuer(world.upstreams[0]), world.standInIssuer(world.upstreams[0])
			for _, node := range world.nodes {
				missing := first
				if node == first || node != second && node.number()%2 == 0 {
					missing = second
				}
				node.list = slices.DeleteFunc(world.peers(), func(peer exchanger.Peer) bool { return peer.VM == missing.peer.VM })
			}
			world.run(12 * time.Second)
			for _, node := range world.nodes {
				node.list = world.peers()
			}
			world.run(8 * time.Second)
		},
		"nodes start again in turn": func(world *world) {
			for _, node := range world.nodes[:min(len(world.nodes), 12)] {
				node.down, node.excluded = true, true
				world.run(500 * time.Millisecond)
				node.start()
				world.run(500 * time.Millisecond)
			}
			world.run(5 * time.Second)
		},
	}
}

func (member *member) number() int {
	number := 0
	_, _ = fmt.Sscanf(string(member.peer.VM), "entry-%d", &number)
	return number
}

// TestLimitsAreKeptThroughTroubles has fleets of each size ask for three times the limits under
// faults: in no window may an upstream get more than the users' bound from nodes without a fault,
// and in the calm case most of each limit must be used.
func TestLimitsAreKeptThroughTroubles(t *testing.T) {
	for _, nodes := range []int{2, 8, 81, 390} {
		for name, fault := range faults() {
			for seed := range uint64(worldSeeds) {
				t.Run(fmt.Sprintf("%d nodes/%s/%d", nodes, name, seed), func(t *testing.T) {
					t.Parallel()
					world := newWorld(seed, nodes, 0.5, 2.2, 10, 40)
					world.run(settlingTime)
					from := world.now
					world.run(3 * time.Second)
					fault(world)
					for _, upstream := range world.upstreams {
						most, all := upstream.busiestWindow(window, from)
						allowed := int(factor*upstream.limit*window.Seconds()) + slack
						whole := upstream.limit * world.now.Sub(from).Seconds()
						part := float64(all) / whole
						t.Logf("limit %v: at most %d of %d in %v; %.2f of it used", upstream.limit, most, allowed, window, part)
						assert.Check(t, most <= allowed, "%v: %d in %v; allowed are %d", upstream.limit, most, window, allowed)
						if name == "calm" {
							assert.Check(t, float64(all) >= minUse*whole-unusedPermits, "%v: %.2f of the limit is used", upstream.limit, part)
						}
					}
				})
			}
		}
	}
}

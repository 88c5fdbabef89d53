package steward_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestHowLongADutyRests holds, for what may become of the node that tells usage, that each
// window is told in time, whenever in a window it comes; it logs the longest time between a
// window's end and its being told.
func TestHowLongADutyRests(t *testing.T) {
	holderAlone := func(world *world) func(*node) bool {
		return func(node *node) bool { return node == world.nodes[0] }
	}
	cases := []struct {
		name    string
		trouble func(world *world) (end func())
	}{
		{"killed", func(world *world) func() { world.nodes[0].kill(); return world.nodes[0].start }},
		{"stopped as planned", func(world *world) func() { world.nodes[0].stop(); return world.nodes[0].start }},
		{"frozen", func(world *world) func() { world.nodes[0].freeze(); return world.nodes[0].thaw }},
		{"cut from all nodes", func(world *world) func() {
			world.sever(func(from, to *node) bool { return (from.place == 0) != (to.place == 0) })
			return func() { world.sever(func(_, _ *node) bool { return false }) }
		}},
		{"turned away by the store", func(world *world) func() {
			return world.set(&world.store, trouble{down: holderAlone(world)})
		}},
		{"not answered by the store", func(world *world) func() {
			return world.set(&world.store, trouble{silent: holderAlone(world)})
		}},
		{"not answered by the platform", func(world *world) func() {
			return world.set(&world.authority, trouble{silent: holderAlone(world)})
		}},
		{"before a slow store", func(world *world) func() {
			return world.set(&world.store, trouble{slow: 240 * time.Millisecond})
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var longest time.Duration
			for second := range 5 {
				synctest.Test(t, func(t *testing.T) {
					world := newWorld(t, uint64(second), 12)
					for _, node := range world.nodes {
						node.start()
					}
					defer world.stopAll()
					world.serve(11*time.Second, 20)
					first := current()
					world.serve(time.Duration(second)*time.Second, 20)
					end := test.trouble(world)
					world.serve(12*time.Second, 20)
					end()
					world.serve(15*time.Second, 20)
					world.checkTold(first, current()-2)
					longest = max(longest, world.latest(first, current()-2))
				})
			}
			t.Logf("%v at the longest", longest.Round(10*time.Millisecond))
			assert.Assert(t, longest <= usageDeadline)
		})
	}
}

package endtoend_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/standin/engine"
)

const (
	secondModel = "model-b"
	// takeoverLimit is the lease's duration, the wait of those who stand by, and
	// time for a busy machine.
	takeoverLimit = 90 * time.Second
)

// orderState is an engine's own account of the orders it took.
func (upstream *upstream) orderState(t *testing.T) engine.OrderState {
	t.Helper()
	state, err := upstream.control().OrderState(context.Background())
	assert.NilError(t, err)
	return state
}

// want edits what the first engine is to be.
func (system *system) want(base uint64, role string) uint64 {
	document := system.document()
	first := &document.Pools[0].Upstreams[0]
	first.ChecksFencing = true
	first.Wanted = &definer.WantedDocument{Models: []string{modelName, secondModel}, Role: role}
	return system.edit(editor.Replace(base, role, document))
}

// orderer returns the entry that says it holds the lease of west.
func (system *system) orderer(not *entry) *entry {
	system.t.Helper()
	var holder *entry
	eventually(system.t, takeoverLimit, "somebody holds the lease", func() bool {
		for _, entry := range system.alive() {
			if entry != not && entry.status().Orders != nil && entry.status().Orders.Held {
				holder = entry
			}
		}
		return holder != nil
	})
	return holder
}

// TestOrdersUnderALease has an engine brought to its wanted state, the holder of
// the lease stopped for longer than the lease, another take over and the first
// come back.
func TestOrdersUnderALease(t *testing.T) {
	system := startShape(t, shape{entries: []string{west, west}, engines: []string{west}})
	system.engines[0] = system.startUpstream("checking", west, "standin", "engine", "-models", modelName, "-fencing")
	reaches := func(role string) {
		eventually(t, takeoverLimit, "the engine has the role "+role, func() bool {
			state := system.engines[0].orderState(t)
			return state.Role == role && slices.Contains(state.Models, secondModel)
		})
	}
	version := system.want(system.entries[0].status().Configuration, "prefill")
	reaches("prefill")
	holder := system.orderer(nil)
	first := system.engines[0].orderState(t)

	holder.process.Freeze()
	version = system.want(version, "decode")
	next := system.orderer(holder)
	reaches("decode")
	second := system.engines[0].orderState(t)
	assert.Assert(t, second.Fencing > first.Fencing)

	holder.process.Thaw()
	eventually(t, takeoverLimit, "the first holder knows that it holds nothing", func() bool {
		orders := holder.status().Orders
		return orders != nil && !orders.Held
	})
	assert.Assert(t, next.status().Orders.Held)
	system.want(version, "both")
	reaches("both")
	last := system.engines[0].orderState(t)
	assert.Assert(t, last.Fencing > second.Fencing)
	// Each order was taken once: a model and a role at first, then two roles.
	assert.Equal(t, last.Taken, 4)
}

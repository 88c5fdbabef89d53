package endtoend_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/storer"
)

// TestPlannedStop stops a node under load: no request that it took is cut, the
// queued ones included, and it ends with exit code 0.
func TestPlannedStop(t *testing.T) {
	for _, owns := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner=%v", owns), func(t *testing.T) {
			t.Parallel()
			system := startShape(t, shape{entries: []string{west, west}, engines: []string{west}})
			stopping := system.owner(west, modelsPool)
			staying := system.other(west, stopping)
			if !owns {
				stopping, staying = staying, stopping
			}
			var calls []caller.Call
			var replies []<-chan caller.Reply
			begin := func(entry *entry, call caller.Call) {
				calls, replies = append(calls, call), append(replies, entry.begin(call))
			}
			for index := range 2 * engineSlots {
				begin(stopping, completion(fmt.Sprintf("stopping %d", index), streamTokens, index%2 == 0))
				begin(staying, completion(fmt.Sprintf("staying %d", index), streamTokens, index%2 == 0))
			}
			for index := range 2 * serviceSlot {
				begin(stopping, reservation(fmt.Sprintf("stopping-%d", index)))
			}
			eventually(t, startLimit, "requests are queued", func() bool {
				for _, entry := range system.entries {
					for _, shard := range entry.status().Shards {
						if string(shard.Pool) == modelsPool && shard.Running >= engineSlots && shard.Waiting > 0 {
							return true
						}
					}
				}
				return false
			})
			stopping.process.Stop()
			eventually(t, startLimit, "readiness fails", func() bool { return !stopping.ready() })
			for index, replied := range replies {
				got := <-replied
				assert.Assert(t, got.Whole, "%d: %v", index, got)
				assert.Assert(t, calls[index].Prompt == "" || got.Own(calls[index]) && got.Tokens == streamTokens, "%d: %v", index, got)
			}
			assert.Equal(t, stopping.process.exitCode(hangLimit), 0)
			for index := range 2 * serviceSlot {
				assert.Equal(t, system.runs(fmt.Sprintf("stopping-%d", index)), 1)
			}
			last := completion("afterwards", 5, true)
			eventually(t, startLimit, "the other serves alone", func() bool {
				got := staying.send(last)
				last = completion("afterwards", 5, true)
				return got.Whole
			})
		})
	}
}

// leavingLimit is how long a leaving engine may still get new work.
const leavingLimit = 3 * time.Second

// TestLeavingEngine tells in each way that an engine leaves: it gets no new
// work some seconds later, while the other takes all.
func TestLeavingEngine(t *testing.T) {
	cases := []struct {
		name string
		// away takes the platform away before the engine says that it leaves.
		away  bool
		leave func(system *system, engine *upstream)
	}{
		{"by the platform's list", false, func(system *system, engine *upstream) { system.listEngine(engine, "leaving") }},
		{"by its own word", false, (*system).leave},
		{"by its own word, platform away", true, (*system).leave},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			system := startShape(t, shape{entries: []string{west, west}, engines: []string{west, west}})
			leaving := system.engines[0]
			system.listEngine(leaving, "live")
			system.serveSome(t, 8)
			assert.Assert(t, leaving.relay.Counted() > 0, "the engine had no work before")
			system.platformFaults(map[string]any{"outage": test.away})
			test.leave(system, leaving)
			began := time.Now()
			for time.Since(began) < leavingLimit {
				system.serveSome(t, 4)
			}
			before := leaving.relay.Counted()
			system.serveSome(t, 16)
			assert.Equal(t, leaving.relay.Counted(), before, "new work after %v", leavingLimit)
		})
	}
}

// serveSome sends calls at once through all entries and expects whole answers.
func (system *system) serveSome(t *testing.T, count int) {
	t.Helper()
	var replies []<-chan caller.Reply
	for index := range count {
		replies = append(replies, system.entries[index%len(system.entries)].begin(completion(fmt.Sprintf("some %d", index), 6, index%2 == 0)))
	}
	for _, replied := range replies {
		got := <-replied
		assert.Assert(t, got.Whole, "%v", got)
	}
}

// leave makes an engine say that it leaves.
func (system *system) leave(engine *upstream) {
	system.t.Helper()
	assert.NilError(system.t, engine.control().Leave(context.Background()))
}

// listEngine sets an engine's line in the platform's list of VMs.
func (system *system) listEngine(engine *upstream, state string) {
	system.t.Helper()
	system.putVM(storer.VM{Name: engine.name, DataCentre: engine.dataCentre, Address: engine.relay.Address(), Role: "upstream", State: state})
}

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

// TestPlannedStop stops a node under load: every request that the node has accepted, queued
// requests included, completes, and the process exits with code 0.
func TestPlannedStop(t *testing.T) {
	for _, owns := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner=%v", owns), func(t *testing.T) {
			t.Parallel()
			system := startTopology(t, topology{entries: []string{west, west}, engines: []string{west}})
			stopping := system.owner(west, modelsPool)
			staying := system.otherEntry(west, stopping)
			if !owns {
				stopping, staying = staying, stopping
			}
			var calls []caller.Call
			var replies []<-chan caller.Reply
			send := func(entry *entry, call caller.Call) {
				calls, replies = append(calls, call), append(replies, entry.sendAsync(call))
			}
			for index := range 2 * engineSlots {
				send(stopping, completion(fmt.Sprintf("stopping %d", index), streamTokens, index%2 == 0))
				send(staying, completion(fmt.Sprintf("staying %d", index), streamTokens, index%2 == 0))
			}
			for index := range 2 * serviceSlots {
				send(stopping, reservation(fmt.Sprintf("stopping-%d", index)))
			}
			eventually(t, startTimeout, "requests are queued", func() bool {
				for _, entry := range system.entries {
					for _, shard := range entry.status().Shards {
						if string(shard.Pool) == modelsPool && shard.Running >= engineSlots && shard.Waiting > 0 {
							return true
						}
					}
				}
				return false
			})
			stopping.process.Terminate()
			eventually(t, startTimeout, "readiness fails", func() bool { return !stopping.ready() })
			for index, replied := range replies {
				reply := <-replied
				assert.Assert(t, reply.Complete, "%d: %v", index, reply)
				assert.Assert(t, calls[index].Prompt == "" || reply.MatchesCall(calls[index]) && reply.Tokens == streamTokens, "%d: %v", index, reply)
			}
			assert.Equal(t, stopping.process.exitCode(hangTimeout), 0)
			for index := range 2 * serviceSlots {
				assert.Equal(t, system.runCount(fmt.Sprintf("stopping-%d", index)), 1)
			}
			last := completion("afterwards", 5, true)
			eventually(t, startTimeout, "the other entry serves requests alone", func() bool {
				reply := staying.send(last)
				last = completion("afterwards", 5, true)
				return reply.Complete
			})
		})
	}
}

// engineLeavingTimeout is the time for which a leaving engine may still receive new requests.
const engineLeavingTimeout = 3 * time.Second

// TestLeavingEngine announces in each way that an engine is leaving: after engineLeavingTimeout the
// engine receives no new requests, and the other engine serves all of them.
func TestLeavingEngine(t *testing.T) {
	cases := []struct {
		name string
		// outage makes the platform unavailable before the engine announces that it is leaving.
		outage bool
		leave  func(system *system, engine *upstream)
	}{
		{"by the platform's list", false, func(system *system, engine *upstream) { system.listEngine(engine, "leaving") }},
		{"by its own word", false, (*system).announceLeaving},
		{"by its own word, platform away", true, (*system).announceLeaving},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			system := startTopology(t, topology{entries: []string{west, west}, engines: []string{west, west}})
			leaving := system.engines[0]
			system.listEngine(leaving, "live")
			system.sendBatch(t, 8)
			assert.Assert(t, leaving.relay.CountedRequests() > 0, "the engine had received no requests before")
			system.setPlatformFaults(map[string]any{"outage": test.outage})
			test.leave(system, leaving)
			startedAt := time.Now()
			for time.Since(startedAt) < engineLeavingTimeout {
				system.sendBatch(t, 4)
			}
			before := leaving.relay.CountedRequests()
			system.sendBatch(t, 16)
			assert.Equal(t, leaving.relay.CountedRequests(), before, "new requests after %v", engineLeavingTimeout)
		})
	}
}

// sendBatch sends concurrent calls through all entries and expects complete responses.
func (system *system) sendBatch(t *testing.T, count int) {
	t.Helper()
	var replies []<-chan caller.Reply
	for index := range count {
		replies = append(replies, system.entries[index%len(system.entries)].sendAsync(completion(fmt.Sprintf("some %d", index), 6, index%2 == 0)))
	}
	for _, replied := range replies {
		reply := <-replied
		assert.Assert(t, reply.Complete, "%v", reply)
	}
}

// announceLeaving makes an engine announce that it is leaving.
func (system *system) announceLeaving(engine *upstream) {
	system.t.Helper()
	assert.NilError(system.t, engine.controller().Leave(context.Background()))
}

// listEngine sets an engine's entry in the platform's list of VMs.
func (system *system) listEngine(engine *upstream, state string) {
	system.t.Helper()
	system.putVM(storer.VM{Name: engine.name, DataCentre: engine.dataCentre, Address: engine.relay.Address(), Role: "upstream", State: state})
}

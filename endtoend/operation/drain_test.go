package operation_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/tester"
	"limpetcleat/storer"
)

// streamTokens is the length of an answer in tokens.
const streamTokens = 60

// TestPlannedStop stops a node under load: every request that the node has accepted, queued
// requests included, completes, and the process exits with code 0.
func TestPlannedStop(t *testing.T) {
	for _, owns := range []bool{true, false} {
		t.Run(fmt.Sprintf("owner=%v", owns), func(t *testing.T) {
			t.Parallel()
			system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West}, Engines: []string{tester.West}})
			stopping := system.Owner(tester.West, tester.ModelsPool)
			staying := system.OtherEntry(tester.West, stopping)
			if !owns {
				stopping, staying = staying, stopping
			}
			var calls []caller.Call
			var replies []<-chan caller.Reply
			send := func(entry *tester.Entry, call caller.Call) {
				calls, replies = append(calls, call), append(replies, entry.SendAsync(call))
			}
			for index := range 2 * tester.EngineSlots {
				send(stopping, tester.Completion(fmt.Sprintf("stopping %d", index), streamTokens, index%2 == 0))
				send(staying, tester.Completion(fmt.Sprintf("staying %d", index), streamTokens, index%2 == 0))
			}
			for index := range 2 * tester.ServiceSlots {
				send(stopping, tester.Reservation(fmt.Sprintf("stopping-%d", index)))
			}
			tester.Eventually(t, tester.StartTimeout, "requests are queued", func() bool {
				for _, entry := range system.Entries {
					for _, shard := range entry.Status().Shards {
						if string(shard.Pool) == tester.ModelsPool && shard.Running >= tester.EngineSlots && shard.Waiting > 0 {
							return true
						}
					}
				}
				return false
			})
			stopping.Process.Terminate()
			tester.Eventually(t, tester.StartTimeout, "readiness fails", func() bool { return !stopping.Ready() })
			for index, replied := range replies {
				reply := <-replied
				assert.Assert(t, reply.Complete, "%d: %v", index, reply)
				assert.Assert(t, calls[index].Prompt == "" || reply.MatchesCall(calls[index]) && reply.Tokens == streamTokens, "%d: %v", index, reply)
			}
			assert.Equal(t, stopping.Process.AwaitExit(tester.HangTimeout), 0)
			for index := range 2 * tester.ServiceSlots {
				assert.Equal(t, system.RunCount(fmt.Sprintf("stopping-%d", index)), 1)
			}
			last := tester.Completion("afterwards", 5, true)
			tester.Eventually(t, tester.StartTimeout, "the other entry serves requests alone", func() bool {
				reply := staying.Send(last)
				last = tester.Completion("afterwards", 5, true)
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
		leave  func(system *tester.System, engine *tester.Upstream)
	}{
		{"by the platform's list", false, func(system *tester.System, engine *tester.Upstream) { listEngine(system, engine, "leaving") }},
		{"by its own word", false, announceLeaving},
		{"by its own word, platform away", true, announceLeaving},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West}, Engines: []string{tester.West, tester.West}})
			leaving := system.Engines[0]
			listEngine(system, leaving, "live")
			sendBatch(t, system, 8)
			assert.Assert(t, leaving.Relay.CountedRequests() > 0, "the engine had received no requests before")
			system.SetPlatformFaults(map[string]any{"outage": test.outage})
			test.leave(system, leaving)
			startedAt := time.Now()
			for time.Since(startedAt) < engineLeavingTimeout {
				sendBatch(t, system, 4)
			}
			before := leaving.Relay.CountedRequests()
			sendBatch(t, system, 16)
			assert.Equal(t, leaving.Relay.CountedRequests(), before, "new requests after %v", engineLeavingTimeout)
		})
	}
}

// sendBatch sends concurrent calls through all entries and expects complete responses.
func sendBatch(t *testing.T, system *tester.System, count int) {
	t.Helper()
	var replies []<-chan caller.Reply
	for index := range count {
		replies = append(replies, system.Entries[index%len(system.Entries)].SendAsync(tester.Completion(fmt.Sprintf("some %d", index), 6, index%2 == 0)))
	}
	for _, replied := range replies {
		reply := <-replied
		assert.Assert(t, reply.Complete, "%v", reply)
	}
}

// announceLeaving makes an engine announce that it is leaving.
func announceLeaving(system *tester.System, engine *tester.Upstream) {
	system.T.Helper()
	assert.NilError(system.T, engine.Controller().Leave(context.Background()))
}

// listEngine sets an engine's entry in the platform's list of VMs.
func listEngine(system *tester.System, engine *tester.Upstream, state string) {
	system.T.Helper()
	system.PutVM(storer.VM{Name: engine.Name, DataCentre: engine.DataCentre, Address: engine.Relay.Address(), Role: "upstream", State: state})
}

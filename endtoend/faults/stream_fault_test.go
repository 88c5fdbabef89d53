package faults_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
	"limpetcleat/standin/tester"
)

const (
	streamTokens    = 60
	fillerTokens    = 120
	midStreamTokens = 20
)

// streamSteps returns the steps of a streamed response.
func streamSteps() []step {
	return []step{
		{"asked", reachAsked},
		{"queued", reachQueuedStream},
		{"granted", reachGranted},
		{"sent", reachSent},
		{"firstToken", reachToken(1)},
		{"midStream", reachToken(midStreamTokens)},
	}
}

// reachQueuedStream fills every slot of the engines.
func reachQueuedStream(scenario *scenario) func() {
	scenario.T.Helper()
	scenario.fillSlotsAndSend()
	return noop
}

// reachToken waits until the caller has received the given number of tokens.
func reachToken(count int32) func(scenario *scenario) func() {
	return func(scenario *scenario) func() {
		scenario.T.Helper()
		scenario.send()
		scenario.await("tokens are received", func() bool { return scenario.tokens.Load() >= count })
		return noop
	}
}

// servingEngine returns the engine that runs the scenario's request, or the first engine if none
// does.
func (scenario *scenario) servingEngine() *tester.Upstream {
	if holding := scenario.holdingUpstream(relay.ToTarget); holding != nil {
		return holding
	}
	for _, engine := range scenario.Engines {
		runs := scenario.EngineRuns(engine)
		if runs.Started > runs.Finished+runs.Cancelled {
			return engine
		}
	}
	return scenario.Engines[0]
}

// streamFaults returns the faults that are injected into a streamed response.
func streamFaults() []streamFault {
	var hit *tester.Upstream
	_ = hit
	faults := []streamFault{}
	for _, fault := range reservationFaults() {
		switch fault.name {
		case "entryKilled", "entryFrozen":
			faults = append(faults, streamFault{fault: fault})
		case "ownerKilled", "ownerFrozen", "ownerCut", "platformAway", "platformCut":
			faults = append(faults, streamFault{fault: fault, mustSucceed: true})
		}
	}
	return append(faults,
		engineFault("engineKilled", func(_ *scenario, engine *tester.Upstream) { engine.Process.Kill() }, func(scenario *scenario, engine *tester.Upstream) { engine.Restart(scenario.System) }),
		engineFault("engineFrozen", func(_ *scenario, engine *tester.Upstream) { engine.Process.Suspend() }, func(_ *scenario, engine *tester.Upstream) { engine.Process.Resume() }),
		engineFault("engineCut", func(_ *scenario, engine *tester.Upstream) { engine.Relay.SetMode(relay.AllPeers, relay.Disconnecting) }, func(_ *scenario, engine *tester.Upstream) { engine.Relay.SetMode(relay.AllPeers, relay.Forwarding) }),
	)
}

type streamFault struct {
	fault
	// mustSucceed marks a fault that affects nothing the response depends on, so that the response
	// must be complete.
	mustSucceed bool
}

// engineFault returns a fault of the engine that runs the scenario's request.
func engineFault(name string, inject, heal func(scenario *scenario, engine *tester.Upstream)) streamFault {
	var hit *tester.Upstream
	return streamFault{fault: fault{
		name: name,
		inject: func(scenario *scenario) {
			hit = scenario.servingEngine()
			inject(scenario, hit)
		},
		heal: func(scenario *scenario) { heal(scenario, hit) },
	}}
}

// TestStreamFaults injects every fault at every step of a streamed response.
func TestStreamFaults(t *testing.T) {
	slots := make(chan struct{}, parallelSystems)
	for _, fault := range streamFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West, tester.West}, Engines: []string{tester.West, tester.West}})
			for index, step := range streamSteps() {
				runStreamCell(system, fmt.Sprintf("%s-%d-%s", fault.name, index, step.name), fault, step)
			}
		})
	}
}

// runStreamCell runs one cell of the matrix and leaves the system healthy.
func runStreamCell(system *tester.System, key string, fault streamFault, step step) {
	t := system.T
	t.Helper()
	scenario := newScenario(system, key, tester.ModelsPool)
	scenario.upstreams, scenario.slots = system.Engines, tester.EngineSlots*len(system.Engines)
	call := tester.Completion(key, streamTokens, true)
	scenario.newCall = func() caller.Call { return tester.Completion(key, streamTokens, true) }
	scenario.newFiller = func(index int) caller.Call {
		return tester.Completion(fmt.Sprintf("%s filler %d", key, index), fillerTokens, true)
	}
	first, during := scenario.injectAt(fault.fault, step)
	t.Logf("%s: first %v; during %v", key, first, during)
	for _, reply := range []caller.Reply{first, during} {
		assert.Assert(t, reply.MatchesCall(call), "%s: response to another request: %v", key, reply)
		assert.Assert(t, !reply.Complete || reply.Tokens == streamTokens, "%s: %v", key, reply)
		assert.Assert(t, reply.Duration < tester.HangTimeout, "%s hung: %v", key, reply)
	}
	assert.Assert(t, first.Complete || first.Code != "" || fault.hitsCaller, "%s ended without an error code: %v", key, first)
	assert.Assert(t, first.Complete || !fault.mustSucceed, "%s: %v", key, first)
	for _, filler := range scenario.fillers {
		<-filler
	}
	for _, entry := range system.Entries {
		again := tester.Completion(key+" after", 5, true)
		tester.Eventually(t, tester.HangTimeout, entry.Name+" serves again", func() bool {
			reply := entry.Send(again)
			again = tester.Completion(key+" after", 5, true)
			return reply.Complete && reply.MatchesCall(again)
		})
	}
}

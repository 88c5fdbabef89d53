package endtoend_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
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
	scenario.t.Helper()
	scenario.fillSlotsAndSend()
	return noop
}

// reachToken waits until the caller has received the given number of tokens.
func reachToken(count int32) func(scenario *scenario) func() {
	return func(scenario *scenario) func() {
		scenario.t.Helper()
		scenario.send()
		scenario.await("tokens are received", func() bool { return scenario.tokens.Load() >= count })
		return noop
	}
}

// servingEngine returns the engine that runs the scenario's request, or the first engine if none
// does.
func (scenario *scenario) servingEngine() *upstream {
	if holding := scenario.holdingUpstream(relay.ToTarget); holding != nil {
		return holding
	}
	for _, engine := range scenario.engines {
		runs := scenario.engineRuns(engine)
		if runs.Started > runs.Finished+runs.Cancelled {
			return engine
		}
	}
	return scenario.engines[0]
}

// streamFaults returns the faults that are injected into a streamed response.
func streamFaults() []streamFault {
	var hit *upstream
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
		engineFault("engineKilled", func(_ *scenario, engine *upstream) { engine.process.Kill() }, func(scenario *scenario, engine *upstream) { engine.restart(scenario.system) }),
		engineFault("engineFrozen", func(_ *scenario, engine *upstream) { engine.process.Suspend() }, func(_ *scenario, engine *upstream) { engine.process.Resume() }),
		engineFault("engineCut", func(_ *scenario, engine *upstream) { engine.relay.SetMode(relay.AllPeers, relay.Disconnecting) }, func(_ *scenario, engine *upstream) { engine.relay.SetMode(relay.AllPeers, relay.Forwarding) }),
	)
}

type streamFault struct {
	fault
	// mustSucceed marks a fault that affects nothing the response depends on, so that the response
	// must be complete.
	mustSucceed bool
}

// engineFault returns a fault of the engine that runs the scenario's request.
func engineFault(name string, inject, heal func(scenario *scenario, engine *upstream)) streamFault {
	var hit *upstream
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
			system := startTopology(t, topology{entries: []string{west, west, west}, engines: []string{west, west}})
			for index, step := range streamSteps() {
				system.runStreamCell(fmt.Sprintf("%s-%d-%s", fault.name, index, step.name), fault, step)
			}
		})
	}
}

// runStreamCell runs one cell of the matrix and leaves the system healthy.
func (system *system) runStreamCell(key string, fault streamFault, step step) {
	t := system.t
	t.Helper()
	scenario := system.newScenario(key, modelsPool)
	scenario.upstreams, scenario.slots = system.engines, engineSlots*len(system.engines)
	call := completion(key, streamTokens, true)
	scenario.newCall = func() caller.Call { return completion(key, streamTokens, true) }
	scenario.newFiller = func(index int) caller.Call {
		return completion(fmt.Sprintf("%s filler %d", key, index), fillerTokens, true)
	}
	first, during := scenario.injectAt(fault.fault, step)
	t.Logf("%s: first %v; during %v", key, first, during)
	for _, reply := range []caller.Reply{first, during} {
		assert.Assert(t, reply.MatchesCall(call), "%s: response to another request: %v", key, reply)
		assert.Assert(t, !reply.Complete || reply.Tokens == streamTokens, "%s: %v", key, reply)
		assert.Assert(t, reply.Duration < hangTimeout, "%s hung: %v", key, reply)
	}
	assert.Assert(t, first.Complete || first.Code != "" || fault.hitsCaller, "%s ended without an error code: %v", key, first)
	assert.Assert(t, first.Complete || !fault.mustSucceed, "%s: %v", key, first)
	for _, filler := range scenario.fillers {
		<-filler
	}
	for _, entry := range system.entries {
		again := completion(key+" after", 5, true)
		eventually(t, hangTimeout, entry.name+" serves again", func() bool {
			reply := entry.send(again)
			again = completion(key+" after", 5, true)
			return reply.Complete && reply.MatchesCall(again)
		})
	}
}

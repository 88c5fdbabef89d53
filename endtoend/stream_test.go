package endtoend_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
)

const (
	streamTokens = 60
	fillerTokens = 120
	midStream    = 20
)

// streamSteps returns the steps of a streamed answer.
func streamSteps() []step {
	return []step{
		{"asked", reachAsked},
		{"queued", reachQueuedStream},
		{"granted", reachGranted},
		{"sent", reachSent},
		{"firstToken", reachToken(1)},
		{"midStream", reachToken(midStream)},
	}
}

// reachQueuedStream fills every slot of the engines.
func reachQueuedStream(scene *scene) func() {
	scene.t.Helper()
	scene.queue()
	return nothing
}

// reachToken waits for a token to come to the caller.
func reachToken(count int32) func(scene *scene) func() {
	return func(scene *scene) func() {
		scene.t.Helper()
		scene.send()
		scene.await("tokens come", func() bool { return scene.tokens.Load() >= count })
		return nothing
	}
}

// busy returns the engine that has the scene's request, or the first.
func (scene *scene) busy() *upstream {
	if holding := scene.holding(relay.Forward); holding != nil {
		return holding
	}
	for _, engine := range scene.engines {
		runs := scene.attempts(engine)
		if runs.Started > runs.Finished+runs.Cancelled {
			return engine
		}
	}
	return scene.engines[0]
}

// streamFaults returns the faults that meet a streamed answer. One that spares
// the answer must leave it whole.
func streamFaults() []streamFault {
	var hit *upstream
	_ = hit
	all := []streamFault{}
	for _, fault := range reservationFaults() {
		switch fault.name {
		case "entryKilled", "entryFrozen":
			all = append(all, streamFault{fault: fault})
		case "ownerKilled", "ownerFrozen", "ownerCut", "platformAway", "platformCut":
			all = append(all, streamFault{fault: fault, spares: true})
		}
	}
	return append(all,
		engineFault("engineKilled", func(_ *scene, engine *upstream) { engine.process.Kill() }, func(scene *scene, engine *upstream) { engine.restart(scene.system) }),
		engineFault("engineFrozen", func(_ *scene, engine *upstream) { engine.process.Freeze() }, func(_ *scene, engine *upstream) { engine.process.Thaw() }),
		engineFault("engineCut", func(_ *scene, engine *upstream) { engine.relay.Set(relay.Everyone, relay.Cutting) }, func(_ *scene, engine *upstream) { engine.relay.Set(relay.Everyone, relay.Passing) }),
	)
}

type streamFault struct {
	fault
	// spares says that nothing which the answer needs is hit.
	spares bool
}

// engineFault returns a fault of the engine that has the scene's request.
func engineFault(name string, inject, heal func(scene *scene, engine *upstream)) streamFault {
	var hit *upstream
	return streamFault{fault: fault{
		name: name,
		inject: func(scene *scene) {
			hit = scene.busy()
			inject(scene, hit)
		},
		heal: func(scene *scene) { heal(scene, hit) },
	}}
}

// TestStreamFaults meets every step of a streamed answer with every fault.
func TestStreamFaults(t *testing.T) {
	slots := make(chan struct{}, parallelSystems)
	for _, fault := range streamFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := startShape(t, shape{entries: []string{west, west, west}, engines: []string{west, west}})
			for index, step := range streamSteps() {
				system.stream(fmt.Sprintf("%s-%d-%s", fault.name, index, step.name), fault, step)
			}
		})
	}
}

// stream runs one cell of the matrix and leaves the system whole.
func (system *system) stream(key string, fault streamFault, step step) {
	t := system.t
	t.Helper()
	scene := system.newScene(key, modelsPool)
	scene.upstreams, scene.slots = system.engines, engineSlots*len(system.engines)
	asked := completion(key, streamTokens, true)
	scene.make = func() caller.Call { return completion(key, streamTokens, true) }
	scene.filler = func(index int) caller.Call {
		return completion(fmt.Sprintf("%s filler %d", key, index), fillerTokens, true)
	}
	first, during := scene.meet(fault.fault, step)
	t.Logf("%s: first %v; during %v", key, first, during)
	for _, reply := range []caller.Reply{first, during} {
		assert.Assert(t, reply.Own(asked), "%s: not its own answer: %v", key, reply)
		assert.Assert(t, !reply.Whole || reply.Tokens == streamTokens, "%s: %v", key, reply)
		assert.Assert(t, reply.Took < hangLimit, "%s hung: %v", key, reply)
	}
	assert.Assert(t, first.Whole || first.Code != "" || fault.silent, "%s ended without a word: %v", key, first)
	assert.Assert(t, first.Whole || !fault.spares, "%s: %v", key, first)
	for _, filler := range scene.fillers {
		<-filler
	}
	for _, entry := range system.entries {
		again := completion(key+" after", 5, true)
		eventually(t, hangLimit, entry.name+" serves again", func() bool {
			got := entry.send(again)
			again = completion(key+" after", 5, true)
			return got.Whole && got.Own(again)
		})
	}
}

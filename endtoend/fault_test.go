package endtoend_test

import (
	"fmt"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
)

const (
	stockPool  = "stock"
	modelsPool = "models"
	// parallelSystems bounds the systems of a test that run at once.
	parallelSystems = 3
)

// fault is one fault and what mends it.
type fault struct {
	name   string
	inject func(scene *scene)
	heal   func(scene *scene)
	// silent faults end or stop the entry that the caller talks to.
	silent bool
}

// reservationFaults returns the faults that meet a call of the service.
func reservationFaults() []fault {
	return []fault{
		// The longest row is first, so that the others run beside it.
		{name: "platformAway", inject: func(scene *scene) { scene.platformFaults(map[string]any{"outage": true}) }, heal: func(scene *scene) { scene.platformFaults(map[string]any{"outage": false}) }},
		{name: "entryKilled", silent: true, inject: func(scene *scene) { scene.entry.process.Kill() }, heal: func(scene *scene) { scene.entry.start() }},
		{name: "entryFrozen", silent: true, inject: func(scene *scene) { scene.entry.process.Freeze() }, heal: func(scene *scene) { scene.entry.process.Thaw() }},
		{name: "ownerKilled", inject: func(scene *scene) { scene.owner.process.Kill() }, heal: func(scene *scene) { scene.owner.start() }},
		{name: "ownerFrozen", inject: func(scene *scene) { scene.owner.process.Freeze() }, heal: func(scene *scene) { scene.owner.process.Thaw() }},
		{name: "ownerCut", inject: func(scene *scene) { scene.isolate(scene.owner, relay.Cutting) }, heal: func(scene *scene) { scene.isolate(scene.owner, relay.Passing) }},
		{name: "serviceKilled", inject: (*scene).killService, heal: func(scene *scene) { scene.service.restart(scene.system) }},
		{name: "serviceFrozen", inject: func(scene *scene) { scene.service.process.Freeze() }, heal: func(scene *scene) { scene.service.process.Thaw() }},
		{name: "serviceCut", inject: func(scene *scene) { scene.service.relay.Set(relay.Everyone, relay.Cutting) }, heal: func(scene *scene) { scene.service.relay.Set(relay.Everyone, relay.Passing) }},
		{name: "platformCut", inject: func(scene *scene) { scene.entry.outer.Set(relay.Everyone, relay.Cutting) }, heal: func(scene *scene) { scene.entry.outer.Set(relay.Everyone, relay.Passing) }},
		{name: "answerLost", inject: func(scene *scene) {
			scene.platformFaults(map[string]any{"loseAnswers": 2, "loseAnswersKind": "claims"})
		}, heal: func(scene *scene) { scene.platformFaults(map[string]any{"loseAnswers": 0}) }},
	}
}

// killService kills the service and keeps what it had recorded.
func (scene *scene) killService() {
	for key, count := range scene.record("").Keys {
		scene.witnessed[key] += count
	}
	scene.service.process.Kill()
}

// isolate sets the mode of every link between an entry and its peers.
func (scene *scene) isolate(entry *entry, mode relay.Mode) {
	entry.inner.Set(relay.Everyone, mode)
	for _, peer := range scene.entries {
		if peer != entry {
			peer.inner.Set(entry.name, mode)
		}
	}
}

// TestReservationFaults meets every step of a call that may run at most once
// with every fault.
func TestReservationFaults(t *testing.T) {
	slots := make(chan struct{}, parallelSystems)
	for _, fault := range reservationFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := startShape(t, shape{entries: []string{west, west, west}})
			for index, step := range reservationSteps() {
				system.play(fmt.Sprintf("%s-%d-%s", fault.name, index, step.name), fault, step)
			}
		})
	}
}

// play runs one cell of the matrix and leaves the system whole.
func (system *system) play(key string, fault fault, step step) {
	t := system.t
	t.Helper()
	scene := system.newScene(key, stockPool)
	scene.upstreams, scene.slots = []*upstream{system.service}, serviceSlot
	scene.make = func() caller.Call { return reservation(key) }
	scene.filler = func(index int) caller.Call { return reservation(fmt.Sprintf("%s-filler-%d", key, index)) }
	first, during := scene.meet(fault, step)
	system.serviceFaults(map[string]any{"slowMs": 0})
	last := scene.other.settle(key)
	t.Logf("%s: first %v; during %v; last %v", key, first, during, last)
	scene.judge(first, during, last)
	for index, filler := range scene.fillers {
		<-filler
		runs := system.runs(fmt.Sprintf("%s-filler-%d", key, index))
		assert.Assert(t, runs <= 1, "filler %d of %s ran %d times", index, key, runs)
	}
	for _, entry := range system.entries {
		fresh := fmt.Sprintf("%s-after-%s", key, entry.name)
		got := entry.settle(fresh)
		assert.Assert(t, got.Whole && system.runs(fresh) == 1, "%s: %v", fresh, got)
	}
}

// newScene returns a scene whose entry does not own the pool.
func (system *system) newScene(key, pool string) *scene {
	system.t.Helper()
	scene := &scene{system: system, key: key, pool: pool}
	scene.owner = system.owner(west, pool)
	scene.entry = system.other(west, scene.owner)
	for _, entry := range system.entries {
		if entry != scene.owner && entry != scene.entry {
			scene.other = entry
		}
	}
	return scene
}

// meet brings the request to the step, lets the fault happen and returns what
// the caller got, and what a repeat got while the fault lasted.
func (scene *scene) meet(fault fault, step step) (first, during caller.Reply) {
	scene.t.Helper()
	release := step.reach(scene)
	fault.inject(scene)
	release()
	if fault.silent {
		during = scene.repeat()
		fault.heal(scene)
		first = scene.firstReply()
	} else {
		first = scene.firstReply()
		during = scene.repeat()
		fault.heal(scene)
	}
	scene.awaitReady()
	return first, during
}

// firstReply returns what the caller's first sending got.
func (scene *scene) firstReply() caller.Reply {
	if scene.answered != nil {
		return *scene.answered
	}
	return <-scene.first
}

// repeat sends the request again through another entry while the fault lasts.
func (scene *scene) repeat() caller.Reply {
	return scene.other.send(scene.make())
}

// judge checks the told outcomes against the service's own record.
func (scene *scene) judge(replies ...caller.Reply) {
	t := scene.t
	t.Helper()
	runs := scene.runs(scene.key)
	assert.Assert(t, runs <= 1, "%s ran %d times: %v", scene.key, runs, replies)
	for _, reply := range replies {
		assert.Assert(t, reply.Took < hangLimit, "%s hung: %v", scene.key, reply)
		if reply.Failed {
			assert.Equal(t, reply.Header.Get("X-Outcome"), reply.Outcome, "%s: %v", scene.key, reply)
		}
		switch {
		case reply.Whole:
			assert.Equal(t, runs, 1, "%s: %v", scene.key, reply)
			assert.Equal(t, gjson.Get(reply.Body, "key").String(), scene.key)
		case reply.NotRun():
			assert.Assert(t, !scene.ranFor(scene.key, reply.RequestID()), "%s: told notRun and ran: %v", scene.key, reply)
		case reply.Status != 0:
			assert.Assert(t, reply.Outcome == "unknown" || reply.Outcome == "ran", "%s: %v", scene.key, reply)
			assert.Assert(t, reply.Code != "", "%s: %v", scene.key, reply)
		}
	}
}

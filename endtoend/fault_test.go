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
	// parallelSystems limits the systems of a test that run concurrently.
	parallelSystems = 3
)

// fault is a fault that a test injects and heals.
type fault struct {
	name   string
	inject func(scenario *scenario)
	heal   func(scenario *scenario)
	// hitsCaller marks faults that kill or freeze the entry to which the caller is connected.
	hitsCaller bool
}

// reservationFaults returns the faults that are injected into a call of the service.
func reservationFaults() []fault {
	return []fault{
		// The slowest fault is first, so that the others run in parallel with it.
		{name: "platformAway", inject: func(scenario *scenario) { scenario.setPlatformFaults(map[string]any{"outage": true}) }, heal: func(scenario *scenario) { scenario.setPlatformFaults(map[string]any{"outage": false}) }},
		{name: "entryKilled", hitsCaller: true, inject: func(scenario *scenario) { scenario.entry.process.Kill() }, heal: func(scenario *scenario) { scenario.entry.start() }},
		{name: "entryFrozen", hitsCaller: true, inject: func(scenario *scenario) { scenario.entry.process.Suspend() }, heal: func(scenario *scenario) { scenario.entry.process.Resume() }},
		{name: "ownerKilled", inject: func(scenario *scenario) { scenario.owner.process.Kill() }, heal: func(scenario *scenario) { scenario.owner.start() }},
		{name: "ownerFrozen", inject: func(scenario *scenario) { scenario.owner.process.Suspend() }, heal: func(scenario *scenario) { scenario.owner.process.Resume() }},
		{name: "ownerCut", inject: func(scenario *scenario) { scenario.isolate(scenario.owner, relay.Disconnecting) }, heal: func(scenario *scenario) { scenario.isolate(scenario.owner, relay.Forwarding) }},
		{name: "serviceKilled", inject: (*scenario).killService, heal: func(scenario *scenario) { scenario.service.restart(scenario.system) }},
		{name: "serviceFrozen", inject: func(scenario *scenario) { scenario.service.process.Suspend() }, heal: func(scenario *scenario) { scenario.service.process.Resume() }},
		{name: "serviceCut", inject: func(scenario *scenario) { scenario.service.relay.SetMode(relay.AllPeers, relay.Disconnecting) }, heal: func(scenario *scenario) { scenario.service.relay.SetMode(relay.AllPeers, relay.Forwarding) }},
		{name: "platformCut", inject: func(scenario *scenario) { scenario.entry.platformRelay.SetMode(relay.AllPeers, relay.Disconnecting) }, heal: func(scenario *scenario) { scenario.entry.platformRelay.SetMode(relay.AllPeers, relay.Forwarding) }},
		{name: "answerLost", inject: func(scenario *scenario) {
			scenario.setPlatformFaults(map[string]any{"loseAnswers": 2, "loseAnswersKind": "claims"})
		}, heal: func(scenario *scenario) { scenario.setPlatformFaults(map[string]any{"loseAnswers": 0}) }},
	}
}

// killService kills the service after saving its recorded run counts.
func (scenario *scenario) killService() {
	for key, count := range scenario.runsSinceStart("").Keys {
		scenario.runsBeforeKill[key] += count
	}
	scenario.service.process.Kill()
}

// isolate sets the mode of every relay between an entry and its peers.
func (scenario *scenario) isolate(entry *entry, mode relay.Mode) {
	entry.peerRelay.SetMode(relay.AllPeers, mode)
	for _, peer := range scenario.entries {
		if peer != entry {
			peer.peerRelay.SetMode(entry.name, mode)
		}
	}
}

// TestReservationFaults injects every fault at every step of a call that may run at most once.
func TestReservationFaults(t *testing.T) {
	slots := make(chan struct{}, parallelSystems)
	for _, fault := range reservationFaults() {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := startTopology(t, topology{entries: []string{west, west, west}})
			for index, step := range reservationSteps() {
				system.runCell(fmt.Sprintf("%s-%d-%s", fault.name, index, step.name), fault, step)
			}
		})
	}
}

// runCell runs one cell of the matrix and leaves the system healthy.
func (system *system) runCell(key string, fault fault, step step) {
	t := system.t
	t.Helper()
	scenario := system.newScenario(key, stockPool)
	scenario.upstreams, scenario.slots = []*upstream{system.service}, serviceSlots
	scenario.newCall = func() caller.Call { return reservation(key) }
	scenario.newFiller = func(index int) caller.Call { return reservation(fmt.Sprintf("%s-filler-%d", key, index)) }
	first, during := scenario.injectAt(fault, step)
	system.setServiceFaults(map[string]any{"slowMs": 0})
	last := scenario.other.sendUntilSettled(key)
	t.Logf("%s: first %v; during %v; last %v", key, first, during, last)
	scenario.checkOutcomes(first, during, last)
	for index, filler := range scenario.fillers {
		<-filler
		runs := system.runCount(fmt.Sprintf("%s-filler-%d", key, index))
		assert.Assert(t, runs <= 1, "filler %d of %s ran %d times", index, key, runs)
	}
	for _, entry := range system.entries {
		fresh := fmt.Sprintf("%s-after-%s", key, entry.name)
		reply := entry.sendUntilSettled(fresh)
		assert.Assert(t, reply.Complete && system.runCount(fresh) == 1, "%s: %v; %s", fresh, reply, scenario.whereabouts(fresh))
	}
}

// whereabouts tells where a call got stuck: whether the service ran it, which bytes the relay before
// the service holds back, and what the owner and the entries know of it.
func (scenario *scenario) whereabouts(key string) string {
	held := scenario.service.relay
	text := fmt.Sprintf("runs %d; held to the service %t, to the entries %t; owner %s %+v", scenario.runCount(key),
		held.Holding(relay.ToTarget), held.Holding(relay.ToPeer), scenario.owner.name, scenario.ownerCounts())
	for _, entry := range scenario.entries {
		text += fmt.Sprintf("; %s has %d open requests", entry.name, entry.status().OpenRequests)
	}
	return text
}

// newScenario returns a scenario whose entry does not own the pool.
func (system *system) newScenario(key, pool string) *scenario {
	system.t.Helper()
	scenario := &scenario{system: system, key: key, pool: pool}
	scenario.owner = system.owner(west, pool)
	scenario.entry = system.otherEntry(west, scenario.owner)
	for _, entry := range system.entries {
		if entry != scenario.owner && entry != scenario.entry {
			scenario.other = entry
		}
	}
	return scenario
}

// injectAt brings the request to the step and injects the fault. It returns the caller's reply and
// the reply to a repeat of the request during the fault.
func (scenario *scenario) injectAt(fault fault, step step) (first, during caller.Reply) {
	scenario.t.Helper()
	release := step.reach(scenario)
	fault.inject(scenario)
	release()
	if fault.hitsCaller {
		during = scenario.repeat()
		fault.heal(scenario)
		first = scenario.firstReply()
	} else {
		first = scenario.firstReply()
		during = scenario.repeat()
		fault.heal(scenario)
	}
	scenario.awaitReady()
	return first, during
}

// firstReply returns the reply to the caller's first send.
func (scenario *scenario) firstReply() caller.Reply {
	if scenario.earlyReply != nil {
		return *scenario.earlyReply
	}
	return <-scenario.first
}

// repeat sends the request again through another entry while the fault lasts.
func (scenario *scenario) repeat() caller.Reply {
	return scenario.other.send(scenario.newCall())
}

// checkOutcomes checks the outcomes in the replies against the service's own record of runs.
func (scenario *scenario) checkOutcomes(replies ...caller.Reply) {
	t := scenario.t
	t.Helper()
	runs := scenario.runCount(scenario.key)
	assert.Assert(t, runs <= 1, "%s ran %d times: %v", scenario.key, runs, replies)
	for _, reply := range replies {
		assert.Assert(t, reply.Duration < hangTimeout, "%s hung: %v", scenario.key, reply)
		if reply.Failed {
			assert.Equal(t, reply.Header.Get("X-Outcome"), reply.Outcome, "%s: %v", scenario.key, reply)
		}
		switch {
		case reply.Complete:
			assert.Equal(t, runs, 1, "%s: %v", scenario.key, reply)
			assert.Equal(t, gjson.Get(reply.Body, "key").String(), scenario.key)
		case reply.NotRun():
			assert.Assert(t, !scenario.ranAttemptOf(scenario.key, reply.RequestID()), "%s: reported notRun although it ran: %v", scenario.key, reply)
		case reply.Status != 0:
			assert.Assert(t, reply.Outcome == "unknown" || reply.Outcome == "ran", "%s: %v", scenario.key, reply)
			assert.Assert(t, reply.Code != "", "%s: %v", scenario.key, reply)
		}
	}
}

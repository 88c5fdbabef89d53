package faults_test

import (
	"fmt"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
	"limpetcleat/standin/tester"
)

const (
	stockPool = "stock"
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
		{name: "platformAway", inject: func(scenario *scenario) { scenario.SetPlatformFaults(map[string]any{"outage": true}) }, heal: func(scenario *scenario) { scenario.SetPlatformFaults(map[string]any{"outage": false}) }},
		{name: "entryKilled", hitsCaller: true, inject: func(scenario *scenario) { scenario.entry.Process.Kill() }, heal: func(scenario *scenario) { scenario.entry.Start() }},
		{name: "entryFrozen", hitsCaller: true, inject: func(scenario *scenario) { scenario.entry.Process.Suspend() }, heal: func(scenario *scenario) { scenario.entry.Process.Resume() }},
		{name: "ownerKilled", inject: func(scenario *scenario) { scenario.owner.Process.Kill() }, heal: func(scenario *scenario) { scenario.owner.Start() }},
		{name: "ownerFrozen", inject: func(scenario *scenario) { scenario.owner.Process.Suspend() }, heal: func(scenario *scenario) { scenario.owner.Process.Resume() }},
		{name: "ownerCut", inject: func(scenario *scenario) { scenario.isolate(scenario.owner, relay.Disconnecting) }, heal: func(scenario *scenario) { scenario.isolate(scenario.owner, relay.Forwarding) }},
		{name: "serviceKilled", inject: (*scenario).killService, heal: func(scenario *scenario) { scenario.Service.Restart(scenario.System) }},
		{name: "serviceFrozen", inject: func(scenario *scenario) { scenario.Service.Process.Suspend() }, heal: func(scenario *scenario) { scenario.Service.Process.Resume() }},
		{name: "serviceCut", inject: func(scenario *scenario) { scenario.Service.Relay.SetMode(relay.AllPeers, relay.Disconnecting) }, heal: func(scenario *scenario) { scenario.Service.Relay.SetMode(relay.AllPeers, relay.Forwarding) }},
		{name: "platformCut", inject: func(scenario *scenario) { scenario.entry.PlatformRelay.SetMode(relay.AllPeers, relay.Disconnecting) }, heal: func(scenario *scenario) { scenario.entry.PlatformRelay.SetMode(relay.AllPeers, relay.Forwarding) }},
		{name: "answerLost", inject: func(scenario *scenario) {
			scenario.SetPlatformFaults(map[string]any{"loseAnswers": 2, "loseAnswersKind": "claims"})
		}, heal: func(scenario *scenario) { scenario.SetPlatformFaults(map[string]any{"loseAnswers": 0}) }},
	}
}

// killService kills the service after saving its recorded run counts.
func (scenario *scenario) killService() {
	for key, count := range scenario.RunsSinceStart("").Keys {
		scenario.RunsBeforeKill[key] += count
	}
	scenario.Service.Process.Kill()
}

// isolate sets the mode of every relay between an entry and its peers.
func (scenario *scenario) isolate(entry *tester.Entry, mode relay.Mode) {
	entry.PeerRelay.SetMode(relay.AllPeers, mode)
	for _, peer := range scenario.Entries {
		if peer != entry {
			peer.PeerRelay.SetMode(entry.Name, mode)
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
			system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West, tester.West}})
			for index, step := range reservationSteps() {
				runCell(system, fmt.Sprintf("%s-%d-%s", fault.name, index, step.name), fault, step)
			}
		})
	}
}

// runCell runs one cell of the matrix and leaves the system healthy.
func runCell(system *tester.System, key string, fault fault, step step) {
	t := system.T
	t.Helper()
	scenario := newScenario(system, key, stockPool)
	scenario.upstreams, scenario.slots = []*tester.Upstream{system.Service}, tester.ServiceSlots
	scenario.newCall = func() caller.Call { return tester.Reservation(key) }
	scenario.newFiller = func(index int) caller.Call { return tester.Reservation(fmt.Sprintf("%s-filler-%d", key, index)) }
	first, during := scenario.injectAt(fault, step)
	system.SetServiceFaults(map[string]any{"slowMs": 0})
	last := scenario.other.SendUntilSettled(key)
	t.Logf("%s: first %v; during %v; last %v", key, first, during, last)
	scenario.checkOutcomes(first, during, last)
	for index, filler := range scenario.fillers {
		<-filler
		runs := system.RunCount(fmt.Sprintf("%s-filler-%d", key, index))
		assert.Assert(t, runs <= 1, "filler %d of %s ran %d times", index, key, runs)
	}
	for _, entry := range system.Entries {
		fresh := fmt.Sprintf("%s-after-%s", key, entry.Name)
		reply := entry.SendUntilSettled(fresh)
		assert.Assert(t, reply.Complete && system.RunCount(fresh) == 1, "%s: %v; %s", fresh, reply, scenario.whereabouts(fresh))
	}
}

// whereabouts tells where a call got stuck: whether the service ran it, which bytes the relay before
// the service holds back, and what the owner and the entries know of it.
func (scenario *scenario) whereabouts(key string) string {
	held := scenario.Service.Relay
	text := fmt.Sprintf("runs %d; held to the service %t, to the entries %t; owner %s %+v", scenario.RunCount(key),
		held.Holding(relay.ToTarget), held.Holding(relay.ToPeer), scenario.owner.Name, scenario.ownerCounts())
	for _, entry := range scenario.Entries {
		text += fmt.Sprintf("; %s has %d open requests", entry.Name, entry.Status().OpenRequests)
	}
	return text
}

// newScenario returns a scenario whose entry does not own the pool.
func newScenario(system *tester.System, key, pool string) *scenario {
	system.T.Helper()
	scenario := &scenario{System: system, key: key, pool: pool}
	scenario.owner = system.Owner(tester.West, pool)
	scenario.entry = system.OtherEntry(tester.West, scenario.owner)
	for _, entry := range system.Entries {
		if entry != scenario.owner && entry != scenario.entry {
			scenario.other = entry
		}
	}
	return scenario
}

// injectAt brings the request to the step and injects the fault. It returns the caller's reply and
// the reply to a repeat of the request during the fault.
func (scenario *scenario) injectAt(fault fault, step step) (first, during caller.Reply) {
	scenario.T.Helper()
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
	scenario.AwaitReady()
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
	return scenario.other.Send(scenario.newCall())
}

// checkOutcomes checks the outcomes in the replies against the service's own record of runs.
func (scenario *scenario) checkOutcomes(replies ...caller.Reply) {
	t := scenario.T
	t.Helper()
	runs := scenario.RunCount(scenario.key)
	assert.Assert(t, runs <= 1, "%s ran %d times: %v", scenario.key, runs, replies)
	for _, reply := range replies {
		assert.Assert(t, reply.Duration < tester.HangTimeout, "%s hung: %v", scenario.key, reply)
		if reply.Failed {
			assert.Equal(t, reply.Header.Get("X-Outcome"), reply.Outcome, "%s: %v", scenario.key, reply)
		}
		switch {
		case reply.Complete:
			assert.Equal(t, runs, 1, "%s: %v", scenario.key, reply)
			assert.Equal(t, gjson.Get(reply.Body, "key").String(), scenario.key)
		case reply.NotRun():
			assert.Assert(t, !scenario.RanAttemptOf(scenario.key, reply.RequestID()), "%s: reported notRun although it ran: %v", scenario.key, reply)
		case reply.Status != 0:
			assert.Assert(t, reply.Outcome == "unknown" || reply.Outcome == "ran", "%s: %v", scenario.key, reply)
			assert.Assert(t, reply.Code != "", "%s: %v", scenario.key, reply)
		}
	}
}

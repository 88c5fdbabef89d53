package endtoend_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/standin/relay"
)

// The steps of a configuration change: the platform is writing it, the platform has accepted it,
// only one entry has received it.
const (
	stepWriting   = "writing"
	stepWritten   = "written"
	stepSpreading = "spreading"
)

// changeTimeout is the time within which an accepted change must be in force.
const changeTimeout = 5 * time.Second

// change is one change of the configuration during a fault.
type change struct {
	*system
	// first is the entry that receives the change before the others.
	first *entry
}

// changeFault is a fault that is injected during a configuration change.
type changeFault struct {
	name         string
	inject, heal func(change *change)
	// reachable returns the entries that must apply the change at a step while the fault lasts.
	reachable func(change *change, step string) []*entry
}

// allRunning returns every running entry.
func allRunning(change *change, _ string) []*entry { return change.runningEntries() }

func (change *change) othersThan(excluded *entry) []*entry {
	return slices.DeleteFunc(change.runningEntries(), func(entry *entry) bool { return entry == excluded })
}

// reachableWithoutFirst returns the entries that can still receive the change after the first
// recipient has failed: all others, or none if the first was the only recipient.
func reachableWithoutFirst(change *change, step string) []*entry {
	if step == stepSpreading {
		return nil
	}
	return change.othersThan(change.first)
}

// reachableWithoutPlatform returns the entries that a change reaches during a platform outage: all,
// provided that one of them has received it.
func reachableWithoutPlatform(change *change, step string) []*entry {
	if step == stepWritten {
		return nil
	}
	return change.runningEntries()
}

// reachableWithoutPeers returns the entries that a change reaches while the data centres are
// partitioned from each other.
func reachableWithoutPeers(change *change, step string) []*entry {
	if step != stepSpreading {
		return change.runningEntries()
	}
	return slices.DeleteFunc(change.runningEntries(), func(entry *entry) bool { return entry.dataCentre != change.first.dataCentre })
}

func changeFaults() []changeFault {
	lastEntry := func(change *change) *entry { return change.entries[len(change.entries)-1] }
	return []changeFault{
		{"none", func(*change) {}, func(*change) {}, allRunning},
		{"firstKilled", func(change *change) { change.first.process.Kill() }, func(change *change) { change.first.start() }, reachableWithoutFirst},
		{"firstFrozen", func(change *change) { change.first.process.Suspend() }, func(change *change) { change.first.process.Resume() }, reachableWithoutFirst},
		{"otherKilled", func(change *change) { lastEntry(change).process.Kill() }, func(change *change) { lastEntry(change).start() }, allRunning},
		{
			"otherFrozen", func(change *change) { lastEntry(change).process.Suspend() }, func(change *change) { lastEntry(change).process.Resume() },
			func(change *change, _ string) []*entry { return change.othersThan(lastEntry(change)) },
		},
		{"platformAway", func(change *change) { change.setPlatformFaults(map[string]any{"outage": true}) }, func(change *change) { change.setPlatformFaults(map[string]any{"outage": false}) }, reachableWithoutPlatform},
		{"dataCentresCut", func(change *change) { change.partition(relay.Disconnecting) }, func(change *change) { change.partition(relay.Forwarding) }, reachableWithoutPeers},
		{"answerLost", func(change *change) { change.setPlatformFaults(map[string]any{"loseAnswers": 1}) }, func(change *change) { change.setPlatformFaults(map[string]any{"loseAnswers": 0}) }, allRunning},
	}
}

// partition sets the mode of every relay between the data centres.
func (system *system) partition(mode relay.Mode) {
	for _, to := range system.entries {
		for _, from := range system.entries {
			if to.dataCentre != from.dataCentre {
				to.peerRelay.SetMode(from.name, mode)
			}
		}
	}
}

// changeStep brings a change to a step, at which the fault is injected.
type changeStep struct {
	name string
	// run makes the change, injects the fault and returns the change's version.
	run func(change *change, inject func()) uint64
}

func changeSteps() []changeStep {
	return []changeStep{
		{name: stepWriting, run: runWriting},
		{name: stepWritten, run: func(change *change, inject func()) uint64 {
			version := change.changeWeight()
			inject()
			return version
		}},
		{name: stepSpreading, run: runSpreading},
	}
}

// runWriting injects the fault while the platform writes the change. The editor retries until the
// write succeeds.
func runWriting(change *change, inject func()) uint64 {
	change.t.Helper()
	before := change.platformWrites()
	change.setPlatformFaults(map[string]any{"slowMs": 100})
	defer change.setPlatformFaults(map[string]any{"slowMs": 0})
	versions := make(chan uint64, 1)
	go func() { versions <- change.changeWeight() }()
	eventually(change.t, startTimeout, "the change is being written", func() bool { return change.platformWrites() > before })
	inject()
	eventually(change.t, startTimeout, "the write of the change has completed", func() bool {
		change.setPlatformFaults(map[string]any{"outage": false})
		return len(versions) > 0
	})
	return <-versions
}

// runSpreading lets only one entry receive the change from the platform.
func runSpreading(change *change, inject func()) uint64 {
	change.t.Helper()
	for _, entry := range change.othersThan(change.first) {
		entry.platformRelay.SetMode(relay.AllPeers, relay.Disconnecting)
	}
	version := change.changeWeight()
	eventually(change.t, changeTimeout, change.first.name+" has received the change", func() bool { return change.first.status().Configuration >= version })
	inject()
	return version
}

// changeWeight edits an Organisation's weight, a change that is visible in the whole configuration,
// and returns the accepted version.
func (change *change) changeWeight() uint64 {
	accepted, err := editor.New(change.store, "tests").Edit(context.Background(), editor.Change{
		Summary: "another weight",
		Apply: func(document definer.Document) (definer.Document, error) {
			document.Organisations[0].Weight += 1
			return document, nil
		},
	})
	if err != nil {
		change.t.Errorf("edit: %v", err)
		return 0
	}
	return accepted.Number()
}

// TestConfigurationFaults injects every fault at every step of a configuration change.
func TestConfigurationFaults(t *testing.T) {
	slots := make(chan struct{}, parallelSystems)
	for _, step := range changeSteps() {
		t.Run(step.name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			system := startSystem(t)
			watch := system.watchVersions()
			for _, fault := range changeFaults() {
				system.runChangeCell(step, fault)
			}
			watch()
		})
	}
}

func (system *system) runChangeCell(step changeStep, fault changeFault) {
	t := system.t
	t.Helper()
	change := &change{system: system, first: system.entries[0]}
	version := step.run(change, func() { fault.inject(change) })
	began := time.Now()
	system.awaitVersion(version, fault.reachable(change, step.name), fault.name+" at "+step.name)
	took := time.Since(began)
	fault.heal(change)
	for _, entry := range system.entries {
		entry.platformRelay.SetMode(relay.AllPeers, relay.Forwarding)
	}
	system.awaitReady()
	system.awaitVersion(version, system.entries, fault.name+" at "+step.name+", healed")
	t.Logf("%s at %s: version %d in force after %v", fault.name, step.name, version, took.Round(time.Millisecond))
}

// awaitVersion waits until the entries apply the version or a later one.
func (system *system) awaitVersion(version uint64, entries []*entry, description string) {
	system.t.Helper()
	for _, entry := range entries {
		eventually(system.t, changeTimeout, fmt.Sprintf("%s: %s applies version %d", description, entry.name, version), func() bool {
			return entry.status().Configuration >= version
		})
	}
}

// watchVersions polls the applied version of every node. The returned function stops polling; the
// test fails if a process ever returned to an earlier version.
func (system *system) watchVersions() func() {
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, entry := range system.entries {
		group.Go(func() {
			seen := make(map[definer.Incarnation]uint64)
			for {
				select {
				case <-stop:
					return
				case <-time.After(pollInterval):
				}
				status := entry.status()
				if status.Configuration < seen[status.Incarnation] {
					system.t.Errorf("%s returned from version %d to %d", entry.name, seen[status.Incarnation], status.Configuration)
				}
				seen[status.Incarnation] = max(seen[status.Incarnation], status.Configuration)
			}
		})
	}
	return func() {
		close(stop)
		group.Wait()
	}
}

// TestNewNodeWithoutPlatform starts a node during a platform outage: the node fetches the newest
// configuration from its peers and serves requests.
func TestNewNodeWithoutPlatform(t *testing.T) {
	system := startTopology(t, topology{entries: []string{west, west}, engines: []string{west}})
	change := &change{system: system}
	version := change.changeWeight()
	system.awaitVersion(version, system.entries, "before the outage")
	system.setPlatformFaults(map[string]any{"outage": true})
	fresh := system.newEntry("entry-3", west)
	fresh.start()
	system.entries = append(system.entries, fresh)
	eventually(t, startTimeout, "the new node is ready", fresh.ready)
	system.awaitVersion(version, system.entries, "during the outage")
	call := completion("by the new node", 6, true)
	reply := fresh.send(call)
	assert.Assert(t, reply.Complete && reply.MatchesCall(call), "%v", reply)
}

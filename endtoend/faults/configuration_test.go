package faults_test

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
	"limpetcleat/standin/tester"
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
	*tester.System
	// first is the entry that receives the change before the others.
	first *tester.Entry
}

// changeFault is a fault that is injected during a configuration change.
type changeFault struct {
	name         string
	inject, heal func(change *change)
	// reachable returns the entries that must apply the change at a step while the fault lasts.
	reachable func(change *change, step string) []*tester.Entry
}

// allRunning returns every running entry.
func allRunning(change *change, _ string) []*tester.Entry { return change.RunningEntries() }

func (change *change) othersThan(excluded *tester.Entry) []*tester.Entry {
	return slices.DeleteFunc(change.RunningEntries(), func(entry *tester.Entry) bool { return entry == excluded })
}

// reachableWithoutFirst returns the entries that can still receive the change after the first
// recipient has failed: all others, or none if the first was the only recipient.
func reachableWithoutFirst(change *change, step string) []*tester.Entry {
	if step == stepSpreading {
		return nil
	}
	return change.othersThan(change.first)
}

// reachableWithoutPlatform returns the entries that a change reaches during a platform outage: all,
// provided that one of them has received it.
func reachableWithoutPlatform(change *change, step string) []*tester.Entry {
	if step == stepWritten {
		return nil
	}
	return change.RunningEntries()
}

// reachableWithoutPeers returns the entries that a change reaches while the data centres are
// partitioned from each other.
func reachableWithoutPeers(change *change, step string) []*tester.Entry {
	if step != stepSpreading {
		return change.RunningEntries()
	}
	return slices.DeleteFunc(change.RunningEntries(), func(entry *tester.Entry) bool { return entry.DataCentre != change.first.DataCentre })
}

func changeFaults() []changeFault {
	lastEntry := func(change *change) *tester.Entry { return change.Entries[len(change.Entries)-1] }
	return []changeFault{
		{"none", func(*change) {}, func(*change) {}, allRunning},
		{"firstKilled", func(change *change) { change.first.Process.Kill() }, func(change *change) { change.first.Start() }, reachableWithoutFirst},
		{"firstFrozen", func(change *change) { change.first.Process.Suspend() }, func(change *change) { change.first.Process.Resume() }, reachableWithoutFirst},
		{"otherKilled", func(change *change) { lastEntry(change).Process.Kill() }, func(change *change) { lastEntry(change).Start() }, allRunning},
		{
			"otherFrozen", func(change *change) { lastEntry(change).Process.Suspend() }, func(change *change) { lastEntry(change).Process.Resume() },
			func(change *change, _ string) []*tester.Entry { return change.othersThan(lastEntry(change)) },
		},
		{"platformAway", func(change *change) { change.SetPlatformFaults(map[string]any{"outage": true}) }, func(change *change) { change.SetPlatformFaults(map[string]any{"outage": false}) }, reachableWithoutPlatform},
		{"dataCentresCut", func(change *change) { partition(change.System, relay.Disconnecting) }, func(change *change) { partition(change.System, relay.Forwarding) }, reachableWithoutPeers},
		{"answerLost", func(change *change) { change.SetPlatformFaults(map[string]any{"loseAnswers": 1}) }, func(change *change) { change.SetPlatformFaults(map[string]any{"loseAnswers": 0}) }, allRunning},
	}
}

// partition sets the mode of every relay between the data centres.
func partition(system *tester.System, mode relay.Mode) {
	for _, to := range system.Entries {
		for _, from := range system.Entries {
			if to.DataCentre != from.DataCentre {
				to.PeerRelay.SetMode(from.Name, mode)
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
	change.T.Helper()
	before := change.PlatformWrites()
	change.SetPlatformFaults(map[string]any{"slowMs": 100})
	defer change.SetPlatformFaults(map[string]any{"slowMs": 0})
	versions := make(chan uint64, 1)
	go func() { versions <- change.changeWeight() }()
	tester.Eventually(change.T, tester.StartTimeout, "the change is being written", func() bool { return change.PlatformWrites() > before })
	inject()
	tester.Eventually(change.T, tester.StartTimeout, "the write of the change has completed", func() bool {
		change.SetPlatformFaults(map[string]any{"outage": false})
		return len(versions) > 0
	})
	return <-versions
}

// runSpreading lets only one entry receive the change from the platform.
func runSpreading(change *change, inject func()) uint64 {
	change.T.Helper()
	for _, entry := range change.othersThan(change.first) {
		entry.PlatformRelay.SetMode(relay.AllPeers, relay.Disconnecting)
	}
	version := change.changeWeight()
	tester.Eventually(change.T, changeTimeout, change.first.Name+" has received the change", func() bool { return change.first.Status().Configuration >= version })
	inject()
	return version
}

// changeWeight edits an Organisation's weight, a change that is visible in the whole configuration,
// and returns the accepted version.
func (change *change) changeWeight() uint64 {
	accepted, err := editor.New(change.Store, "tests").Edit(context.Background(), editor.Change{
		Summary: "another weight",
		Apply: func(document definer.Document) (definer.Document, error) {
			document.Organisations[0].Weight += 1
			return document, nil
		},
	})
	if err != nil {
		change.T.Errorf("edit: %v", err)
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
			system := tester.StartSystem(t)
			watch := watchVersions(system)
			for _, fault := range changeFaults() {
				runChangeCell(system, step, fault)
			}
			watch()
		})
	}
}

func runChangeCell(system *tester.System, step changeStep, fault changeFault) {
	t := system.T
	t.Helper()
	change := &change{System: system, first: system.Entries[0]}
	version := step.run(change, func() { fault.inject(change) })
	began := time.Now()
	awaitVersion(system, version, fault.reachable(change, step.name), fault.name+" at "+step.name)
	took := time.Since(began)
	fault.heal(change)
	for _, entry := range system.Entries {
		entry.PlatformRelay.SetMode(relay.AllPeers, relay.Forwarding)
	}
	system.AwaitReady()
	awaitVersion(system, version, system.Entries, fault.name+" at "+step.name+", healed")
	t.Logf("%s at %s: version %d in force after %v", fault.name, step.name, version, took.Round(time.Millisecond))
}

// awaitVersion waits until the entries apply the version or a later one.
func awaitVersion(system *tester.System, version uint64, entries []*tester.Entry, description string) {
	system.T.Helper()
	for _, entry := range entries {
		tester.Eventually(system.T, changeTimeout, fmt.Sprintf("%s: %s applies version %d", description, entry.Name, version), func() bool {
			return entry.Status().Configuration >= version
		})
	}
}

// watchVersions polls the applied version of every node. The returned function stops polling; the
// test fails if a process ever returned to an earlier version.
func watchVersions(system *tester.System) func() {
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, entry := range system.Entries {
		group.Go(func() {
			seen := make(map[definer.Incarnation]uint64)
			for {
				select {
				case <-stop:
					return
				case <-time.After(tester.PollInterval):
				}
				status := entry.Status()
				if status.Configuration < seen[status.Incarnation] {
					system.T.Errorf("%s returned from version %d to %d", entry.Name, seen[status.Incarnation], status.Configuration)
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
	system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West, tester.West}, Engines: []string{tester.West}})
	change := &change{System: system}
	version := change.changeWeight()
	awaitVersion(system, version, system.Entries, "before the outage")
	system.SetPlatformFaults(map[string]any{"outage": true})
	fresh := system.NewEntry("entry-3", tester.West)
	fresh.Start()
	system.Entries = append(system.Entries, fresh)
	tester.Eventually(t, tester.StartTimeout, "the new node is ready", fresh.Ready)
	awaitVersion(system, version, system.Entries, "during the outage")
	call := tester.Completion("by the new node", 6, true)
	reply := fresh.Send(call)
	assert.Assert(t, reply.Complete && reply.MatchesCall(call), "%v", reply)
}

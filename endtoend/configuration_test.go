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

// The steps of a change: the platform takes it, it is accepted, one entry alone
// has seen it.
const (
	stepWriting   = "writing"
	stepWritten   = "written"
	stepSpreading = "spreading"
)

// forceLimit is how long an accepted change may take to be in force.
const forceLimit = 5 * time.Second

// change is one change of the configuration under a fault.
type change struct {
	*system
	// first is the entry that sees the change before the others.
	first *entry
}

// changeFault is a fault of a change.
type changeFault struct {
	name         string
	inject, heal func(change *change)
	// reachable returns the entries that must have the change at a step while
	// the fault lasts.
	reachable func(change *change, step string) []*entry
}

// everywhere returns every running entry.
func everywhere(change *change, _ string) []*entry { return change.alive() }

func (change *change) othersThan(not *entry) []*entry {
	return slices.DeleteFunc(change.alive(), func(each *entry) bool { return each == not })
}

// withoutFirst returns the entries that can still see the change when the first
// to see it is gone: all others, unless the first alone had seen it.
func withoutFirst(change *change, step string) []*entry {
	if step == stepSpreading {
		return nil
	}
	return change.othersThan(change.first)
}

// withoutPlatform returns the entries that a change reaches with the platform
// away: all, once one of them has seen it.
func withoutPlatform(change *change, step string) []*entry {
	if step == stepWritten {
		return nil
	}
	return change.alive()
}

// withoutPeers returns the entries that a change reaches with the data centres
// cut off from each other.
func withoutPeers(change *change, step string) []*entry {
	if step != stepSpreading {
		return change.alive()
	}
	return slices.DeleteFunc(change.alive(), func(each *entry) bool { return each.dataCentre != change.first.dataCentre })
}

func changeFaults() []changeFault {
	last := func(change *change) *entry { return change.entries[len(change.entries)-1] }
	return []changeFault{
		{"none", func(*change) {}, func(*change) {}, everywhere},
		{"firstKilled", func(change *change) { change.first.process.Kill() }, func(change *change) { change.first.start() }, withoutFirst},
		{"firstFrozen", func(change *change) { change.first.process.Freeze() }, func(change *change) { change.first.process.Thaw() }, withoutFirst},
		{"otherKilled", func(change *change) { last(change).process.Kill() }, func(change *change) { last(change).start() }, everywhere},
		{
			"otherFrozen", func(change *change) { last(change).process.Freeze() }, func(change *change) { last(change).process.Thaw() },
			func(change *change, _ string) []*entry { return change.othersThan(last(change)) },
		},
		{"platformAway", func(change *change) { change.platformFaults(map[string]any{"outage": true}) }, func(change *change) { change.platformFaults(map[string]any{"outage": false}) }, withoutPlatform},
		{"dataCentresCut", func(change *change) { change.partition(relay.Cutting) }, func(change *change) { change.partition(relay.Passing) }, withoutPeers},
		{"answerLost", func(change *change) { change.platformFaults(map[string]any{"loseAnswers": 1}) }, func(change *change) { change.platformFaults(map[string]any{"loseAnswers": 0}) }, everywhere},
	}
}

// partition sets the mode of every link between the data centres.
func (system *system) partition(mode relay.Mode) {
	for _, to := range system.entries {
		for _, from := range system.entries {
			if to.dataCentre != from.dataCentre {
				to.inner.Set(from.name, mode)
			}
		}
	}
}

// changeStep brings a change to a step; during it the fault is injected.
type changeStep struct {
	name string
	// run makes the change and injects the fault; it returns the version.
	run func(change *change, inject func()) uint64
}

func changeSteps() []changeStep {
	return []changeStep{
		{name: stepWriting, run: runWriting},
		{name: stepWritten, run: func(change *change, inject func()) uint64 {
			version := change.rename()
			inject()
			return version
		}},
		{name: stepSpreading, run: runSpreading},
	}
}

// runWriting injects the fault while the platform takes the change. The editor
// tries again until it is settled.
func runWriting(change *change, inject func()) uint64 {
	change.t.Helper()
	before := change.platformWrites()
	change.platformFaults(map[string]any{"slowMs": 100})
	defer change.platformFaults(map[string]any{"slowMs": 0})
	versions := make(chan uint64, 1)
	go func() { versions <- change.rename() }()
	eventually(change.t, startLimit, "the change is being written", func() bool { return change.platformWrites() > before })
	inject()
	eventually(change.t, startLimit, "the change is settled", func() bool {
		change.platformFaults(map[string]any{"outage": false})
		return len(versions) > 0
	})
	return <-versions
}

// runSpreading lets one entry alone see the change at the platform.
func runSpreading(change *change, inject func()) uint64 {
	change.t.Helper()
	for _, entry := range change.othersThan(change.first) {
		entry.outer.Set(relay.Everyone, relay.Cutting)
	}
	version := change.rename()
	eventually(change.t, forceLimit, change.first.name+" has the change", func() bool { return change.first.status().Configuration >= version })
	inject()
	return version
}

// rename makes a change that the whole configuration shows and returns its
// accepted version.
func (change *change) rename() uint64 {
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

// TestConfigurationFaults meets every step of a change with every fault.
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
				system.change(step, fault)
			}
			watch()
		})
	}
}

func (system *system) change(step changeStep, fault changeFault) {
	t := system.t
	t.Helper()
	change := &change{system: system, first: system.entries[0]}
	version := step.run(change, func() { fault.inject(change) })
	began := time.Now()
	system.inForce(version, fault.reachable(change, step.name), fault.name+" at "+step.name)
	took := time.Since(began)
	fault.heal(change)
	for _, entry := range system.entries {
		entry.outer.Set(relay.Everyone, relay.Passing)
	}
	system.awaitReady()
	system.inForce(version, system.entries, fault.name+" at "+step.name+", healed")
	t.Logf("%s at %s: version %d in force after %v", fault.name, step.name, version, took.Round(time.Millisecond))
}

// inForce waits until the entries apply the version.
func (system *system) inForce(version uint64, entries []*entry, what string) {
	system.t.Helper()
	for _, entry := range entries {
		eventually(system.t, forceLimit, fmt.Sprintf("%s: %s applies version %d", what, entry.name, version), func() bool {
			return entry.status().Configuration >= version
		})
	}
}

// watchVersions looks at every node all the time; the returned function ends
// that and fails the test if a process ever went back.
func (system *system) watchVersions() func() {
	var group sync.WaitGroup
	over := make(chan struct{})
	for _, entry := range system.entries {
		group.Go(func() {
			seen := make(map[definer.Incarnation]uint64)
			for {
				select {
				case <-over:
					return
				case <-time.After(pollEvery):
				}
				status := entry.status()
				if status.Configuration < seen[status.Incarnation] {
					system.t.Errorf("%s went back from version %d to %d", entry.name, seen[status.Incarnation], status.Configuration)
				}
				seen[status.Incarnation] = max(seen[status.Incarnation], status.Configuration)
			}
		})
	}
	return func() {
		close(over)
		group.Wait()
	}
}

// TestNewNodeWithoutPlatform starts a node while the platform is away: it takes
// the newest configuration from its peers and serves.
func TestNewNodeWithoutPlatform(t *testing.T) {
	system := startShape(t, shape{entries: []string{west, west}, engines: []string{west}})
	change := &change{system: system}
	version := change.rename()
	system.inForce(version, system.entries, "before the outage")
	system.platformFaults(map[string]any{"outage": true})
	fresh := system.newEntry("entry-3", west)
	fresh.start()
	system.entries = append(system.entries, fresh)
	eventually(t, startLimit, "the new node is ready", fresh.ready)
	system.inForce(version, system.entries, "during the outage")
	asked := completion("by the new node", 6, true)
	got := fresh.send(asked)
	assert.Assert(t, got.Whole && got.Own(asked), "%v", got)
}

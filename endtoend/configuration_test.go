package endtoend_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/editor"
)

// forceLimit is how long an accepted change may take to be in force.
const forceLimit = 5 * time.Second

// change is one change of the configuration under a fault.
type change struct {
	*system
	// first is the entry that sees the change before the others.
	first *entry
}

// changeFault is a fault of a change; it tells which entries must have the
// change in force while it lasts.
type changeFault struct {
	name         string
	inject, heal func(change *change)
	// reachable is nil when only the healed system must have the change.
	reachable func(change *change) []*entry
}

func (change *change) all() []*entry { return change.alive() }

func (change *change) othersThan(not *entry) []*entry {
	var others []*entry
	for _, each := range change.alive() {
		if each != not {
			others = append(others, each)
		}
	}
	return others
}

func changeFaults() []changeFault {
	last := func(change *change) *entry { return change.entries[len(change.entries)-1] }
	return []changeFault{
		{"none", func(*change) {}, func(*change) {}, (*change).all},
		{"firstKilled", func(change *change) { change.first.process.kill() }, func(change *change) { change.first.start() }, nil},
		{"firstFrozen", func(change *change) { change.first.process.freeze() }, func(change *change) { change.first.process.thaw() }, nil},
		{"otherKilled", func(change *change) { last(change).process.kill() }, func(change *change) { last(change).start() }, (*change).all},
		{
			"otherFrozen", func(change *change) { last(change).process.freeze() }, func(change *change) { last(change).process.thaw() },
			func(change *change) []*entry { return change.othersThan(last(change)) },
		},
		{"platformAway", func(change *change) { change.platformFaults(map[string]any{"outage": true}) }, func(change *change) { change.platformFaults(map[string]any{"outage": false}) }, nil},
		{"dataCentresCut", func(change *change) { change.partition(cutting) }, func(change *change) { change.partition(passing) }, nil},
	}
}

// partition sets the mode of every link between the data centres.
func (system *system) partition(mode mode) {
	for _, to := range system.entries {
		for _, from := range system.entries {
			if to.dataCentre != from.dataCentre {
				to.inner.set(from.name, mode)
			}
		}
	}
}

// changeStep brings a change to a step; during it the fault is injected.
type changeStep struct {
	name string
	// run makes the change and injects the fault; it returns the version.
	run func(change *change, inject func()) uint64
	// spread says that only the first entry reaches the platform at the step.
	spread bool
}

func changeSteps() []changeStep {
	return []changeStep{
		{name: "writing", run: runWriting},
		{name: "written", run: func(change *change, inject func()) uint64 {
			version := change.rename()
			inject()
			return version
		}},
		{name: "spreading", spread: true, run: runSpreading},
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
		entry.outer.set(everyone, cutting)
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
	if fault.reachable != nil {
		system.inForce(version, fault.reachable(change), fault.name+" at "+step.name)
	}
	took := time.Since(began)
	fault.heal(change)
	for _, entry := range system.entries {
		entry.outer.set(everyone, passing)
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
	assert.Assert(t, got.whole && got.own(asked), "%v", got)
}

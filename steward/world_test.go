package steward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/leaseholder"
	"limpetcleat/messenger"
	"limpetcleat/scaler"
	"limpetcleat/steward"
	"limpetcleat/tallier"
)

const (
	// The required bounds.
	leaseTerm     = 3 * time.Second
	usageWindow   = 5 * time.Second
	usageDeadline = 10 * time.Second
	tolerance     = 0.05
	// responseTime is the latency of the store and the platform, linkDelay that between two nodes.
	responseTime = 4 * time.Millisecond
	linkDelay    = time.Millisecond
	// detectionTime is how long nodes take to notice that another is silent.
	detectionTime = 500 * time.Millisecond
	// groupSize is the number of nodes that report to one aggregator.
	groupSize = 4
)

// act is a call that the platform has carried out.
type act struct {
	machine string
	token   uint64
	at      time.Time
}

// simulation is a platform with its nodes, on the fake clock of the test's synctest bubble.
type simulation struct {
	t        *testing.T
	scenario *rand.Rand

	// mutex guards the rest.
	mutex    sync.Mutex
	random   *rand.Rand
	nodes    []*node
	objects  map[string]leaseholder.Object
	revision uint64
	// reports holds the accepted reports, lateness how late each was first accepted; acts holds
	// all accepted acts by duty or subject, highest the newest token seen of each.
	reports  map[tallier.Window]map[definer.OrganisationName]uint64
	lateness map[tallier.Window]time.Duration
	acts     map[string][]act
	highest  map[string]uint64
	// begun counts the requests that began at the upstreams.
	begun map[tallier.Window]map[definer.OrganisationName]uint64
	// storeCalls counts the calls to the store for each duty.
	storeCalls map[string]int
	engines    *engines
	// partitioned reports whether two nodes are cut off from each other.
	partitioned func(from, to *node) bool
	// store and cloudAPI are the faults of the store and of the platform's cloud API.
	store    fault
	cloudAPI fault
}

// fault is the faulty behaviour of a system.
type fault struct {
	// Calls of nodes for which down returns true are refused; calls of nodes for which silent
	// returns true are never answered.
	down   func(node *node) bool
	silent func(node *node) bool
	slow   time.Duration
	// lost is the share of calls that are carried out but not answered, late the share that are
	// not answered and carried out 2 to 12 s later.
	lost float64
	late float64
}

// node is a VM that runs at most one process at a time.
type node struct {
	simulation *simulation
	index      int
	peer       exchanger.Peer
	// skew is how far its clock is ahead.
	skew time.Duration

	// The simulation's mutex guards the rest.
	process *process
	// silentSince is when the node went silent; zero while it answers.
	silentSince time.Time
	thawed      chan struct{}
}

// process is one run of a node.
type process struct {
	node    *node
	member  definer.Member
	steward *steward.Steward
	end     context.CancelFunc
	// logging guards events.
	logging sync.Mutex
	events  []string
}

func newSimulation(t *testing.T, seed uint64, count int) *simulation {
	simulation := &simulation{
		t: t, scenario: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
		objects: make(map[string]leaseholder.Object), reports: make(map[tallier.Window]map[definer.OrganisationName]uint64),
		lateness: make(map[tallier.Window]time.Duration), acts: make(map[string][]act), highest: make(map[string]uint64),
		begun: make(map[tallier.Window]map[definer.OrganisationName]uint64), partitioned: func(_, _ *node) bool { return false },
		engines: newEngines(t), storeCalls: make(map[string]int),
	}
	for place := range count {
		vm := definer.VM(fmt.Sprintf("n%03d", place))
		simulation.nodes = append(simulation.nodes, &node{simulation: simulation, index: place, peer: exchanger.Peer{VM: vm, Address: string(vm)}})
	}
	return simulation
}

// start starts a process on a node.
func (node *node) start() {
	ctx, end := context.WithCancel(node.simulation.t.Context())
	process := &process{node: node, member: definer.Member{VM: node.peer.VM, Incarnation: definer.Incarnation(time.Now().UnixNano())}, end: end}
	process.steward = steward.New(process.member, steward.Settings{Lease: leaseTerm, UsageWindow: usageWindow, UsageDeadline: usageDeadline, Scales: true, Headroom: scaler.DefaultHeadroom},
		steward.Dependencies{
			Fleet: process, Clock: process, Sender: process, Store: process, Platform: process,
			Services: process.node.simulation.engines, Engines: process.node.simulation.engines, Demand: process.node.simulation.engines, Log: process.log,
		})
	node.simulation.mutex.Lock()
	node.process, node.silentSince = process, time.Time{}
	node.simulation.mutex.Unlock()
	go process.steward.Run(ctx)
}

// kill ends a process at once: none of its later calls and messages is delivered.
func (node *node) kill() {
	node.simulation.mutex.Lock()
	killed := node.process
	node.process, node.silentSince = nil, time.Now()
	node.simulation.mutex.Unlock()
	killed.end()
	<-killed.steward.Done()
}

// stop ends a process as in a planned stop.
func (node *node) stop() {
	stopped := node.process
	stopped.end()
	<-stopped.steward.Done()
	node.kill()
}

// freeze suspends a node until thaw.
func (node *node) freeze() {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	node.thawed, node.silentSince = make(chan struct{}), time.Now()
}

func (node *node) thaw() {
	node.simulation.mutex.Lock()
	defer node.simulation.mutex.Unlock()
	close(node.thawed)
	node.thawed, node.silentSince = nil, time.Time{}
}

// waitWhileFrozen waits while the node is frozen and reports whether the process still runs.
func (process *process) waitWhileFrozen() bool {
	for {
		process.node.simulation.mutex.Lock()
		thawed, runs := process.node.thawed, process.node.process == process
		process.node.simulation.mutex.Unlock()
		if thawed == nil || !runs {
			return runs
		}
		<-thawed
	}
}

func (process *process) log(number int, pairs ...any) {
	process.logging.Lock()
	defer process.logging.Unlock()
	process.events = append(process.events, fmt.Sprint(append([]any{time.Now().UnixMilli(), " ", number, " "}, pairs...)...))
}

// Now returns the node's time of day.
func (process *process) Now() time.Time { return time.Now().Add(process.node.skew) }

// hears reports whether a node is still regarded as present by another.
func (simulation *simulation) hears(from, to *node) bool {
	unheard := from.silentSince
	if from.process == nil || from.thawed != nil {
		return !unheard.IsZero() && time.Since(unheard) < detectionTime
	}
	return !simulation.partitioned(from, to)
}

// Precedence returns the node's place in precedence as it follows from the nodes that answer.
func (process *process) Precedence(_ time.Time, passedOver func(vm definer.VM) bool) exchanger.Precedence {
	process.waitWhileFrozen()
	simulation := process.node.simulation
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	var aggregators []*node
	var own []*node
	for first := 0; first < len(simulation.nodes); first += groupSize {
		group := simulation.nodes[first:min(first+groupSize, len(simulation.nodes))]
		at := slices.IndexFunc(group, func(node *node) bool { return node == process.node || simulation.hears(node, process.node) })
		if at >= 0 {
			aggregators = append(aggregators, group[at])
		}
		if slices.Contains(group, process.node) {
			own = group
		}
	}
	return simulation.precedence(process.node, own, aggregators, passedOver)
}

// precedence returns the precedence of a node in the group own. The caller holds mutex.
func (simulation *simulation) precedence(self *node, own, aggregators []*node, passedOver func(vm definer.VM) bool) exchanger.Precedence {
	precedence := exchanger.Precedence{NodeCount: len(simulation.nodes)}
	var mine *node
	var others []exchanger.Peer
	for _, aggregator := range aggregators {
		if slices.Contains(own, aggregator) {
			mine = aggregator
			continue
		}
		precedence.Audience = append(precedence.Audience, aggregator.peer)
		if passedOver(aggregator.peer.VM) {
			continue
		}
		others = append(others, aggregator.peer)
		if mine == nil {
			precedence.Rank++
		}
	}
	precedence.Eligible = mine == self
	precedence.Seniors = []exchanger.Peer{mine.peer}
	if precedence.Eligible {
		precedence.Seniors = others[:min(len(others), 2)]
	}
	groups := (len(simulation.nodes) + groupSize - 1) / groupSize
	if groups >= 3 {
		return precedence
	}
	precedence.Audience = nil
	for _, node := range simulation.nodes {
		if node != self {
			precedence.Audience = append(precedence.Audience, node.peer)
		}
	}
	members := slices.DeleteFunc(slices.Clone(own), func(node *node) bool { return node == mine })
	members = members[:min(len(members), 3-groups)]
	place := slices.Index(members, self)
	switch {
	case precedence.Eligible:
		precedence.Seniors = slices.Clone(precedence.Seniors)
		for _, member := range members {
			precedence.Seniors = append(precedence.Seniors, member.peer)
		}
	case place >= 0:
		precedence.Eligible, precedence.Rank = true, len(others)+place
		if !passedOver(mine.peer.VM) {
			precedence.Rank++
		}
	}
	return precedence
}

// Send delivers a message to a node.
func (process *process) Send(_ context.Context, address string, message messenger.Message) {
	if !process.waitWhileFrozen() {
		return
	}
	simulation := process.node.simulation
	time.AfterFunc(linkDelay, func() {
		simulation.mutex.Lock()
		at := slices.IndexFunc(simulation.nodes, func(node *node) bool { return node.peer.Address == address })
		to := simulation.nodes[at]
		target := to.process
		if target == nil || to.thawed != nil || simulation.partitioned(process.node, to) {
			simulation.mutex.Unlock()
			return
		}
		simulation.mutex.Unlock()
		target.steward.Receive(process.member, message)
	})
}

// beginRequest begins a request of an organisation at a random running process.
func (simulation *simulation) beginRequest(organisation definer.OrganisationName) {
	simulation.mutex.Lock()
	var running []*process
	for _, node := range simulation.nodes {
		if node.process != nil && node.thawed == nil {
			running = append(running, node.process)
		}
	}
	window := tallier.Window(time.Duration(time.Now().UnixNano()) / usageWindow)
	if len(running) == 0 {
		simulation.mutex.Unlock()
		return
	}
	if simulation.begun[window] == nil {
		simulation.begun[window] = make(map[definer.OrganisationName]uint64)
	}
	simulation.begun[window][organisation]++
	chosen := running[simulation.random.IntN(len(running))]
	simulation.mutex.Unlock()
	chosen.steward.CountRequest(organisation)
}

// runTraffic begins requests of five organisations at a rate per second for a span of time.
func (simulation *simulation) runTraffic(passes time.Duration, perSecond int) {
	for range int(passes.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		simulation.beginRequest(definer.OrganisationName(fmt.Sprintf("o%d", min(simulation.scenario.IntN(8), 4))))
	}
}

// stopAll ends all processes.
func (simulation *simulation) stopAll() {
	for _, node := range simulation.nodes {
		if node.thawed != nil {
			node.thaw()
		}
		if node.process != nil {
			node.kill()
		}
	}
	time.Sleep(20 * time.Second) // Lets delayed calls be carried out and pending calls end.
}

// checkReported checks that every window from first to last was reported in time, and returns
// how many of them are off by more than the tolerance.
func (simulation *simulation) checkReported(first, last tallier.Window) (off int) {
	simulation.t.Helper()
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	for window := first; window <= last; window++ {
		counts, reported := simulation.reports[window]
		assert.Check(simulation.t, reported && simulation.lateness[window] <= usageDeadline, "window %d: reported %t, %v after its end", window, reported, simulation.lateness[window])
		if !simulation.withinTolerance(counts, simulation.begun[window]) {
			off++
			simulation.t.Logf("window %d: reported %v, begun %v", window, counts, simulation.begun[window])
		}
	}
	return off
}

// maxDelay returns the longest time between the end of a window and its report.
func (simulation *simulation) maxDelay(first, last tallier.Window) time.Duration {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	var longest time.Duration
	for window := first; window <= last; window++ {
		longest = max(longest, simulation.lateness[window])
	}
	return longest
}

// partition sets which nodes are cut off from each other.
func (simulation *simulation) partition(severed func(from, to *node) bool) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	simulation.partitioned = severed
}

// setFault sets the fault of a system until the returned function is called.
func (simulation *simulation) setFault(target *fault, value fault) (end func()) {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	*target = value
	return func() {
		simulation.mutex.Lock()
		defer simulation.mutex.Unlock()
		*target = fault{}
	}
}

// storeCallCount returns the number of store calls of a duty.
func (simulation *simulation) storeCallCount(duty string) int {
	simulation.mutex.Lock()
	defer simulation.mutex.Unlock()
	return simulation.storeCalls[duty]
}

// withinTolerance reports whether counts are within the tolerance of the truth.
func (simulation *simulation) withinTolerance(counts, truth map[definer.OrganisationName]uint64) bool {
	for organisation, began := range truth {
		if diff := float64(counts[organisation]) - float64(began); max(diff, -diff) > max(tolerance*float64(began), 1) {
			return false
		}
	}
	return true
}

// currentWindow returns the window that contains the present time.
func currentWindow() tallier.Window {
	return tallier.Window(time.Duration(time.Now().UnixNano()) / usageWindow)
}

// logEvents writes the events of the processes to the test log if the test failed.
func (simulation *simulation) logEvents() {
	if !simulation.t.Failed() {
		return
	}
	for _, node := range simulation.nodes {
		if node.process != nil && len(node.process.events) > 0 {
			content, _ := json.Marshal(node.process.events)
			simulation.t.Logf("%s: %s", node.peer.VM, content)
		}
	}
}

package steward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
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
	// The users' bounds.
	leaseTerm     = 3 * time.Second
	usageWindow   = 5 * time.Second
	usageDeadline = 10 * time.Second
	tolerance     = 0.05
	// answerTime is that of the store and the platform, wayTime that between two nodes.
	answerTime = 4 * time.Millisecond
	wayTime    = time.Millisecond
	// noticeTime is how long nodes take to notice that one is silent.
	noticeTime = 500 * time.Millisecond
	// groupSize is how many nodes report to one.
	groupSize = 4
)

// act is a call that the platform has carried out.
type act struct {
	machine string
	token   uint64
	at      time.Time
}

// world is a platform and the nodes before it, on the stepped clock of the test's bubble.
type world struct {
	t      *testing.T
	script *rand.Rand

	// mutex guards the rest.
	mutex    sync.Mutex
	random   *rand.Rand
	nodes    []*node
	objects  map[string]leaseholder.Object
	revision uint64
	// reports are those accepted, with the first acceptance's lateness; acts are all that
	// were accepted of a duty and subject, highest the newest token seen of it.
	reports  map[tallier.Window]map[definer.OrganisationName]uint64
	lateness map[tallier.Window]time.Duration
	acts     map[string][]act
	highest  map[string]uint64
	// truth is what began at the upstreams.
	truth map[tallier.Window]map[definer.OrganisationName]uint64
	// storeCalls counts the calls to the store for each duty.
	storeCalls map[string]int
	engines    *engines
	// severed tells whether two nodes are cut off from each other.
	severed func(from, to *node) bool
	// store and authority are how these answer.
	store     trouble
	authority trouble
}

// trouble is how a system behaves.
type trouble struct {
	// down calls are turned away, silent ones never answered; for nodes of which it says so.
	down   func(node *node) bool
	silent func(node *node) bool
	slow   time.Duration
	// lost is the part of calls that are carried out and not answered, late the part that
	// are not answered and carried out 2 to 12 s later.
	lost float64
	late float64
}

// node is one place for a process.
type node struct {
	world *world
	place int
	peer  exchanger.Peer
	// skew is how far its clock is ahead.
	skew time.Duration

	// The world's mutex guards the rest.
	process *process
	// silentSince is since when nothing comes from it; zero while it is heard.
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

func newWorld(t *testing.T, seed uint64, count int) *world {
	world := &world{
		t: t, script: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2)),
		objects: make(map[string]leaseholder.Object), reports: make(map[tallier.Window]map[definer.OrganisationName]uint64),
		lateness: make(map[tallier.Window]time.Duration), acts: make(map[string][]act), highest: make(map[string]uint64),
		truth: make(map[tallier.Window]map[definer.OrganisationName]uint64), severed: func(_, _ *node) bool { return false },
		engines: newEngines(t), storeCalls: make(map[string]int),
	}
	for place := range count {
		vm := definer.VM(fmt.Sprintf("n%03d", place))
		world.nodes = append(world.nodes, &node{world: world, place: place, peer: exchanger.Peer{VM: vm, Address: string(vm)}})
	}
	return world
}

// start starts a process on a node.
func (node *node) start() {
	ctx, end := context.WithCancel(node.world.t.Context())
	process := &process{node: node, member: definer.Member{VM: node.peer.VM, Incarnation: definer.Incarnation(time.Now().UnixNano())}, end: end}
	process.steward = steward.New(process.member, steward.Settings{Lease: leaseTerm, UsageWindow: usageWindow, UsageDeadline: usageDeadline, Scales: true, Headroom: scaler.DefaultHeadroom},
		steward.Parts{
			Fleet: process, Clock: process, Sender: process, Shelf: process, Platform: process,
			Services: process.node.world.engines, Engines: process.node.world.engines, Demand: process.node.world.engines, Log: process.log,
		})
	node.world.mutex.Lock()
	node.process, node.silentSince = process, time.Time{}
	node.world.mutex.Unlock()
	go process.steward.Run(ctx)
}

// kill ends a process at once: nothing that it does any more reaches anybody.
func (node *node) kill() {
	node.world.mutex.Lock()
	killed := node.process
	node.process, node.silentSince = nil, time.Now()
	node.world.mutex.Unlock()
	killed.end()
	<-killed.steward.Done()
}

// stop ends a process as a planned stop does.
func (node *node) stop() {
	stopped := node.process
	stopped.end()
	<-stopped.steward.Done()
	node.kill()
}

// freeze holds a node up until thaw.
func (node *node) freeze() {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	node.thawed, node.silentSince = make(chan struct{}), time.Now()
}

func (node *node) thaw() {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	close(node.thawed)
	node.thawed, node.silentSince = nil, time.Time{}
}

// pass waits while the node is frozen and tells whether the process still runs.
func (process *process) pass() bool {
	for {
		process.node.world.mutex.Lock()
		thawed, runs := process.node.thawed, process.node.process == process
		process.node.world.mutex.Unlock()
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

// hears tells whether a node still counts another as there.
func (world *world) hears(from, to *node) bool {
	unheard := from.silentSince
	if from.process == nil || from.thawed != nil {
		return !unheard.IsZero() && time.Since(unheard) < noticeTime
	}
	return !world.severed(from, to)
}

// Precedence returns the node's place as it follows from who answers.
func (process *process) Precedence(_ time.Time, passedOver func(vm definer.VM) bool) exchanger.Precedence {
	process.pass()
	world := process.node.world
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var aggregators []*node
	var own []*node
	for first := 0; first < len(world.nodes); first += groupSize {
		group := world.nodes[first:min(first+groupSize, len(world.nodes))]
		at := slices.IndexFunc(group, func(node *node) bool { return node == process.node || world.hears(node, process.node) })
		if at >= 0 {
			aggregators = append(aggregators, group[at])
		}
		if slices.Contains(group, process.node) {
			own = group
		}
	}
	return world.precedence(process.node, own, aggregators, passedOver)
}

// precedence returns the place of a node of a group; the world is locked.
func (world *world) precedence(self *node, own, aggregators []*node, passedOver func(vm definer.VM) bool) exchanger.Precedence {
	precedence := exchanger.Precedence{Listed: len(world.nodes)}
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
	groups := (len(world.nodes) + groupSize - 1) / groupSize
	if groups >= 3 {
		return precedence
	}
	precedence.Audience = nil
	for _, node := range world.nodes {
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
	if !process.pass() {
		return
	}
	world := process.node.world
	time.AfterFunc(wayTime, func() {
		world.mutex.Lock()
		at := slices.IndexFunc(world.nodes, func(node *node) bool { return node.peer.Address == address })
		to := world.nodes[at]
		target := to.process
		if target == nil || to.thawed != nil || world.severed(process.node, to) {
			world.mutex.Unlock()
			return
		}
		world.mutex.Unlock()
		target.steward.Receive(process.member, message)
	})
}

// call makes one call to a system: carry is called, with the world locked, when it is
// carried out. It returns whether the caller is answered, and whether nothing was done.
func (process *process) call(ctx context.Context, trouble *trouble, carry func()) (answered, refused bool) {
	if !process.pass() {
		<-ctx.Done()
		return false, false
	}
	world, node := process.node.world, process.node
	world.mutex.Lock()
	now := *trouble
	lost, late, lateBy := world.random.Float64() < trouble.lost, world.random.Float64() < trouble.late, 2*time.Second+time.Duration(world.random.Int64N(int64(10*time.Second)))
	world.mutex.Unlock()
	if now.silent != nil && now.silent(node) {
		<-ctx.Done()
		return false, false
	}
	wait := func(span time.Duration) bool {
		select {
		case <-time.After(span):
			return true
		case <-ctx.Done():
			return false
		}
	}
	locked := func() {
		world.mutex.Lock()
		defer world.mutex.Unlock()
		carry()
	}
	if now.down != nil && now.down(node) {
		wait(answerTime)
		return false, true
	}
	if late {
		time.AfterFunc(lateBy, locked)
		<-ctx.Done()
		return false, false
	}
	// It arrives whatever becomes of the caller.
	time.AfterFunc((answerTime+now.slow)/2, locked)
	if lost || !wait(answerTime+now.slow) {
		<-ctx.Done()
		return false, false
	}
	return process.pass(), false
}

// Read reads an object of the store.
func (process *process) Read(ctx context.Context, duty string) (leaseholder.Object, error) {
	world := process.node.world
	var object leaseholder.Object
	answered, refused := process.call(ctx, &world.store, func() {
		world.storeCalls[duty]++
		object = world.objects[duty]
	})
	if err := outcome(answered, refused); err != nil {
		return leaseholder.Object{}, err
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return object, nil
}

func outcome(answered, refused bool) error {
	switch {
	case refused:
		return leaseholder.Fail("test", leaseholder.Refused, "turned away")
	case !answered:
		return leaseholder.Fail("test", leaseholder.Unanswered, "no answer")
	}
	return nil
}

// Write writes an object of the store on its condition.
func (process *process) Write(ctx context.Context, duty string, object leaseholder.Object) (uint64, error) {
	world := process.node.world
	var revision uint64
	var conflict bool
	answered, refused := process.call(ctx, &world.store, func() {
		world.storeCalls[duty]++
		if world.objects[duty].Revision != object.Revision {
			conflict = true
			return
		}
		world.revision++
		revision = world.revision
		world.objects[duty] = leaseholder.Object{Revision: revision, Content: object.Content}
	})
	if err := outcome(answered, refused); err != nil {
		return 0, err
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if conflict {
		return 0, leaseholder.Fail("test", leaseholder.Conflict, "another revision")
	}
	return revision, nil
}

// Tell takes a report of usage.
func (process *process) Tell(ctx context.Context, grant steward.Grant, usage *steward.Settled) error {
	world := process.node.world
	window, counts := usage.Window, maps.Clone(usage.Requests)
	var outdated bool
	answered, refused := process.call(ctx, &world.authority, func() {
		if outdated = !world.carryOut("usage", process, grant); outdated {
			return
		}
		if told, again := world.reports[window]; again {
			assert.Check(world.t, maps.Equal(told, counts), "window %d is told twice, with other counts", window)
			return
		}
		world.reports[window] = counts
		world.lateness[window] = time.Since(endOf(window))
	})
	if err := outcome(answered, refused); err != nil {
		return err
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	if outdated {
		return leaseholder.Fail("test", leaseholder.Outdated, "a newer token was seen")
	}
	return nil
}

// Order takes an order of engines.
func (process *process) Order(ctx context.Context, grant steward.Grant, order *steward.Order) error {
	world := process.node.world
	placed := *order
	var outdated, none bool
	answered, refused := process.call(ctx, &world.authority, func() {
		subject := fmt.Sprintf("%s in %s", placed.Service, placed.DataCentre)
		if outdated = !world.carryOut(subject, process, grant); outdated {
			return
		}
		none = !world.engines.order(&placed)
	})
	if err := outcome(answered, refused); err != nil {
		return err
	}
	world.mutex.Lock()
	defer world.mutex.Unlock()
	switch {
	case outdated:
		return leaseholder.Fail("test", leaseholder.Outdated, "a newer token was seen")
	case none:
		return leaseholder.Fail("test", leaseholder.Unavailable, "none are to be had")
	}
	return nil
}

func endOf(window tallier.Window) time.Time {
	return time.Unix(0, int64(time.Duration(window+1)*usageWindow))
}

// carryOut checks the fence of an act and holds that no token has two holders and that no
// holder acts, is followed by another, and acts again within a lease; the world is locked.
func (world *world) carryOut(subject string, process *process, grant steward.Grant) bool {
	machine := string(process.node.peer.VM)
	if grant.Token < world.highest[subject] {
		return false
	}
	world.highest[subject] = grant.Token
	acts := world.acts[subject]
	for index := range acts {
		assert.Check(world.t, acts[index].token != grant.Token || acts[index].machine == machine, "%s and %s act with token %d", acts[index].machine, machine, grant.Token)
	}
	for index := len(acts) - 1; index >= 0 && time.Since(acts[index].at) < leaseTerm; index-- {
		between := slices.ContainsFunc(acts[index:], func(act act) bool { return act.machine != machine })
		assert.Check(world.t, acts[index].machine != machine || !between, "%s acts %v after it did, another in between", machine, time.Since(acts[index].at))
	}
	world.acts[subject] = append(acts, act{machine, grant.Token, time.Now()})
	return true
}

// begin has a request of an organisation begin, seen by a process that runs.
func (world *world) begin(organisation definer.OrganisationName) {
	world.mutex.Lock()
	var running []*process
	for _, node := range world.nodes {
		if node.process != nil && node.thawed == nil {
			running = append(running, node.process)
		}
	}
	window := tallier.Window(time.Duration(time.Now().UnixNano()) / usageWindow)
	if len(running) == 0 {
		world.mutex.Unlock()
		return
	}
	if world.truth[window] == nil {
		world.truth[window] = make(map[definer.OrganisationName]uint64)
	}
	world.truth[window][organisation]++
	chosen := running[world.random.IntN(len(running))]
	world.mutex.Unlock()
	chosen.steward.Begun(organisation)
}

// serve lets time pass in which so many requests a second begin, of five organisations.
func (world *world) serve(passes time.Duration, perSecond int) {
	for range int(passes.Seconds() * float64(perSecond)) {
		time.Sleep(time.Second / time.Duration(perSecond))
		world.begin(definer.OrganisationName(fmt.Sprintf("o%d", min(world.script.IntN(8), 4))))
	}
}

// stopAll ends all processes.
func (world *world) stopAll() {
	for _, node := range world.nodes {
		if node.thawed != nil {
			node.thaw()
		}
		if node.process != nil {
			node.kill()
		}
	}
	time.Sleep(20 * time.Second) // What is late is carried out, and calls end.
}

// checkTold holds that every window that ended long enough ago was told in time, and
// returns how many of them are off by more than the tolerance.
func (world *world) checkTold(first, last tallier.Window) (off int) {
	world.t.Helper()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for window := first; window <= last; window++ {
		counts, told := world.reports[window]
		assert.Check(world.t, told && world.lateness[window] <= usageDeadline, "window %d: told %t, %v after its end", window, told, world.lateness[window])
		if !world.near(counts, world.truth[window]) {
			off++
			world.t.Logf("window %d: told %v, began %v", window, counts, world.truth[window])
		}
	}
	return off
}

// latest returns the longest time after a window's end at which one was told.
func (world *world) latest(first, last tallier.Window) time.Duration {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var longest time.Duration
	for window := first; window <= last; window++ {
		longest = max(longest, world.lateness[window])
	}
	return longest
}

// sever sets which nodes are cut off from each other.
func (world *world) sever(severed func(from, to *node) bool) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.severed = severed
}

// set sets how a system answers, until the function that it returns is called.
func (world *world) set(target *trouble, value trouble) (end func()) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	*target = value
	return func() {
		world.mutex.Lock()
		defer world.mutex.Unlock()
		*target = trouble{}
	}
}

// calls returns how many calls to the store a duty has made.
func (world *world) calls(duty string) int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return world.storeCalls[duty]
}

// near tells whether counts are within the tolerance of the truth.
func (world *world) near(counts, truth map[definer.OrganisationName]uint64) bool {
	for organisation, began := range truth {
		if diff := float64(counts[organisation]) - float64(began); max(diff, -diff) > max(tolerance*float64(began), 1) {
			return false
		}
	}
	return true
}

// current returns the window of now.
func current() tallier.Window {
	return tallier.Window(time.Duration(time.Now().UnixNano()) / usageWindow)
}

// show logs what the processes logged when the test failed.
func (world *world) show() {
	if !world.t.Failed() {
		return
	}
	for _, node := range world.nodes {
		if node.process != nil && len(node.process.events) > 0 {
			content, _ := json.Marshal(node.process.events)
			world.t.Logf("%s: %s", node.peer.VM, content)
		}
	}
}

package exchanger

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
	"limpetcleat/selector"
)

const (
	// tick is the step of the simulated clock; the times of stages and the latencies are
	// multiples of it.
	tick = 4 * time.Millisecond
	// maxLatency is the longest latency of a report, some four times the latency between
	// two data centres of the users.
	maxLatency = 3 * tick
	// crashDelay is how long a crashing request runs before its upstream crashes,
	// restartTime how long the upstream takes to come back.
	crashDelay  = 40 * time.Millisecond
	restartTime = 1500 * time.Millisecond
	// crashesUntilHeld, propagationBound and lateSendsAllowed are the bound that the
	// users require: after the third crash and propagationBound, connected nodes send the
	// request at most lateSendsAllowed times.
	crashesUntilHeld = 3
	propagationBound = 3 * time.Second
	lateSendsAllowed = 3
	// worldSeeds is the number of random runs of each case; for longer runs set it to 50.
	worldSeeds = 2
	// maxWrongRefusal is the longest time for which a node may continuously refuse an
	// innocent request: until the facts of all nodes have been combined.
	maxWrongRefusal = time.Second
)

// world simulates a fleet whose nodes send requests to upstreams; some of the requests
// crash their upstream.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	nodes  []*member
	// upstreams holds the upstreams with their current starts and the times up to which
	// they are down.
	upstreams []*upstream
	// runs holds the requests in progress, inTransit the reports that have not arrived
	// yet.
	runs      []*run
	inTransit []transit
	// waiting holds the requests for which the node has yet to decide whether they may be
	// sent.
	waiting []waiting
	// lossRate is the fraction of reports that are lost; cut holds the nodes that are
	// partitioned from all others.
	lossRate float64
	cut      map[definer.VM]bool
	// guilty holds the outcome of each request that crashes its upstreams.
	guilty map[definer.RequestIdentity]*outcome
	// refusedSince is the time since which a node has continuously refused an innocent
	// request, and longestRefusal the longest of these periods.
	refusedSince   map[refusalKey]time.Time
	longestRefusal time.Duration
	served         int
	refused        int
	// facts counts the facts that were sent in reports.
	facts int
}

// member is one node of the world.
type member struct {
	peer      Peer
	exchanger *Exchanger
	suspects  *quarantiner.Quarantiner
	// disturbed is when the node was last started, partitioned or reconnected.
	disturbed time.Time
}

type upstream struct {
	start     definer.UpstreamStart
	downUntil time.Time
}

// run is one request at one upstream.
type run struct {
	node     *member
	upstream *upstream
	start    definer.UpstreamStart
	identity definer.RequestIdentity
	ends     time.Time
	crashes  bool
}

type transit struct {
	at       time.Time
	from, to definer.VM
	report   *messenger.LoadReport
}

// waiting is a request that waits at a node until the node decides whether it may be
// sent.
type waiting struct {
	node     *member
	identity definer.RequestIdentity
	takes    time.Duration
}

type refusalKey struct {
	node     *member
	identity definer.RequestIdentity
}

// outcome records the crashes that a request caused, and its sends after the allowed
// time.
type outcome struct {
	crashes   []time.Time
	lateSends int
}

func newWorld(t *testing.T, seed uint64, upstreams int, sizes ...int) *world {
	world := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1000, 0),
		cut: make(map[definer.VM]bool), guilty: make(map[definer.RequestIdentity]*outcome),
		refusedSince: make(map[refusalKey]time.Time),
	}
	for place, size := range sizes {
		for index := range size {
			vm := definer.VM(fmt.Sprintf("%d-%03d", place, index))
			world.nodes = append(world.nodes, &member{peer: Peer{VM: vm, DataCentre: definer.DataCentre(fmt.Sprint(place)), Address: string(vm)}})
		}
	}
	for _, node := range world.nodes {
		world.start(node)
	}
	for number := range upstreams {
		world.upstreams = append(world.upstreams, &upstream{start: definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("u%d", number)), Incarnation: 1}})
	}
	world.play(time.Second, func() {})
	for _, node := range world.nodes {
		node.disturbed = world.now.Add(-time.Hour)
	}
	return world
}

// start starts or restarts a node.
func (world *world) start(node *member) {
	node.suspects = quarantiner.New()
	node.exchanger = New(node.peer, selector.New(node.peer.DataCentre), nil, WithSuspicions(node.suspects))
	var peers []Peer
	for _, other := range world.nodes {
		peers = append(peers, other.peer)
	}
	node.exchanger.Replace(peers)
	node.disturbed = world.now
}

// play advances the simulated time by span and calls each once in a tick.
func (world *world) play(span time.Duration, each func()) {
	for end := world.now.Add(span); world.now.Before(end); world.now = world.now.Add(tick) {
		world.deliver()
		world.endRuns()
		due := world.waiting
		world.waiting = nil
		for _, waiting := range due {
			world.send(waiting.node, waiting.identity, waiting.takes)
		}
		into := time.Duration(world.now.UnixNano()) % interval
		if into%stageInterval == 0 && into/stageInterval < time.Duration(stageCount) {
			world.report(stage(into / stageInterval))
		}
		each()
	}
}

// report sends the reports of all nodes that are due at a stage; they take 1 to 3 ticks
// to arrive.
func (world *world) report(due stage) {
	for _, node := range world.nodes {
		for _, outgoing := range node.exchanger.compose(world.now, due) {
			for _, fall := range outgoing.report.Falls {
				world.facts += len(fall.Suspects) + len(fall.Cleared)
			}
			if world.random.Float64() < world.lossRate {
				continue
			}
			way := time.Duration(1+world.random.IntN(int(maxLatency/tick))) * tick
			world.inTransit = append(world.inTransit, transit{world.now.Add(way), node.peer.VM, definer.VM(outgoing.address), outgoing.report})
		}
	}
}

func (world *world) deliver() {
	var later []transit
	for _, transit := range world.inTransit {
		if transit.at.After(world.now) {
			later = append(later, transit)
			continue
		}
		if to := world.node(transit.to); !world.cut[transit.from] && !world.cut[transit.to] {
			to.exchanger.receive(world.now, definer.Member{VM: transit.from}, transit.report)
		}
	}
	world.inTransit = later
}

func (world *world) node(vm definer.VM) *member {
	place, _ := slices.BinarySearchFunc(world.nodes, vm, func(node *member, vm definer.VM) int { return cmp.Compare(node.peer.VM, vm) })
	return world.nodes[place]
}

// endRuns ends the runs that are over, and those whose upstream has crashed.
func (world *world) endRuns() {
	var left []*run
	for _, run := range world.runs {
		switch {
		case run.upstream.start != run.start:
			// The upstream has crashed during the run.
			run.node.suspects.RecordCrash(world.now, run.start, run.identity)
		case run.ends.After(world.now):
			left = append(left, run)
		case run.crashes:
			world.end(run.upstream)
			outcome := world.guilty[run.identity]
			outcome.crashes = append(outcome.crashes, world.now)
			run.node.suspects.RecordCrash(world.now, run.start, run.identity)
		default:
			run.node.suspects.RecordServed(world.now, run.identity)
			world.served++
		}
	}
	world.runs = left
}

// end crashes an upstream; the runs on it are ended within a tick.
func (world *world) end(upstream *upstream) {
	upstream.start.Incarnation++
	upstream.downUntil = world.now.Add(restartTime)
}

// send sends a request through a node to a random upstream, unless the node refuses it or
// the upstream is down.
func (world *world) send(node *member, identity definer.RequestIdentity, takes time.Duration) {
	key := refusalKey{node, identity}
	outcome := world.guilty[identity]
	verdict := node.suspects.Check(world.now, identity)
	if verdict.RecheckAfter > 0 {
		world.waiting = append(world.waiting, waiting{node, identity, takes})
		return
	}
	if verdict.HeldFor > 0 {
		if outcome == nil {
			world.refuse(key)
		}
		return
	}
	delete(world.refusedSince, key)
	upstream := world.upstreams[world.random.IntN(len(world.upstreams))]
	if upstream.downUntil.After(world.now) {
		return
	}
	run := &run{node: node, upstream: upstream, start: upstream.start, identity: identity, ends: world.now.Add(takes)}
	if outcome != nil {
		run.crashes, run.ends = true, world.now.Add(crashDelay)
		inTouch := !world.cut[node.peer.VM] && world.now.Sub(node.disturbed) >= propagationBound
		if len(outcome.crashes) >= crashesUntilHeld && world.now.Sub(outcome.crashes[crashesUntilHeld-1]) > propagationBound && inTouch {
			outcome.lateSends++
		}
	}
	world.runs = append(world.runs, run)
}

// refuse records that an innocent request was refused.
func (world *world) refuse(key refusalKey) {
	world.refused++
	since, known := world.refusedSince[key]
	if !known {
		world.refusedSince[key] = world.now
		return
	}
	world.longestRefusal = max(world.longestRefusal, world.now.Sub(since))
}

// pick returns a random node.
func (world *world) pick() *member { return world.nodes[world.random.IntN(len(world.nodes))] }

// identityOf returns the identity of a request with the given text.
func identityOf(text string) definer.RequestIdentity {
	return quarantiner.Identify(&quarantiner.RequestParts{Target: text})
}

// load describes requests that crash their upstreams, each sent by several callers at
// once, and innocent requests beside them.
type load struct {
	guilty  int
	callers int
	// every is the mean time between two attempts of a caller; others is the number of
	// innocent requests per second, of which a third are one and the same request.
	every  time.Duration
	others int
}

// runLoad runs a load for the given time and calls trouble at each tick.
func (world *world) runLoad(span time.Duration, load load, trouble func()) {
	for number := range load.guilty {
		world.guilty[identityOf(fmt.Sprint("guilty ", number))] = &outcome{}
	}
	count := 0
	world.play(span, func() {
		trouble()
		for number := range load.guilty {
			for range load.callers {
				if world.random.Float64() < float64(tick)/float64(load.every) {
					world.send(world.pick(), identityOf(fmt.Sprint("guilty ", number)), crashDelay)
				}
			}
		}
		for range load.others {
			if world.random.Float64() >= tick.Seconds() {
				continue
			}
			count++
			asked := fmt.Sprint("other ", count)
			if count%3 == 0 {
				asked = "asked often"
			}
			world.send(world.pick(), identityOf(asked), time.Duration(50+world.random.IntN(400))*time.Millisecond)
		}
	})
}

// span returns a time in which a request could crash a dozen upstreams if it were not
// held off.
func (load load) span() time.Duration { return max(8*time.Second, 12*load.every) }

// check checks the bound on each guilty request, and the longest refusal of an innocent
// one.
func (world *world) check() {
	world.t.Helper()
	for identity, outcome := range world.guilty {
		world.t.Logf("%v: %d crashes, %d late sends; others: %d served, %d refused, for up to %v; %d facts sent", identity, len(outcome.crashes), outcome.lateSends, world.served, world.refused, world.longestRefusal, world.facts)
		assert.Check(world.t, len(outcome.crashes) >= crashesUntilHeld, "%v: %d crashes are too few to test the bound", identity, len(outcome.crashes))
		assert.Check(world.t, outcome.lateSends <= lateSendsAllowed, "%v: %d late sends, %d crashes", identity, outcome.lateSends, len(outcome.crashes))
	}
	assert.Check(world.t, world.longestRefusal <= maxWrongRefusal, "an innocent request was refused for %v", world.longestRefusal)
}

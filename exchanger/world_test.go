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
	// tick is the step of the model's clock, of which stages and ways are multiples.
	tick = 4 * time.Millisecond
	// longestWay is how long a report takes at most, some four times as long as between two
	// data centres of the users.
	longestWay = 3 * tick
	// endsAfter is how long a crashing request runs before its upstream ends, backAfter how
	// long that takes to come back.
	endsAfter = 40 * time.Millisecond
	backAfter = 1500 * time.Millisecond
	// crashedEnough, knownWithin and sendsAllowed are the users' bound: so many sends by
	// nodes in touch later than that behind the third end.
	crashedEnough = 3
	knownWithin   = 3 * time.Second
	sendsAllowed  = 3
	// worldSeeds is how many random runs of each case are played; by hand it is set to 50.
	worldSeeds = 2
	// heldInError is the longest that an innocent request may be refused at a node on end:
	// until the facts of all nodes have come together.
	heldInError = time.Second
)

// world is a fleet whose nodes send requests to upstreams, some of which end them.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	nodes  []*member
	// upstreams hold until when each is away, and its start.
	upstreams []*upstream
	// underway are the runs that have not ended, flying the reports on their way.
	underway []*run
	flying   []flight
	// waiting are the requests whose verdict is not settled.
	waiting []waiting
	// lost is the part of reports that is lost, cut the nodes that neither hear nor are heard.
	lost float64
	cut  map[definer.VM]bool
	// guilty holds what became of each request that ends its upstreams.
	guilty map[definer.RequestIdentity]*outcome
	// refusedSince is since when an innocent request has been refused at a node on end, and
	// longest the longest of those spans.
	refusedSince map[refusalKey]time.Time
	longest      time.Duration
	served       int
	refused      int
	// facts counts those that were told.
	facts int
}

// member is one node of the world.
type member struct {
	peer      Peer
	exchanger *Exchanger
	suspects  *quarantiner.Quarantiner
	// disturbed is when it was last started, cut off or joined again.
	disturbed time.Time
}

type upstream struct {
	start  definer.UpstreamStart
	awayTo time.Time
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

type flight struct {
	at       time.Time
	from, to definer.VM
	report   *messenger.LoadReport
}

// waiting is a request that waits at a node until it is settled whether it may be sent.
type waiting struct {
	node     *member
	identity definer.RequestIdentity
	takes    time.Duration
}

type refusalKey struct {
	node     *member
	identity definer.RequestIdentity
}

// outcome is what a request that ends its upstreams came to.
type outcome struct {
	ends []time.Time
	late int
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

// start starts a node, for the first time or again.
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

// play lets time pass; each is called once in a tick.
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
		if into%stageLag == 0 && into/stageLag < time.Duration(stageCount) {
			world.report(stage(into / stageLag))
		}
		each()
	}
}

// report has all nodes tell what is due at a stage; reports take 1 to 3 ticks.
func (world *world) report(due stage) {
	for _, node := range world.nodes {
		for _, outgoing := range node.exchanger.compose(world.now, due) {
			for _, fall := range outgoing.report.Falls {
				world.facts += len(fall.Suspects) + len(fall.Cleared)
			}
			if world.random.Float64() < world.lost {
				continue
			}
			way := time.Duration(1+world.random.IntN(int(longestWay/tick))) * tick
			world.flying = append(world.flying, flight{world.now.Add(way), node.peer.VM, definer.VM(outgoing.address), outgoing.report})
		}
	}
}

func (world *world) deliver() {
	var later []flight
	for _, flight := range world.flying {
		if flight.at.After(world.now) {
			later = append(later, flight)
			continue
		}
		if to := world.node(flight.to); !world.cut[flight.from] && !world.cut[flight.to] {
			to.exchanger.receive(world.now, definer.Member{VM: flight.from}, flight.report)
		}
	}
	world.flying = later
}

func (world *world) node(vm definer.VM) *member {
	place, _ := slices.BinarySearchFunc(world.nodes, vm, func(node *member, vm definer.VM) int { return cmp.Compare(node.peer.VM, vm) })
	return world.nodes[place]
}

// endRuns ends the runs that are over, and those at upstreams that end by them.
func (world *world) endRuns() {
	var left []*run
	for _, run := range world.underway {
		switch {
		case run.upstream.start != run.start:
			// The upstream has ended under it.
			run.node.suspects.Fell(world.now, run.start, run.identity)
		case run.ends.After(world.now):
			left = append(left, run)
		case run.crashes:
			world.end(run.upstream)
			outcome := world.guilty[run.identity]
			outcome.ends = append(outcome.ends, world.now)
			run.node.suspects.Fell(world.now, run.start, run.identity)
		default:
			run.node.suspects.Served(world.now, run.identity)
			world.served++
		}
	}
	world.underway = left
}

// end ends an upstream; the runs there find out within a tick.
func (world *world) end(upstream *upstream) {
	upstream.start.Incarnation++
	upstream.awayTo = world.now.Add(backAfter)
}

// send sends a request through a node, if that lets it, to an upstream that is there.
func (world *world) send(node *member, identity definer.RequestIdentity, takes time.Duration) {
	key := refusalKey{node, identity}
	outcome := world.guilty[identity]
	verdict := node.suspects.Check(world.now, identity)
	if verdict.Wait > 0 {
		world.waiting = append(world.waiting, waiting{node, identity, takes})
		return
	}
	if verdict.Left > 0 {
		if outcome == nil {
			world.refuse(key)
		}
		return
	}
	delete(world.refusedSince, key)
	upstream := world.upstreams[world.random.IntN(len(world.upstreams))]
	if upstream.awayTo.After(world.now) {
		return
	}
	run := &run{node: node, upstream: upstream, start: upstream.start, identity: identity, ends: world.now.Add(takes)}
	if outcome != nil {
		run.crashes, run.ends = true, world.now.Add(endsAfter)
		inTouch := !world.cut[node.peer.VM] && world.now.Sub(node.disturbed) >= knownWithin
		if len(outcome.ends) >= crashedEnough && world.now.Sub(outcome.ends[crashedEnough-1]) > knownWithin && inTouch {
			outcome.late++
		}
	}
	world.underway = append(world.underway, run)
}

// refuse notes that an innocent request was refused.
func (world *world) refuse(key refusalKey) {
	world.refused++
	since, known := world.refusedSince[key]
	if !known {
		world.refusedSince[key] = world.now
		return
	}
	world.longest = max(world.longest, world.now.Sub(since))
}

// pick returns a node drawn anew.
func (world *world) pick() *member { return world.nodes[world.random.IntN(len(world.nodes))] }

// name returns the identity that a name stands for.
func name(text string) definer.RequestIdentity {
	return quarantiner.Identify(&quarantiner.Subject{Target: text})
}

// load is some requests that end their upstreams, each sent by several callers at once, and
// others beside them.
type load struct {
	guilty  int
	callers int
	// every is the mean time between two attempts of a caller, others the requests beside it
	// in a second, of which a third are always one and the same.
	every  time.Duration
	others int
}

// carry has the world carry a load, with the given trouble at each tick.
func (world *world) carry(span time.Duration, load load, trouble func()) {
	for number := range load.guilty {
		world.guilty[name(fmt.Sprint("guilty ", number))] = &outcome{}
	}
	count := 0
	world.play(span, func() {
		trouble()
		for number := range load.guilty {
			for range load.callers {
				if world.random.Float64() < float64(tick)/float64(load.every) {
					world.send(world.pick(), name(fmt.Sprint("guilty ", number)), endsAfter)
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
			world.send(world.pick(), name(asked), time.Duration(50+world.random.IntN(400))*time.Millisecond)
		}
	})
}

// span is long enough for a request to end a dozen upstreams unless it is held off.
func (load load) span() time.Duration { return max(8*time.Second, 12*load.every) }

// check holds the bound on each guilty request, and how long an innocent one was refused.
func (world *world) check() {
	world.t.Helper()
	for identity, outcome := range world.guilty {
		world.t.Logf("%v: %d ends, %d late; others: %d served, %d refused, %v on end; %d facts told", identity, len(outcome.ends), outcome.late, world.served, world.refused, world.longest, world.facts)
		assert.Check(world.t, len(outcome.ends) >= crashedEnough, "%v: %d ends are no trial", identity, len(outcome.ends))
		assert.Check(world.t, outcome.late <= sendsAllowed, "%v: %d late sends, %d ends", identity, outcome.late, len(outcome.ends))
	}
	assert.Check(world.t, world.longest <= heldInError, "an innocent request was refused for %v", world.longest)
}

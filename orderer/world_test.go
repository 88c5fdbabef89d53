package orderer

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/standin/clock"
)

// world is some processes, a platform and engines under one stepped clock. Each
// process has a clock of its own rate.
type world struct {
	*clock.Clock
	begin   time.Time
	random  *rand.Rand
	nodes   []*process
	engines map[definer.UpstreamName]*runner
	// away turns every call to the platform away without an answer.
	away    bool
	version uint64
	value   []byte
	calls   int
	// onWrite tells how a write of the lease goes; nil is always well.
	onWrite func(node *process) writeFate
	// onSend sees orders before the last look at the clock; nil does nothing.
	onSend func(node *process, order Order)
	// onWire tells how long an order that has left a process is under way.
	onWire func(node *process, order Order) time.Duration
	// overlaps counts orders sent while one of another holder could still begin.
	overlaps int
	// backwards counts older orders that an engine took after newer ones.
	backwards int
}

type writeFate struct {
	effect, lost bool
	late         time.Duration
}

type process struct {
	world   *world
	orderer *Orderer
	rate    float64
	frozen  time.Time
	wake    int
	dead    bool
	// cut keeps the process from the platform.
	cut bool
	// open holds when the last byte of each order without an answer may go.
	open map[uint64]time.Time
	sent []time.Time
}

type runner struct {
	checks, dead bool
	// deaf engines answer readings only.
	deaf        bool
	fence       uint64
	state       State
	loadTime    time.Duration
	refusals    int
	loads       int
	loading     int
	mostLoading int
	changes     int
}

// upstreams returns checked upstreams of one data centre.
func upstreams(t *testing.T, documents ...definer.UpstreamDocument) []*definer.Upstream {
	t.Helper()
	for index := range documents {
		documents[index].DataCentre, documents[index].Address, documents[index].Slots = "dc", "127.0.0.1:1", 1
	}
	configuration, err := definer.Build(1, definer.Document{Pools: []definer.PoolDocument{{Name: "p", Kind: "engine", Upstreams: documents}}})
	assert.NilError(t, err)
	return configuration.Pools()[0].Upstreams()
}

func wanted(name, role string, models ...string) definer.UpstreamDocument {
	return definer.UpstreamDocument{Name: name, Wanted: &definer.WantedDocument{Models: models, Role: role}}
}

func newWorld(seed uint64, timing Timing, rates ...float64) *world {
	begin := time.Unix(1_800_000_000, 0)
	world := &world{Clock: clock.New(begin), begin: begin, random: rand.New(rand.NewPCG(seed, 3)), engines: make(map[definer.UpstreamName]*runner)}
	for index, rate := range rates {
		node := &process{world: world, rate: rate, open: make(map[uint64]time.Time)}
		self := definer.Member{VM: definer.VM(rune('a' + index)), Incarnation: 1}
		node.orderer = New(self, "dc", node, WithTiming(timing), WithSeed(seed+uint64(index)))
		world.nodes = append(world.nodes, node)
	}
	return world
}

// want sets what all processes want, and that they stand by.
func (world *world) want(version uint64, upstreams []*definer.Upstream) {
	for _, upstream := range upstreams {
		if world.engines[upstream.Name()] == nil {
			world.engines[upstream.Name()] = &runner{checks: upstream.ChecksFencing()}
		}
	}
	for _, node := range world.nodes {
		node.enter(func(now time.Time) {
			node.orderer.SetWanted(now, version, upstreams, 0)
			node.orderer.SetStandsBy(now, true)
		})
	}
}

// clock returns a process's own time; real turns it back.
func (node *process) clock() time.Time {
	return node.world.begin.Add(time.Duration(float64(node.world.Now().Sub(node.world.begin)) * node.rate))
}

func (node *process) real(own time.Time) time.Time {
	return node.world.begin.Add(time.Duration(float64(own.Sub(node.world.begin)) / node.rate))
}

// enter runs a step of a process, once it is not frozen.
func (node *process) enter(step func(now time.Time)) {
	if wait := node.frozen.Sub(node.world.Now()); wait > 0 {
		node.world.After(wait, func() { node.enter(step) })
		return
	}
	if !node.dead {
		step(node.clock())
	}
}

func (node *process) holds() bool { return node.orderer.lease.held(node.clock()) }

func (node *process) Tell(Notice, ...any) {}

func (node *process) WakeAt(at time.Time) {
	node.wake++
	mark := node.wake
	node.world.After(node.real(at).Sub(node.world.Now())+time.Microsecond, func() {
		if node.wake == mark {
			node.enter(node.orderer.Fired)
		}
	})
}

func (node *process) CallPlatform(call Call) {
	world := node.world
	world.calls++
	fate := writeFate{effect: true}
	if call.Verb != Read && world.onWrite != nil {
		fate = world.onWrite(node)
	}
	answer := Answer{Result: Lost}
	world.After(2*time.Millisecond, func() {
		away := world.away || node.cut
		if fate.effect && !away {
			world.After(fate.late, func() { answer = world.apply(call) })
		}
		world.After(2*time.Millisecond, func() {
			if fate.lost || away || fate.late > 0 || !fate.effect {
				answer = Answer{Result: Lost}
			}
			node.enter(func(now time.Time) { node.orderer.Answered(now, answer) })
		})
	})
}

func (world *world) apply(call Call) Answer {
	switch {
	case call.Verb == Read && world.version == 0:
		return Answer{Result: Missing}
	case call.Verb == Read:
		return Answer{Result: Done, Version: world.version, Value: world.value}
	case call.Version != world.version:
		return Answer{Result: Conflict, Version: world.version, Value: world.value}
	}
	// Versions are shared with other objects: they skip.
	world.version += 1 + uint64(world.random.IntN(3))
	world.value = call.Value
	return Answer{Result: Done, Version: world.version, Value: world.value}
}

// Send is the dispatcher: it looks at the clock again, just before the wire.
func (node *process) Send(order Order) {
	world := node.world
	for _, other := range world.nodes {
		for _, end := range other.open {
			if other != node && end.After(world.Now()) {
				world.overlaps++
			}
		}
	}
	node.sent = append(node.sent, world.Now())
	node.open[order.Number] = node.real(order.SendBy.Add(order.Timeout))
	if world.onSend != nil {
		world.onSend(node, order)
	}
	world.After(time.Millisecond, func() {
		node.enter(func(now time.Time) {
			if !now.Before(order.SendBy) {
				node.answered(OrderAnswer{Number: order.Number, Outcome: Unsent})
				return
			}
			wire := time.Millisecond
			if world.onWire != nil {
				wire = world.onWire(node, order)
			}
			if wire > order.Timeout {
				world.After(order.Timeout, func() { node.answered(OrderAnswer{Number: order.Number, Outcome: Unanswered}) })
			}
			world.After(wire, func() { world.reach(node, order) })
		})
	})
}

func (node *process) answered(answer OrderAnswer) {
	delete(node.open, answer.Number)
	node.enter(func(now time.Time) { node.orderer.OrderAnswered(now, answer) })
}

// reach is the engine's end of an order.
func (world *world) reach(node *process, order Order) {
	runner := world.engines[order.Upstream.Name()]
	answer := OrderAnswer{Number: order.Number, Outcome: Taken, Known: true}
	switch {
	case runner.dead:
		answer.Outcome = Unanswered
	case order.Act == ReadState:
	case runner.deaf:
		answer.Outcome = Unanswered
	case runner.checks && order.Fencing < runner.fence:
		answer.Outcome = OldFencing
	case runner.refusals > 0:
		runner.refusals--
		answer.Outcome = Refused
	default:
		if order.Fencing < runner.fence {
			world.backwards++
		}
		runner.fence = order.Fencing
		world.obey(runner, order)
	}
	answer.State = State{Models: slices.Clone(runner.state.Models), Role: runner.state.Role}
	node.answered(answer)
}

func (world *world) obey(runner *runner, order Order) {
	runner.changes++
	switch order.Act {
	case Load:
		runner.loads++
		runner.loading++
		loading := 0
		for _, other := range world.engines {
			loading += other.loading
		}
		runner.mostLoading = max(runner.mostLoading, loading)
		world.After(runner.loadTime, func() {
			runner.loading--
			if !slices.Contains(runner.state.Models, order.Model) {
				runner.state.Models = append(runner.state.Models, order.Model)
			}
		})
	case Unload:
		runner.state.Models = without(runner.state.Models, []string{order.Model})
	case SetRole:
		runner.state.Role = order.Role
	}
}

package simulator

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

const (
	// tick is the step of time; no figure of a pattern is finer.
	tick = 5 * time.Millisecond
	// reportInterval is how often nodes tell each other what they do.
	reportInterval = 100 * time.Millisecond
	// firstIncarnation is that of the engines at the beginning.
	firstIncarnation = 1
	// deferredUrgency is behind that of every tier.
	deferredUrgency = 9
)

// Pattern is a load on a system.
type Pattern struct {
	Engines  int
	Nodes    int
	Settings EngineSettings
	Classes  []Class
	// BurstFrom and BurstUntil bound the burst, Length the whole, from the start on.
	BurstFrom  time.Duration
	BurstUntil time.Duration
	Length     time.Duration
	Seed       uint64
	// Restarts are in order of time.
	Restarts   []Restart
	Unreadable []Unreadable
}

// Unreadable is a time in which an engine's entry cannot be read: the nodes do not use it,
// and what it has goes on.
type Unreadable struct {
	Engine int
	From   time.Duration
	Until  time.Duration
}

// Restart is a crash of an engine, which starts again under its name at once and empty.
// Requests there end without an answer.
type Restart struct {
	Engine int
	At     time.Duration
	// Told is how long after it the nodes hear of the new start.
	Told time.Duration
}

// Window is what came of the requests of one second or class.
type Window struct {
	Asked   int
	InTime  int
	Late    int
	Refused int
	// Left counts those whose caller gave up.
	Left int
}

// Share returns the part of the requests that were served in time.
func (window Window) Share() float64 { return float64(window.InTime) / float64(max(window.Asked, 1)) }

// Plus returns what came of the requests of both.
func (window Window) Plus(other Window) Window {
	window.Asked += other.Asked
	window.InTime += other.InTime
	window.Late += other.Late
	window.Refused += other.Refused
	window.Left += other.Left
	return window
}

// Result is what came of a pattern.
type Result struct {
	Seconds []Window
	Classes map[string]Window
	// Sent holds when requests were sent to each engine, from the start on.
	Sent [][]time.Duration
	// Read counts the tokens of prompts that engines read, Again those of shared parts
	// that some engine had read before.
	Read  int
	Again int
}

// node chooses engines for its callers.
type node struct{ selector *selector.Selector }

// world is a pattern while it is played.
type world struct {
	pattern  Pattern
	random   *rand.Rand
	start    time.Time
	now      time.Time
	nodes    []*node
	engines  map[definer.UpstreamName]*engine
	list     []*registrar.Upstream
	live     []*request
	waiting  map[time.Time][]*request
	requests []*request
	refused  map[*request]bool
	seen     map[string]bool
	// sent holds when requests were sent to each engine.
	sent map[definer.UpstreamName][]time.Duration
}

// Play plays a pattern to its end.
func Play(pattern Pattern) Result {
	world := newWorld(pattern)
	for elapsed := time.Duration(0); elapsed < pattern.Length; elapsed += tick {
		world.now = world.start.Add(elapsed)
		if elapsed%reportInterval == 0 {
			world.exchange()
		}
		world.restart(elapsed)
		world.arrive(elapsed)
		world.expire()
		for _, upstream := range world.list {
			engine := world.engines[upstream.ID]
			engine.drop()
			engine.advance(world.now, tick, world.seen)
		}
	}
	return world.result()
}

func newWorld(pattern Pattern) *world {
	world := &world{
		pattern: pattern,
		random:  rand.New(rand.NewPCG(pattern.Seed, 1)),
		start:   time.Unix(1000, 0),
		engines: make(map[definer.UpstreamName]*engine),
		waiting: make(map[time.Time][]*request),
		refused: make(map[*request]bool),
		seen:    make(map[string]bool),
		sent:    make(map[definer.UpstreamName][]time.Duration),
	}
	for index := range pattern.Engines {
		id := definer.UpstreamName(fmt.Sprintf("engine-%03d", index))
		world.list = append(world.list, &registrar.Upstream{ID: id, Service: "pool", DataCentre: "one", Slots: pattern.Settings.Slots, Incarnation: firstIncarnation})
		world.engines[id] = newEngine(pattern.Settings)
	}
	for range pattern.Nodes {
		world.nodes = append(world.nodes, &node{selector: selector.New("one")})
	}
	return world
}

// restart plays the restarts that are due, and lets nodes hear of those that were.
func (world *world) restart(elapsed time.Duration) {
	for index, restart := range world.pattern.Restarts {
		upstream := world.list[restart.Engine]
		if elapsed == restart.At {
			world.crash(upstream.ID)
		}
		if elapsed == restart.At+restart.Told {
			later := *upstream
			later.Incarnation = definer.Incarnation(index + firstIncarnation + 1)
			world.list = slices.Clone(world.list)
			world.list[restart.Engine] = &later
		}
	}
}

// crash ends the requests at an engine and puts an empty one in its place.
func (world *world) crash(id definer.UpstreamName) {
	for _, request := range world.live {
		if !request.ended && request.assignment.Upstream().ID == id {
			request.lose(world.now)
		}
	}
	before := world.engines[id]
	world.engines[id] = newEngine(world.pattern.Settings)
	world.engines[id].read, world.engines[id].again = before.read, before.again
}

// arrive lets new callers come, and those that were refused come back.
func (world *world) arrive(elapsed time.Duration) {
	for index := range world.pattern.Classes {
		class := &world.pattern.Classes[index]
		rate := class.PerSecond
		if elapsed >= world.pattern.BurstFrom && elapsed < world.pattern.BurstUntil {
			rate *= class.Burst
		}
		for expected := rate * tick.Seconds(); expected > 0; expected-- {
			if world.random.Float64() < expected {
				world.send(world.ask(class))
			}
		}
	}
	for _, request := range world.waiting[world.now] {
		world.send(request)
	}
	delete(world.waiting, world.now)
}

// ask makes a new request.
func (world *world) ask(class *Class) *request {
	subject := fmt.Sprintf("%s-%d", class.Name, world.random.IntN(class.Subjects))
	request := &request{
		class:    class,
		parts:    []selector.Part{{ID: subject, Tokens: class.Shared}},
		prompt:   class.Shared + class.Own,
		output:   class.Output,
		came:     world.now,
		deadline: world.now.Add(class.Patience),
	}
	world.requests = append(world.requests, request)
	return request
}

// send has a node choose an engine for a request.
func (world *world) send(request *request) {
	class := request.class
	request.node = world.nodes[world.random.IntN(len(world.nodes))]
	candidates := world.readable()
	assignment, err := request.node.selector.Choose(world.now, &selector.Demand{
		Service: "pool", Rule: class.Name, Tier: class.Tier, Candidates: candidates, Engine: true, Parts: request.parts,
		PromptTokens: request.prompt, OutputTokens: request.output, CacheTokens: world.pattern.Settings.CacheTokens,
		Objective: class.Objective, TimeLeft: request.deadline.Sub(world.now), Idempotent: true,
		Deferrable: class.Deferrable,
	})
	if err != nil {
		world.refuse(request, err)
		return
	}
	request.assignment, request.urgency = assignment, class.Tier
	if assignment.Deferred() {
		request.urgency = deferredUrgency
	}
	world.sent[assignment.Upstream().ID] = append(world.sent[assignment.Upstream().ID], world.now.Sub(world.start))
	world.engines[assignment.Upstream().ID].take(request)
	world.live = append(world.live, request)
}

// readable returns the engines whose entries can be read.
func (world *world) readable() []*registrar.Upstream {
	if len(world.pattern.Unreadable) == 0 {
		return world.list
	}
	elapsed := world.now.Sub(world.start)
	hidden := make(map[definer.UpstreamName]bool)
	for _, unreadable := range world.pattern.Unreadable {
		if elapsed >= unreadable.From && elapsed < unreadable.Until {
			hidden[world.list[unreadable.Engine].ID] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(world.list), func(upstream *registrar.Upstream) bool { return hidden[upstream.ID] })
}

// refuse has a caller come back once, when it is told to.
func (world *world) refuse(request *request, err error) {
	var saturation *selector.Saturation
	if request.retried || !errors.As(err, &saturation) {
		world.refused[request] = true
		return
	}
	request.retried = true
	pause := max(saturation.RetryAfter.Round(tick), tick)
	world.waiting[world.now.Add(pause)] = append(world.waiting[world.now.Add(pause)], request)
}

// expire has callers leave whose time is over.
func (world *world) expire() {
	kept := world.live[:0]
	for _, request := range world.live {
		if !request.ended && world.now.After(request.deadline) {
			request.leave(world.now)
		}
		if !request.ended {
			kept = append(kept, request)
		}
	}
	world.live = kept
}

// result sums up what came of the requests whose callers have had their time.
func (world *world) result() Result {
	result := Result{Seconds: make([]Window, int((world.pattern.Length+time.Second-1)/time.Second)), Classes: make(map[string]Window)}
	for _, request := range world.requests {
		second := int(request.came.Sub(world.start) / time.Second)
		class := result.Classes[request.class.Name]
		for _, window := range []*Window{&class, &result.Seconds[second]} {
			world.count(window, request)
		}
		result.Classes[request.class.Name] = class
	}
	for _, upstream := range world.list {
		result.Sent = append(result.Sent, world.sent[upstream.ID])
	}
	for _, engine := range world.engines {
		result.Read += engine.read
		result.Again += engine.again
	}
	return result
}

func (world *world) count(window *Window, request *request) {
	window.Asked++
	switch {
	case !request.first.IsZero() && request.first.Sub(request.came) <= request.class.Objective:
		window.InTime++
	case !request.first.IsZero():
		window.Late++
	case world.refused[request]:
		window.Refused++
	default:
		window.Left++
	}
}

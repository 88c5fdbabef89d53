package decider

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
	"limpetcleat/standin/clock"
)

// world runs two or more nodes, a platform and a service under one simulated
// clock.
type world struct {
	*clock.Clock
	random   *rand.Rand
	nodes    map[definer.VM]*node
	vms      []definer.VM
	platform platform
	// runs counts the runs of each key, as the service saw them.
	runs map[string]int
	// ends holds the final answer to each request's caller.
	ends map[definer.RequestID]end
	keys map[definer.RequestID]string
	// fate decides the result of an attempt; with nil all succeed.
	fate func(StartAttempt) attemptFate
	// onCall decides the result of a call to the platform; with nil all
	// succeed.
	onCall func(definer.VM, CallPlatform) callFate
	// lossRate is the share of messages between nodes that is dropped.
	lossRate float64
	// treatsLostAsDone makes the shell report lost writes as done, which is a
	// deliberate fault.
	treatsLostAsDone bool
	// falseNotRuns lists the requests that were answered notRun although their
	// key had run.
	falseNotRuns []definer.RequestID
	answers      map[definer.RequestID]string
	issued       map[definer.RequestID]string
}

type node struct {
	decider *Decider
	frozen  time.Time
	timers  clock.Timers[TimerKey]
}

type platform struct {
	away    bool
	objects map[string]PlatformAnswered
	calls   map[PlatformVerb]int
	largest int
}

// callFate is the result of one call to the platform: whether it takes effect,
// and whether its answer is lost.
type callFate struct {
	effect, lost bool
	delay        time.Duration
}

// attemptFate is the result of one attempt.
type attemptFate struct {
	runs   bool
	result AttemptResult
	delay  time.Duration
}

// end is the final answer to a caller; answer is set when the caller got a
// whole one.
type end struct {
	at      time.Time
	answer  string
	replay  bool
	refusal Refusal
}

func newWorld(t *testing.T, seed uint64, vms ...definer.VM) *world {
	t.Helper()
	world := &world{
		Clock: clock.New(time.Unix(1_800_000_000, 0)), random: rand.New(rand.NewPCG(seed, 7)), nodes: make(map[definer.VM]*node), vms: vms,
		platform: platform{objects: make(map[string]PlatformAnswered), calls: make(map[PlatformVerb]int)},
		runs:     make(map[string]int), ends: make(map[definer.RequestID]end), keys: make(map[definer.RequestID]string),
		answers: make(map[definer.RequestID]string), issued: make(map[definer.RequestID]string),
	}
	for _, vm := range vms {
		world.boot(t, vm, 1)
	}
	// The nodes discover each other and agree on the owners.
	world.Advance(5 * time.Second)
	return world
}

func claimDocument() definer.Document {
	action := definer.ActionDocument{Class: "desk", Pool: "stock", Repeat: "keyed", LocalKeys: true}
	strict := action
	strict.LocalKeys = false
	return definer.Document{
		Classes: []definer.ClassDocument{{Name: "desk", Attainment: 0.9, LongestWaitMs: 5000}},
		Pools:   []definer.PoolDocument{{Name: "stock", Kind: "service", Upstreams: []definer.UpstreamDocument{{Name: "s1", DataCentre: "dc", Address: "127.0.0.1:1", Slots: 100}}}},
		Rules:   []definer.RuleDocument{{Name: "strict", When: `path == "/strict"`, Then: strict}, {Name: "all", When: "true", Then: action}},
		Limits:  definer.LimitsDocument{RetryShare: 0.1, ClaimKeepMs: 600_000},
	}
}

func (world *world) boot(t *testing.T, vm definer.VM, incarnation definer.Incarnation) {
	t.Helper()
	var listed []ListedVM
	for _, name := range world.vms {
		listed = append(listed, ListedVM{Name: string(name), DataCentre: "dc", Address: string(name)})
	}
	self := definer.Member{VM: vm, Incarnation: incarnation}
	node := &node{decider: New(self, "dc", string(vm), WithBootstrapVMs(listed), WithSeed(uint64(len(vm))+uint64(incarnation))), timers: make(clock.Timers[TimerKey])}
	world.nodes[vm] = node
	world.carryOut(node, node.decider.Start(world.Now()))
	sums, sections, err := sectioner.Split(claimDocument())
	assert.NilError(t, err)
	world.handle(node, ConfigurationFound{Head: ConfigurationHead{Version: 1, Sections: sums}, Contents: sections})
	world.handle(node, VMsListed{VMs: listed})
}

// restart ends a process and starts the next one of its VM; the others are
// told.
func (world *world) restart(t *testing.T, vm definer.VM) {
	t.Helper()
	old := world.nodes[vm].decider.Self()
	world.boot(t, vm, old.Incarnation+1)
	world.tellGone(old)
}

func (world *world) tellGone(member definer.Member) {
	for _, vm := range world.vms {
		world.handle(world.nodes[vm], membersChanged{gone: []definer.Member{member}})
	}
}

// handle passes an event to a node, or delays it while the node is frozen.
func (world *world) handle(node *node, event Event) {
	if world.nodes[node.decider.Self().VM] != node {
		return
	}
	if wait := node.frozen.Sub(world.Now()); wait > 0 {
		world.Schedule(wait, func() { world.handle(node, event) })
		return
	}
	world.carryOut(node, node.decider.Handle(world.Now(), event))
}

func (world *world) carryOut(node *node, actions []Action) {
	for _, action := range actions {
		world.carryOutOne(node, action)
	}
}

func (world *world) carryOutOne(node *node, action Action) {
	self := node.decider.Self()
	switch action := action.(type) {
	case SetTimer:
		node.timers.Set(world.Clock, action.Key, action.At, func() { world.handle(node, TimerFired{Key: action.Key}) })
	case ClearTimer:
		node.timers.Clear(action.Key)
	case SendMessage:
		if world.random.Float64() >= world.lossRate {
			message := MessageReceived{From: self, DataCentre: "dc", Message: action.Message}
			world.Schedule(time.Millisecond, func() { world.handle(world.nodes[action.To], message) })
		}
	case CallPlatform:
		world.call(node, action)
	case StartAttempt:
		world.Schedule(time.Millisecond, func() { world.attempt(node, action) })
	case ForwardCall:
		world.Schedule(time.Millisecond, func() { world.forward(node, action) })
	case KeyIssued:
		world.issued[action.Request] = action.Key
	case FinishRequest:
		world.recordEnd(action.Request, end{answer: world.answers[action.Request]})
	case ReplayAnswer:
		world.recordEnd(action.Request, end{answer: string(action.Answer.Body), replay: true})
	case RefuseRequest:
		world.recordEnd(action.Request, end{refusal: action.Refusal})
	}
}

func (world *world) recordEnd(request definer.RequestID, end end) {
	end.at = world.Now()
	if end.refusal.Outcome == definer.NotRun && end.refusal.Reason != messenger.KeyMismatch && world.runs[world.keys[request]] > 0 {
		world.falseNotRuns = append(world.falseNotRuns, request)
	}
	world.ends[request] = end
}

// forward passes a call to a peer, and the peer's answer back to the caller.
func (world *world) forward(node *node, action ForwardCall) {
	holder := world.nodes[action.To]
	inner := action.Request + "-forwarded"
	world.keys[inner] = world.keys[action.Request]
	world.handle(holder, arrival(inner, world.keys[action.Request], true))
	world.Schedule(time.Second, func() {
		answered, ok := world.ends[inner]
		if ok {
			world.recordEnd(action.Request, answered)
			world.answers[action.Request] = answered.answer
		}
		world.handle(node, CallForwarded{Request: action.Request, Answered: ok})
		if ok {
			world.recordEnd(action.Request, answered)
		}
	})
}

// attempt stands for the dispatcher and the service behind it.
func (world *world) attempt(node *node, action StartAttempt) {
	if world.nodes[node.decider.Self().VM] != node {
		return
	}
	if wait := node.frozen.Sub(world.Now()); wait > 0 {
		world.Schedule(wait, func() { world.attempt(node, action) })
		return
	}
	ended := AttemptEnded{Request: action.Request, Attempt: action.Attempt, Result: AttemptUnsent}
	fate := attemptFate{runs: true, result: AttemptComplete, delay: 5 * time.Millisecond}
	if world.fate != nil {
		fate = world.fate(action)
	}
	if action.StartBy.IsZero() || world.Now().Before(action.StartBy) {
		ended.Result = fate.result
		if fate.runs {
			answer := world.serve(action.Request)
			world.answers[action.Request] = answer
			if fate.result == AttemptComplete || fate.result == AttemptAbandoned {
				ended.Answer = &StoredAnswer{Status: 200, Body: []byte(answer)}
			}
		}
	}
	world.Schedule(fate.delay, func() { world.handle(node, ended) })
}

func (world *world) serve(request definer.RequestID) string {
	key := world.keys[request]
	world.runs[key]++
	return fmt.Sprintf("%s ran as %d", key, world.runs[key])
}

func (world *world) call(node *node, call CallPlatform) {
	fate := callFate{effect: true, delay: 4 * time.Millisecond}
	if world.onCall != nil {
		fate = world.onCall(node.decider.Self().VM, call)
	}
	if world.platform.away {
		fate = callFate{lost: true, delay: 10 * time.Millisecond}
	}
	world.Schedule(fate.delay/2, func() {
		answer := PlatformAnswered{Result: CallLost}
		if fate.effect {
			answer = world.platform.do(call)
		}
		if fate.lost {
			answer = PlatformAnswered{Result: CallLost}
		}
		if fate.lost && world.treatsLostAsDone && call.Verb != ReadObject {
			answer = PlatformAnswered{Result: CallDone, Version: call.Version + 1}
		}
		answer.Call = call.Call
		world.Schedule(fate.delay/2, func() { world.handle(node, answer) })
	})
}

func (platform *platform) do(call CallPlatform) PlatformAnswered {
	platform.calls[call.Verb]++
	platform.largest = max(platform.largest, len(call.Value))
	name := call.Kind + "/" + call.Name
	object, ok := platform.objects[name]
	if !ok {
		object.Result = CallMissing
	}
	switch {
	case call.Verb == ReadObject:
		return object
	case call.Version != object.Version:
		if ok {
			object.Result = CallConflict
		}
		return object
	case call.Verb == DeleteObject:
		delete(platform.objects, name)
		return PlatformAnswered{Result: CallDone}
	}
	platform.objects[name] = PlatformAnswered{Result: CallDone, Version: object.Version + 1, Value: call.Value}
	return platform.objects[name]
}

// arrival returns a caller's request. A key of the form organisation/key/body
// sets all three.
func arrival(request definer.RequestID, key string, forwarded bool) RequestArrived {
	organisation, rest, _ := strings.Cut(key, "/")
	rest, body, _ := strings.Cut(rest, "/")
	return RequestArrived{
		Request: request, Organisation: definer.OrganisationName(organisation), Key: rest, BodyHash: body,
		Properties: matcher.Properties{Organisation: organisation}, Forwarded: forwarded,
	}
}

// send sends a caller's request to a node.
func (world *world) send(vm definer.VM, request definer.RequestID, key string) {
	world.keys[request] = key
	world.handle(world.nodes[vm], arrival(request, key, false))
}

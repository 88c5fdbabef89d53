package decider

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/claimer"
	"limpetcleat/definer"
)

// resultOf returns what a caller was answered: "nothing", "answer", "replay",
// or the reason and outcome of a refusal.
func (world *world) resultOf(request definer.RequestID) string {
	end, ok := world.ends[request]
	switch {
	case !ok:
		return "nothing"
	case end.refusal.Reason != "":
		return fmt.Sprintf("%s %s", end.refusal.Reason, end.refusal.Outcome)
	case end.replay:
		return "replay"
	default:
		return "answer"
	}
}

// TestKeyedCalls sends two requests under one key, with a fault around the
// first, and checks how often the key ran and what both callers were answered.
func TestKeyedCalls(t *testing.T) {
	t.Parallel()
	slowly := func(StartAttempt) attemptFate {
		return attemptFate{runs: true, result: AttemptComplete, delay: 50 * time.Millisecond}
	}
	const key = "org/k1/b"
	lostWrite := func(effect bool) func(definer.VM, CallPlatform) callFate {
		first := true
		return func(_ definer.VM, call CallPlatform) callFate {
			fate := callFate{effect: true, delay: 4 * time.Millisecond}
			if call.Verb != ReadObject && first {
				first = false
				fate = callFate{effect: effect, lost: true, delay: 200 * time.Millisecond}
			}
			return fate
		}
	}
	ends := func(runs bool, result AttemptResult) func(StartAttempt) attemptFate {
		first := true
		return func(StartAttempt) attemptFate {
			if first {
				first = false
				return attemptFate{runs: runs, result: result, delay: 5 * time.Millisecond}
			}
			return attemptFate{runs: true, result: AttemptComplete, delay: 5 * time.Millisecond}
		}
	}
	inTurn := func(world *world) {
		world.send("a", "r1", key)
		world.Advance(5 * time.Second)
		world.send("b", "r2", key)
		world.Advance(5 * time.Second)
	}
	running := func(w *world) bool { return w.requester("a").requests["r1"].state == running }
	claiming := func(w *world) bool { return w.claims("a").held["r1"].phase == taking }
	freezeAt := func(point func(*world) bool) func(*testing.T, *world) {
		return func(_ *testing.T, w *world) {
			w.send("a", "r1", key)
			for !point(w) {
				w.Advance(time.Millisecond / 2)
			}
			w.nodes["a"].frozen = w.Now().Add(6 * time.Minute)
			w.Advance(7 * time.Minute)
			w.send("b", "r2", key)
			w.Advance(time.Minute)
		}
	}
	cases := []struct {
		name          string
		onCall        func(definer.VM, CallPlatform) callFate
		fate          func(StartAttempt) attemptFate
		drive         func(*testing.T, *world)
		runs          int
		first, second string
	}{
		{name: "repeat after the end", drive: func(_ *testing.T, w *world) { inTurn(w) }, runs: 1, first: "answer", second: "replay"},
		{name: "lost write that took effect", onCall: lostWrite(true), drive: func(_ *testing.T, w *world) { inTurn(w) }, runs: 1, first: "answer", second: "replay"},
		{name: "lost write without effect", onCall: lostWrite(false), drive: func(_ *testing.T, w *world) { inTurn(w) }, runs: 1, first: "answer", second: "replay"},
		{name: "not run frees the key", fate: ends(false, AttemptRefused), drive: func(_ *testing.T, w *world) {
			inTurn(w)
		}, runs: 1, first: "noUpstream notRun", second: "answer"},
		{name: "cut after it ran", fate: ends(true, AttemptCut), drive: func(_ *testing.T, w *world) { inTurn(w) }, runs: 1, first: "upstreamFailed unknown", second: "keyUnknown unknown"},
		{name: "cut before it ran", fate: ends(false, AttemptCut), drive: func(_ *testing.T, w *world) { inTurn(w) }, runs: 0, first: "upstreamFailed unknown", second: "keyUnknown unknown"},
		{name: "another body", drive: func(_ *testing.T, w *world) {
			w.send("a", "r1", key)
			w.Advance(3 * time.Second)
			w.send("b", "r2", "org/k1/other")
			w.Advance(3 * time.Second)
		}, runs: 1, first: "answer", second: "keyMismatch notRun"},
		{name: "another organisation", drive: func(_ *testing.T, w *world) {
			w.send("a", "r1", key)
			w.Advance(3 * time.Second)
			w.send("b", "r2", "rival/k1/b")
			w.Advance(3 * time.Second)
		}, runs: 1, first: "answer", second: "answer"},
		{name: "platform away from the start", drive: func(_ *testing.T, w *world) {
			w.platform.away = true
			w.send("a", "r1", key)
			w.Advance(5 * time.Second)
			w.platform.away = false
			// The caller retries after the time in RetryAfter.
			w.Advance(w.ends["r1"].refusal.RetryAfter)
			w.send("b", "r2", key)
			w.Advance(5 * time.Second)
		}, runs: 1, first: "platformAway unknown", second: "answer"},
		{name: "platform away before the end is stored", fate: slowly, drive: func(_ *testing.T, w *world) {
			w.send("a", "r1", key)
			w.Advance(30 * time.Millisecond)
			w.platform.away = true
			w.Advance(time.Minute)
			w.platform.away = false
			w.Advance(5 * time.Second)
			w.send("b", "r2", key)
			w.Advance(5 * time.Second)
		}, runs: 1, first: "answer", second: "replay"},
		{name: "caller left", fate: slowly, drive: func(_ *testing.T, w *world) {
			w.send("a", "r1", key)
			w.Advance(30 * time.Millisecond)
			w.handle(w.nodes["a"], CallerLeft{Request: "r1"})
			w.Advance(5 * time.Second)
			w.send("b", "r2", key)
			w.Advance(5 * time.Second)
		}, runs: 1, first: "answer", second: "replay"},
		{name: "caller left and the answer came", fate: ends(true, AttemptAbandoned), drive: func(_ *testing.T, w *world) { inTurn(w) }, runs: 1, first: "callerGone ran", second: "replay"},
		{name: "frozen past the start bound before the claim is known", drive: freezeAt(claiming), runs: 1, first: "waitExceeded notRun", second: "answer"},
		{name: "frozen past the start bound before the first byte", drive: freezeAt(running), runs: 1, first: "noUpstream notRun", second: "answer"},
		{name: "draining with a key", drive: func(_ *testing.T, w *world) {
			w.send("a", "r1", key)
			w.Advance(5 * time.Second)
			w.handle(w.nodes["b"], DrainRequested{})
			w.send("b", "r2", key)
			w.Advance(time.Second)
		}, runs: 1, first: "answer", second: "draining unknown"},
		{name: "answer too large", drive: func(_ *testing.T, w *world) {
			big := "org/" + strings.Repeat("k", 5000) + "/b"
			w.send("a", "r1", big)
			w.Advance(5 * time.Second)
			w.send("b", "r2", big)
			w.Advance(5 * time.Second)
			w.runs[key] = w.runs[big]
		}, runs: 1, first: "answer", second: "answerNotKept ran"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newWorld(t, 1, "a", "b", "c")
			world.onCall, world.fate = test.onCall, test.fate
			test.drive(t, world)
			assert.Equal(t, world.runs[key], test.runs)
			assert.Equal(t, world.resultOf("r1"), test.first)
			assert.Equal(t, world.resultOf("r2"), test.second)
			if test.second == "replay" {
				assert.Equal(t, world.ends["r2"].answer, world.answers["r1"])
			}
		})
	}
}

func (world *world) claims(vm definer.VM) *claims { return componentOf[*claims](world, vm) }

func (world *world) requester(vm definer.VM) *requester { return componentOf[*requester](world, vm) }

// componentOf returns one component of a node.
func componentOf[Component component](world *world, vm definer.VM) Component {
	var none Component
	for _, component := range world.nodes[vm].decider.components {
		if found, ok := component.(Component); ok {
			return found
		}
	}
	return none
}

// TestTwoEntriesAtOnce sends two requests under one key to two nodes within a
// few milliseconds: the key must run once.
func TestTwoEntriesAtOnce(t *testing.T) {
	for gap := range 12 {
		world := newWorld(t, 1, "a", "b", "c")
		world.send("a", "r1", "org/k1/b")
		world.Advance(time.Duration(gap) * time.Millisecond)
		world.send("b", "r2", "org/k1/b")
		world.Advance(5 * time.Second)
		assert.Equal(t, world.runs["org/k1/b"], 1)
		first, second := world.resultOf("r1"), world.resultOf("r2")
		assert.Check(t, (first == "answer") != (second == "answer"), "%s, %s", first, second)
		for _, loser := range []string{first, second} {
			assert.Check(t, loser == "answer" || loser == "keyInUse unknown" || loser == "replay", "%s", loser)
		}
	}
}

// TestHolderFaultAtEachStep ends or freezes the node that holds a claim, or
// cuts it off from the platform, at each millisecond of a call, and repeats the
// call on another node: the key runs at most once.
func TestHolderFaultAtEachStep(t *testing.T) {
	t.Parallel()
	const key = "org/k1/b"
	faults := map[string]func(*testing.T, *world){
		"ended":  func(t *testing.T, w *world) { w.restart(t, "a") },
		"frozen": func(_ *testing.T, w *world) { w.nodes["a"].frozen = w.Now().Add(30 * time.Second) },
		"frozen and taken for dead": func(_ *testing.T, w *world) {
			w.nodes["a"].frozen = w.Now().Add(30 * time.Second)
			w.tellGone(w.nodes["a"].decider.Self())
		},
		"frozen past the start bound": func(_ *testing.T, w *world) { w.nodes["a"].frozen = w.Now().Add(7 * time.Minute) },
		"platform away":               func(_ *testing.T, w *world) { w.platform.away = true },
	}
	for name, fault := range faults {
		last := 30 * time.Second
		if strings.Contains(name, "bound") {
			last = 8 * time.Minute
		}
		for step := range 30 {
			t.Run(fmt.Sprintf("%s after %d ms", name, step), func(t *testing.T) {
				world := newWorld(t, 1, "a", "b", "c")
				world.send("a", "r1", key)
				world.Advance(time.Duration(step) * time.Millisecond)
				fault(t, world)
				for index, wait := range []time.Duration{10 * time.Millisecond, 10 * time.Second, 20 * time.Second, last, time.Second} {
					request := definer.RequestID(fmt.Sprintf("repeat%d", index))
					world.send("b", request, key)
					world.Advance(wait)
					world.platform.away = world.platform.away && index == 0
				}
				world.Advance(3 * time.Second)
				assert.Check(t, world.runs[key] <= 1, "%d runs", world.runs[key])
				assert.Check(t, len(world.falseNotRuns) == 0, "%s", world.falseNotRuns)
				result := world.resultOf("repeat4")
				assert.Check(t, result == "replay" || result == "answer" || result == "keyUnknown unknown", "%s", result)
			})
		}
	}
}

// TestLocalKeys uses keys bound to a process while the platform is unavailable,
// on the same and on other nodes, and after the process has ended.
func TestLocalKeys(t *testing.T) {
	world := newWorld(t, 1, "a", "b")
	world.platform.away = true
	world.handle(world.nodes["a"], KeyRequested{Request: "wanted"})
	key := "org/" + world.issued["wanted"] + "/b"
	steps := []struct {
		request definer.RequestID
		vm      definer.VM
		key     string
		result  string
	}{
		{"here", "a", key, "answer"},
		{"again", "a", key, "replay"},
		{"elsewhere", "b", key, "replay"},
		{"body", "a", key + "2", "keyMismatch notRun"},
		{"rival", "b", "rival" + strings.TrimPrefix(key, "org"), "answer"},
		{"future", "a", "org/local.a.1.99999999.1/b", "keyExpired unknown"},
		{"restarted", "a", "org/local.a.7.0.1/b", "keyUnknown unknown"},
		{"malformed", "a", "org/local.x/b", "keyExpired notRun"},
		{"nowhere", "a", "org/local.z.1.0.1/b", "keyHolderAway unknown"},
	}
	for _, step := range steps {
		world.send(step.vm, step.request, step.key)
		world.Advance(3 * time.Second)
		assert.Equal(t, world.resultOf(step.request), step.result, string(step.request))
	}
	assert.Equal(t, world.runs[key], 1)
	assert.Equal(t, world.ends["elsewhere"].answer, world.ends["here"].answer)
	assert.Check(t, world.ends["rival"].answer != world.ends["here"].answer)

	world.restart(t, "a")
	world.send("b", "late", key)
	world.Advance(3 * time.Second)
	assert.Equal(t, world.resultOf("late"), "keyUnknown unknown")
	assert.Equal(t, world.runs[key], 1)

	world.send("a", "chosen", "org/mine/b")
	world.Advance(4 * time.Second)
	offer := world.ends["chosen"].refusal.KeyOffer
	assert.Check(t, claimer.IsLocalKey(offer))
	world.send("b", "offered", "org/"+offer+"/b")
	world.Advance(3 * time.Second)
	assert.Equal(t, world.resultOf("offered"), "answer")
}

// TestClaimEndsAtTheDeadline checks that a claim ends at the request's deadline
// if that comes before the claim's timeout.
func TestClaimEndsAtTheDeadline(t *testing.T) {
	world := newWorld(t, 1, "a", "b")
	world.platform.away = true
	event := arrival("r1", "org/k/b", false)
	event.Deadline = 700 * time.Millisecond
	started := world.Now()
	world.handle(world.nodes["a"], event)
	world.Advance(time.Second)
	assert.Equal(t, world.resultOf("r1"), "platformAway unknown")
	assert.Check(t, world.ends["r1"].at.Sub(started) <= event.Deadline)
}

// TestKnownOutageRefusesAtOnce checks that calls are refused at once after a
// first call found the platform unavailable, until one succeeds.
func TestKnownOutageRefusesAtOnce(t *testing.T) {
	world := newWorld(t, 1, "a", "b")
	world.platform.away = true
	world.send("a", "first", "org/k0/b")
	world.Advance(claimTimeout + 100*time.Millisecond)
	assert.Equal(t, world.resultOf("first"), "platformAway unknown")
	started := world.Now()
	world.send("a", "second", "org/k1/b")
	world.Advance(100 * time.Millisecond)
	assert.Equal(t, world.resultOf("second"), "platformAway unknown")
	assert.Check(t, world.ends["second"].at.Sub(started) <= 10*time.Millisecond)

	world.platform.away = false
	world.Advance(outageBackoff)
	world.send("a", "third", "org/k2/b")
	world.Advance(2 * time.Second)
	assert.Equal(t, world.resultOf("third"), "answer")
	world.send("a", "repeat", "org/k1/b")
	world.Advance(2 * time.Second)
	assert.Equal(t, world.resultOf("repeat"), "answer")
	assert.Equal(t, world.runs["org/k1/b"], 1)
}

// TestDrainStoresEnds stops a node while the end of a claimed request is still
// to be stored: the node stores it before it stops.
func TestDrainStoresEnds(t *testing.T) {
	world := newWorld(t, 1, "a", "b")
	world.send("a", "r1", "org/k/b")
	world.Advance(25 * time.Millisecond)
	world.handle(world.nodes["a"], DrainRequested{})
	world.Advance(5 * time.Second)
	assert.Equal(t, world.nodes["a"].decider.core.openClaims, 0)
	world.send("b", "r2", "org/k/b")
	world.Advance(time.Second)
	assert.Equal(t, world.resultOf("r2"), "replay")
}

// TestClaimWritesAreBounded claims many keys and checks that the calls to the
// platform are batched and that old claims are removed.
func TestClaimWritesAreBounded(t *testing.T) {
	t.Parallel()
	world := newWorld(t, 1, "a", "b", "c")
	const requests = 6000
	for index := range requests {
		vm := world.vms[index%3]
		request := definer.RequestID(fmt.Sprintf("r%d", index))
		world.Schedule(time.Duration(index)*5*time.Millisecond, func() { world.send(vm, request, "org/"+string(request)+"/b") })
	}
	world.Advance(40 * time.Second)
	for index := range requests {
		assert.Equal(t, world.resultOf(definer.RequestID(fmt.Sprintf("r%d", index))), "answer")
	}
	writes := world.platform.calls[UpdateObject] + world.platform.calls[CreateObject]
	t.Logf("%d keyed requests in 30 s: %d writes, %d reads, largest %d bytes", requests, writes, world.platform.calls[ReadObject], world.platform.largest)
	// Each bucket has one writer with five writes a second and a burst of four.
	assert.Check(t, writes <= 40*5*claimer.Buckets+4*claimer.Buckets, "%d writes", writes)
	assert.Check(t, world.platform.largest < 1<<20)
	// An hour later the claims have expired, and their objects are removed.
	world.Advance(time.Hour)
	for index := range 400 {
		world.send("a", definer.RequestID(fmt.Sprintf("late%d", index)), fmt.Sprintf("org/late%d/b", index))
		world.Advance(100 * time.Millisecond)
	}
	world.Advance(time.Minute)
	assert.Check(t, len(world.platform.objects) <= 2*claimer.Buckets, "%d objects", len(world.platform.objects))
	assert.Equal(t, world.resultOf("late7"), "answer")
}

package endtoend_test

import (
	"io"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
)

// scene is one request of the fault matrix: it comes through an entry that does
// not own the pool's shard, and is repeated through another.
type scene struct {
	*system
	entry *entry
	owner *entry
	other *entry
	// pool is the one that the request goes to; upstreams are its own.
	pool      string
	upstreams []*upstream
	// slots is the number of requests that the pool runs at once.
	slots int
	key   string
	// make returns the request; filler returns others that take up a slot.
	make   func() caller.Call
	filler func(index int) caller.Call
	first  <-chan caller.Reply
	// tokens counts what has come of a streamed answer.
	tokens atomic.Int32
	// body, when set, is what the first sending's body is read from.
	body io.Reader
	// fillers are other requests that take up the slots.
	fillers []<-chan caller.Reply
	// answered is the first reply, where the step waits for it.
	answered *caller.Reply
}

// send sends the scene's request for the first time.
func (scene *scene) send() {
	call := scene.make()
	call.Progress = func(count int) { scene.tokens.Store(int32(count)) }
	if scene.body != nil {
		call.Body = scene.body
	}
	scene.first = scene.entry.begin(call)
}

// step is a point of a request's path at which the stand-ins make it wait.
type step struct {
	name string
	// reach sends the request, waits until it is at the step and returns what
	// lets it go on.
	reach func(scene *scene) (release func())
}

// slowCall is how long a held call of the service or the platform takes.
const slowCall = 700 * time.Millisecond

// reservationSteps returns the steps of a call that may run at most once.
func reservationSteps() []step {
	return []step{
		{"arrived", reachArrived},
		{"claiming", reachClaiming},
		{"asked", reachAsked},
		{"queued", reachQueued},
		{"granted", reachGranted},
		{"sent", reachSent},
		{"running", reachRunning},
		{"finished", reachFinished},
		{"storing", reachStoring},
	}
}

func nothing() {}

// reachArrived holds back the second half of the body.
func reachArrived(scene *scene) func() {
	whole, _ := io.ReadAll(reservation(scene.key).Body)
	reader, writer := io.Pipe()
	scene.body = reader
	scene.send()
	_, _ = writer.Write(whole[:len(whole)/2])
	return func() {
		go func() {
			_, _ = writer.Write(whole[len(whole)/2:])
			_ = writer.Close()
		}()
	}
}

// reachClaiming makes the claim's write wait at the platform.
func reachClaiming(scene *scene) func() {
	scene.t.Helper()
	before := scene.platformWrites()
	scene.platformFaults(map[string]any{"slowMs": slowCall.Milliseconds()})
	scene.send()
	scene.await("the claim is being written", func() bool { return scene.platformWrites() > before })
	return func() { scene.platformFaults(map[string]any{"slowMs": 0}) }
}

// reachAsked holds back what the entry sends the owner.
func reachAsked(scene *scene) func() {
	scene.t.Helper()
	before := scene.platformWrites()
	scene.owner.inner.Set(scene.entry.name, relay.Stalling)
	scene.send()
	scene.await("the claim is written and the ask under way", func() bool {
		claimed := scene.platformWrites() > before || scene.pool != stockPool
		return claimed && scene.entry.status().OpenRequests > 0 && scene.owner.inner.Holds(relay.Forward)
	})
	return func() { scene.owner.inner.Set(scene.entry.name, relay.Passing) }
}

// reachQueued fills every slot of the service.
func reachQueued(scene *scene) func() {
	scene.t.Helper()
	scene.serviceFaults(map[string]any{"slowMs": slowCall.Milliseconds()})
	scene.queue()
	return nothing
}

// queue sends other requests until one has to wait, and then the scene's. The
// slots may be fewer than the configuration's after earlier faults.
func (scene *scene) queue() {
	scene.t.Helper()
	waiting := 0
	for index := 0; waiting == 0; index++ {
		assert.Assert(scene.t, index <= scene.slots, "the slots of %s are never full", scene.pool)
		scene.fillers = append(scene.fillers, scene.other.begin(scene.filler(index)))
		scene.await("the filler is at the owner", func() bool {
			shard := scene.inShard()
			waiting = shard.Waiting
			return shard.Waiting+shard.Running > index
		})
	}
	scene.send()
	scene.await("the request is queued", func() bool { return scene.inShard().Waiting > waiting })
}

// reachGranted holds back what the owner answers the entry.
func reachGranted(scene *scene) func() {
	scene.t.Helper()
	scene.entry.inner.Set(scene.owner.name, relay.Stalling)
	scene.send()
	scene.await("the slot is granted", func() bool { return scene.inShard().Running > 0 })
	return func() { scene.entry.inner.Set(scene.owner.name, relay.Passing) }
}

// reachSent holds the request back before the service.
func reachSent(scene *scene) func() {
	scene.t.Helper()
	scene.toUpstreams(relay.Stalling)
	scene.send()
	scene.await("the request is on its way", func() bool { return scene.holding(relay.Forward) != nil })
	return func() { scene.toUpstreams(relay.Passing) }
}

// reachRunning makes the run slow.
func reachRunning(scene *scene) func() {
	scene.t.Helper()
	scene.serviceFaults(map[string]any{"slowMs": slowCall.Milliseconds()})
	scene.send()
	scene.await("the service runs the request", func() bool { return scene.runs(scene.key) > 0 })
	return nothing
}

// reachFinished holds back the service's answer.
func reachFinished(scene *scene) func() {
	scene.t.Helper()
	scene.toUpstreams(relay.Muting)
	scene.send()
	scene.await("the answer is on its way", func() bool { return scene.holding(relay.Backward) != nil })
	return func() { scene.toUpstreams(relay.Passing) }
}

func (scene *scene) toUpstreams(mode relay.Mode) {
	for _, upstream := range scene.upstreams {
		upstream.relay.Set(relay.Everyone, mode)
	}
}

// holding returns the upstream whose relay holds bytes back.
func (scene *scene) holding(direction relay.Direction) *upstream {
	for _, upstream := range scene.upstreams {
		if upstream.relay.Holds(direction) {
			return upstream
		}
	}
	return nil
}

// reachStoring lets the caller have the answer while the end of the claim waits
// at the platform.
func reachStoring(scene *scene) func() {
	scene.t.Helper()
	reachRunning(scene)
	scene.platformFaults(map[string]any{"slowMs": slowCall.Milliseconds()})
	reply := <-scene.first
	scene.answered = &reply
	return func() { scene.platformFaults(map[string]any{"slowMs": 0}) }
}

// await waits for a scene's condition.
func (scene *scene) await(what string, holds func() bool) {
	scene.t.Helper()
	eventually(scene.t, startLimit, what, holds)
}

// shardCounts is what an owner says of a shard.
type shardCounts struct{ Waiting, Running int }

// inShard returns the owner's counts for the scene's pool.
func (scene *scene) inShard() shardCounts {
	for _, shard := range scene.owner.status().Shards {
		if string(shard.Pool) == scene.pool {
			return shardCounts{Waiting: shard.Waiting, Running: shard.Running}
		}
	}
	return shardCounts{}
}

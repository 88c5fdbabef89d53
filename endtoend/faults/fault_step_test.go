package faults_test

import (
	"io"
	"sync/atomic"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/relay"
	"limpetcleat/standin/tester"
)

// scenario is one request of the fault matrix: it is sent to an entry that does not own the pool's
// shard, and repeated through another entry.
type scenario struct {
	*tester.System
	entry *tester.Entry
	owner *tester.Entry
	other *tester.Entry
	// pool is the request's pool; upstreams are the upstreams of that pool.
	pool      string
	upstreams []*tester.Upstream
	// slots is the number of requests that the pool runs concurrently.
	slots int
	key   string
	// newCall returns the request; newFiller returns other requests that occupy a slot.
	newCall   func() caller.Call
	newFiller func(index int) caller.Call
	first     <-chan caller.Reply
	// tokens counts the tokens of a streamed response that have been received.
	tokens atomic.Int32
	// body, when set, replaces the body of the first send.
	body io.Reader
	// fillers are the pending replies to the other requests that occupy the slots.
	fillers []<-chan caller.Reply
	// earlyReply is the first reply, if the step waits for it.
	earlyReply *caller.Reply
}

// send sends the scenario's request for the first time.
func (scenario *scenario) send() {
	call := scenario.newCall()
	call.Progress = func(count int) { scenario.tokens.Store(int32(count)) }
	if scenario.body != nil {
		call.Body = scenario.body
	}
	scenario.first = scenario.entry.SendAsync(call)
}

// step is a point of a request's path at which the stand-ins make it wait.
type step struct {
	name string
	// reach sends the request, waits until it is at the step and returns a function that lets it
	// continue.
	reach func(scenario *scenario) (release func())
}

// heldCallDelay is the duration of a delayed call of the service or the platform.
const heldCallDelay = 700 * time.Millisecond

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

func noop() {}

// reachArrived holds back the second half of the request body.
func reachArrived(scenario *scenario) func() {
	whole, _ := io.ReadAll(tester.Reservation(scenario.key).Body)
	reader, writer := io.Pipe()
	scenario.body = reader
	scenario.send()
	_, _ = writer.Write(whole[:len(whole)/2])
	return func() {
		go func() {
			_, _ = writer.Write(whole[len(whole)/2:])
			_ = writer.Close()
		}()
	}
}

// reachClaiming delays the write of the claim at the platform.
func reachClaiming(scenario *scenario) func() {
	scenario.T.Helper()
	before := scenario.PlatformWrites()
	scenario.SetPlatformFaults(map[string]any{"slowMs": heldCallDelay.Milliseconds()})
	scenario.send()
	scenario.await("the claim is being written", func() bool { return scenario.PlatformWrites() > before })
	return func() { scenario.SetPlatformFaults(map[string]any{"slowMs": 0}) }
}

// reachAsked holds back the entry's request for a slot to the owner.
func reachAsked(scenario *scenario) func() {
	scenario.T.Helper()
	before := scenario.PlatformWrites()
	scenario.owner.PeerRelay.SetMode(scenario.entry.Name, relay.Stalling)
	scenario.send()
	scenario.await("the claim is written and the request for a slot is in transit", func() bool {
		claimed := scenario.PlatformWrites() > before || scenario.pool != stockPool
		return claimed && scenario.entry.Status().OpenRequests > 0 && scenario.owner.PeerRelay.Holding(relay.ToTarget)
	})
	return func() { scenario.owner.PeerRelay.SetMode(scenario.entry.Name, relay.Forwarding) }
}

// reachQueued fills every slot of the service.
func reachQueued(scenario *scenario) func() {
	scenario.T.Helper()
	scenario.SetServiceFaults(map[string]any{"slowMs": heldCallDelay.Milliseconds()})
	scenario.fillSlotsAndSend()
	return noop
}

// fillSlotsAndSend sends other requests until one has to wait, and then the scenario's request.
// After earlier faults, fewer slots than configured may be in use.
func (scenario *scenario) fillSlotsAndSend() {
	scenario.T.Helper()
	waiting := 0
	for index := 0; waiting == 0; index++ {
		assert.Assert(scenario.T, index <= scenario.slots, "the slots of %s are never full", scenario.pool)
		scenario.fillers = append(scenario.fillers, scenario.other.SendAsync(scenario.newFiller(index)))
		scenario.await("the filler has reached the owner", func() bool {
			shard := scenario.ownerCounts()
			waiting = shard.Waiting
			return shard.Waiting+shard.Running > index
		})
	}
	scenario.send()
	scenario.await("the request is queued", func() bool { return scenario.ownerCounts().Waiting > waiting })
}

// reachGranted holds back the owner's response to the entry.
func reachGranted(scenario *scenario) func() {
	scenario.T.Helper()
	scenario.entry.PeerRelay.SetMode(scenario.owner.Name, relay.Stalling)
	scenario.send()
	scenario.await("the slot is granted", func() bool { return scenario.ownerCounts().Running > 0 })
	return func() { scenario.entry.PeerRelay.SetMode(scenario.owner.Name, relay.Forwarding) }
}

// reachSent holds back the request on its way to the service.
func reachSent(scenario *scenario) func() {
	scenario.T.Helper()
	scenario.setUpstreamRelays(relay.Stalling)
	scenario.send()
	scenario.await("the request is in transit", func() bool { return scenario.holdingUpstream(relay.ToTarget) != nil })
	return func() { scenario.setUpstreamRelays(relay.Forwarding) }
}

// reachRunning slows the service's run of the request.
func reachRunning(scenario *scenario) func() {
	scenario.T.Helper()
	scenario.SetServiceFaults(map[string]any{"slowMs": heldCallDelay.Milliseconds()})
	scenario.send()
	scenario.await("the service runs the request", func() bool { return scenario.RunCount(scenario.key) > 0 })
	return noop
}

// reachFinished holds back the service's response.
func reachFinished(scenario *scenario) func() {
	scenario.T.Helper()
	scenario.setUpstreamRelays(relay.StallingReturn)
	scenario.send()
	scenario.await("the response is in transit", func() bool { return scenario.holdingUpstream(relay.ToPeer) != nil })
	return func() { scenario.setUpstreamRelays(relay.Forwarding) }
}

func (scenario *scenario) setUpstreamRelays(mode relay.Mode) {
	for _, upstream := range scenario.upstreams {
		upstream.Relay.SetMode(relay.AllPeers, mode)
	}
}

// holdingUpstream returns the upstream whose relay holds bytes back, or nil.
func (scenario *scenario) holdingUpstream(direction relay.Direction) *tester.Upstream {
	for _, upstream := range scenario.upstreams {
		if upstream.Relay.Holding(direction) {
			return upstream
		}
	}
	return nil
}

// reachStoring lets the caller receive the response while the platform delays the write that
// completes the claim.
func reachStoring(scenario *scenario) func() {
	scenario.T.Helper()
	reachRunning(scenario)
	scenario.SetPlatformFaults(map[string]any{"slowMs": heldCallDelay.Milliseconds()})
	reply := <-scenario.first
	scenario.earlyReply = &reply
	return func() { scenario.SetPlatformFaults(map[string]any{"slowMs": 0}) }
}

// await waits until a condition holds, within startTimeout.
func (scenario *scenario) await(description string, condition func() bool) {
	scenario.T.Helper()
	tester.Eventually(scenario.T, tester.StartTimeout, description, condition)
}

// shardCounts are the request counts that an owner reports for a shard.
type shardCounts struct{ Waiting, Running int }

// ownerCounts returns the owner's counts for the scenario's pool.
func (scenario *scenario) ownerCounts() shardCounts {
	for _, shard := range scenario.owner.Status().Shards {
		if string(shard.Pool) == scenario.pool {
			return shardCounts{Waiting: shard.Waiting, Running: shard.Running}
		}
	}
	return shardCounts{}
}

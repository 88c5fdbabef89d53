package acceptor_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/acceptor"
)

const (
	// worldTick is the step of the model, worldPatience how long a request may wait to be served in time.
	worldTick     = 5 * time.Millisecond
	worldPatience = 300 * time.Millisecond
	// usualLoad is the part of a node's processor time that the usual requests need.
	usualLoad = 0.35
	// worldCapacity is the number of requests that a node can serve per second.
	worldCapacity = 40.0
	// worldRetries is the number of nodes that a caller tries after one that closed its connection.
	worldRetries = 3
)

// worldNode is a node of the model. Each request takes 1/worldCapacity of its time, in order of arrival.
type worldNode struct {
	controller *acceptor.Controller
	// queue holds when the requests that wait were accepted; credit is the processor time that is left in
	// the tick, in requests.
	queue      []time.Time
	credit     float64
	nextWakeUp time.Time
	read       int
	served     int
}

// run serves requests for one tick. A wake-up waits behind the requests that are queued before it.
func (node *worldNode) run(now time.Time) {
	node.credit = min(node.credit+worldCapacity*worldTick.Seconds(), 1)
	for len(node.queue) > 0 && node.credit >= 1 {
		node.credit--
		node.controller.Begin(now)
		node.read++
		if now.Sub(node.queue[0]) <= worldPatience {
			node.served++
		}
		node.queue = node.queue[1:]
	}
	for !node.nextWakeUp.After(now) {
		delay := time.Duration(float64(len(node.queue)) / worldCapacity * float64(time.Second))
		node.controller.RecordWakeUp(node.nextWakeUp.Add(delay), delay)
		node.nextWakeUp = node.nextWakeUp.Add(delay + 50*time.Millisecond)
	}
}

// world is a data centre whose balancer sends most new connections to one of its nodes for a while.
type world struct {
	nodes  []*worldNode
	random *rand.Rand
	now    time.Time
	due    float64
	sent   int
	lost   int
}

func newWorld(count int) *world {
	world := &world{random: rand.New(rand.NewPCG(1, uint64(count))), now: time.Now()}
	for range count {
		world.nodes = append(world.nodes, &worldNode{controller: newController(world.now), nextWakeUp: world.now})
	}
	return world
}

// play sends the usual load times a factor for a span. A share of the connections goes to the first node,
// the others to any.
func (world *world) play(span time.Duration, factor, crowd float64) {
	for end := world.now.Add(span); world.now.Before(end); world.now = world.now.Add(worldTick) {
		world.due += factor * usualLoad * worldCapacity * float64(len(world.nodes)) * worldTick.Seconds()
		for ; world.due >= 1; world.due-- {
			world.connect(crowd)
		}
		for _, node := range world.nodes {
			node.run(world.now)
		}
	}
}

// connect opens a connection for a request, and tries other nodes after one that closes it.
func (world *world) connect(crowd float64) {
	world.sent++
	for range 1 + worldRetries {
		node := world.nodes[0]
		if world.random.Float64() >= crowd {
			node = world.nodes[world.random.IntN(len(world.nodes))]
		}
		if node.controller.Accept(world.now) == "" {
			node.queue = append(node.queue, world.now)
			return
		}
		crowd = 0 // Retries reach other nodes.
	}
	world.lost++
}

func (world *world) counts() (read, served int) {
	for _, node := range world.nodes {
		read, served = read+node.read, served+node.served
	}
	return read, served
}

// TestCrowdAtOneNode sends nine of ten new connections to one node for 10 s, twice the usual number, and the
// usual ones after that.
//
// It guards against a node that reads more than it can serve, so that all of its callers wait.
func TestCrowdAtOneNode(t *testing.T) {
	for _, count := range []int{8, 22, 98, 328} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			world := newWorld(count)
			world.play(3*time.Second, 1, 0)
			world.play(10*time.Second, 2, 0.9)
			world.play(2*time.Second, 1, 0)
			crowded := world.nodes[0]
			read, served := world.counts()
			t.Logf("crowded node: %d of %d read served; all: %d sent, %d read, %d served, %d lost", crowded.served, crowded.read, world.sent, read, served, world.lost)
			assert.Assert(t, float64(crowded.served) >= 0.95*float64(crowded.read))
			assert.Assert(t, float64(served) >= 0.9*float64(world.sent))
			readBefore, servedBefore := crowded.read, crowded.served
			world.play(3*time.Second, 1, 0)
			assert.Assert(t, crowded.read > readBefore && crowded.served-servedBefore == crowded.read-readBefore, "not back to normal")
		})
	}
}

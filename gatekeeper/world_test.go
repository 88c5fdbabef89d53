package gatekeeper

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/throttler"
)

const (
	// worldWork is how long a request runs, worldPatience how long its caller waits.
	worldWork     = 100 * time.Millisecond
	worldPatience = time.Second
	// worldIdle is how long an upstream keeps an idle connection.
	worldIdle = 5 * time.Second
	// worldDelay is the longest delay of a message.
	worldDelay = 6 * time.Millisecond
	// renewTick is the time between two calls of Renew.
	renewTick = 100 * time.Millisecond
)

// world simulates a fleet that opens connections to one upstream, in the time of a synctest bubble.
type world struct {
	start    definer.UpstreamStart
	accepted int
	slots    chan struct{}
	nodes    []*worldNode
	calls    conc.WaitGroup

	// mutex guards the fields below and those of the nodes.
	mutex   sync.Mutex
	random  *rand.Rand
	severed func(from, to int) bool
	// lost is the fraction of messages that are lost.
	lost float64
	// open is the number of connections at the upstream, mostOpen the largest, and reset the number of those
	// beyond what it accepts.
	open     int
	mostOpen int
	reset    int
	sent     int
	served   int
	messages int
}

// worldNode is a node of the simulated fleet.
type worldNode struct {
	world      *world
	number     int
	peer       exchanger.Peer
	list       []exchanger.Peer
	throttler  *throttler.Throttler
	gatekeeper *Gatekeeper
	stop       context.CancelFunc
	process    int
	down       bool
	// thawed is closed when the node goes on; nil unless it is frozen.
	thawed  chan struct{}
	reached int
	idle    []*worldConn
	conns   map[*worldConn]bool
}

// worldConn is a connection of a node to the upstream.
type worldConn struct {
	pass *Pass
	uses int
}

func newWorld(seed uint64, nodes, accepted, slots int) *world {
	world := &world{
		start: definer.UpstreamStart{Upstream: "u", Incarnation: 1}, accepted: accepted, slots: make(chan struct{}, slots),
		random: rand.New(rand.NewPCG(seed, 1)), severed: func(int, int) bool { return false },
	}
	var peers []exchanger.Peer
	for number := range nodes {
		peers = append(peers, exchanger.Peer{
			VM: definer.VM(fmt.Sprintf("entry-%d", number)), DataCentre: definer.DataCentre(fmt.Sprintf("d%d", number%3)), Address: strconv.Itoa(number),
		})
	}
	for number := range nodes {
		world.nodes = append(world.nodes, &worldNode{world: world, number: number, peer: peers[number], list: peers})
	}
	for _, node := range world.nodes {
		node.run()
	}
	world.reconnect()
	return world
}

// run starts a process of the node.
func (node *worldNode) run() {
	ctx, cancel := context.WithCancel(context.Background())
	parts := throttler.New(node.peer, node, node, announcer.New())
	keeper := New(parts)
	node.world.mutex.Lock()
	node.throttler, node.gatekeeper, node.stop = parts, keeper, cancel
	node.down, node.idle, node.conns = false, nil, make(map[*worldConn]bool)
	node.process++
	node.world.mutex.Unlock()
	parts.Start(ctx)
	keeper.Start(ctx)
	node.world.calls.Go(func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(renewTick):
				node.awaitThaw()
				parts.Renew(time.Now())
			}
		}
	})
}

// Nodes returns the list of nodes as this node knows it.
func (node *worldNode) Nodes() ([]exchanger.Peer, bool) {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	return node.list, true
}

// Reached returns the number of nodes that run and are connected with this one.
func (node *worldNode) Reached(time.Time) int {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	return node.reached
}

// reconnect counts the connections between nodes anew.
func (world *world) reconnect() {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	for _, node := range world.nodes {
		node.reached = 0
		for _, peer := range world.nodes {
			if !peer.down && peer.thawed == nil && !world.severed(node.number, peer.number) && !world.severed(peer.number, node.number) {
				node.reached++
			}
		}
	}
}

// Send delivers a message after a delay, unless it is lost.
func (node *worldNode) Send(_ context.Context, address string, message messenger.Message) {
	world := node.world
	number, _ := strconv.Atoi(address) // Addresses are numbers.
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.messages++
	to, process := world.nodes[number], node.process
	delay := time.Millisecond + time.Duration(world.random.Int64N(int64(worldDelay)))
	if world.random.Float64() < world.lost {
		return
	}
	time.AfterFunc(delay, func() {
		node.awaitThaw()
		to.awaitThaw()
		world.mutex.Lock()
		gone := to.down || node.process != process || world.severed(node.number, to.number)
		receiver := to.throttler
		world.mutex.Unlock()
		if !gone {
			receiver.Receive(definer.Member{VM: node.peer.VM}, message)
		}
	})
}

// awaitThaw waits while the node is frozen.
func (node *worldNode) awaitThaw() {
	for {
		node.world.mutex.Lock()
		thawed := node.thawed
		node.world.mutex.Unlock()
		if thawed == nil {
			return
		}
		<-thawed
	}
}

func (node *worldNode) freeze() {
	node.world.mutex.Lock()
	node.thawed = make(chan struct{})
	node.world.mutex.Unlock()
	node.world.reconnect()
}

func (node *worldNode) thaw() {
	node.world.mutex.Lock()
	thawed := node.thawed
	node.thawed = nil
	node.world.mutex.Unlock()
	node.world.reconnect()
	close(thawed)
}

// kill ends the process of the node and its connections.
func (node *worldNode) kill() {
	node.world.mutex.Lock()
	node.down = true
	node.process++
	node.world.open -= len(node.conns)
	node.conns = nil
	node.world.mutex.Unlock()
	node.stop()
	node.world.reconnect()
}

func (node *worldNode) restart() {
	node.run()
	node.world.reconnect()
}

// connect opens a connection at the upstream, which resets those beyond what it accepts.
func (node *worldNode) connect(pass *Pass) *worldConn {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	if node.conns == nil {
		return nil
	}
	if node.world.open >= node.world.accepted {
		node.world.reset++
		return nil
	}
	conn := &worldConn{pass: pass}
	node.conns[conn] = true
	node.world.open++
	node.world.mostOpen = max(node.world.mostOpen, node.world.open)
	return conn
}

// disconnect closes a connection at the upstream.
func (node *worldNode) disconnect(conn *worldConn) {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	if node.conns[conn] {
		delete(node.conns, conn)
		node.world.open--
	}
}

func (node *worldNode) close(conn *worldConn) {
	node.disconnect(conn)
	conn.pass.Close()
}

// takeIdle returns an idle connection, or nil.
func (node *worldNode) takeIdle() *worldConn {
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	for len(node.idle) > 0 {
		conn := node.idle[len(node.idle)-1]
		node.idle = node.idle[:len(node.idle)-1]
		if node.conns[conn] {
			conn.uses++
			return conn
		}
	}
	return nil
}

// putIdle keeps a connection, which the upstream closes after worldIdle and the node sooner if it is scarce.
func (node *worldNode) putIdle(conn *worldConn) {
	scarce := conn.pass.Scarce()
	node.world.mutex.Lock()
	defer node.world.mutex.Unlock()
	node.idle = append(node.idle, conn)
	uses := conn.uses
	unused := func() bool {
		node.world.mutex.Lock()
		defer node.world.mutex.Unlock()
		return conn.uses == uses
	}
	time.AfterFunc(worldIdle, func() {
		if unused() {
			node.disconnect(conn)
			node.awaitThaw()
			conn.pass.Close()
		}
	})
	if scarce {
		time.AfterFunc(300*time.Millisecond, func() {
			node.awaitThaw()
			if unused() {
				node.close(conn)
			}
		})
	}
}

// serve sends a request from the node to the upstream.
func (node *worldNode) serve() {
	ctx, cancel := context.WithTimeout(context.Background(), worldPatience)
	defer cancel()
	node.awaitThaw()
	conn := node.takeIdle()
	if conn == nil {
		need := throttler.PermitRequest{Start: node.world.start, DataCentre: "d0", Connections: node.world.accepted, Patience: worldPatience / 4}
		pass, err := node.gatekeeper.Open(ctx, need)
		if err != nil {
			return
		}
		node.awaitThaw()
		if conn = node.connect(pass); conn == nil {
			pass.Reset()
			pass.Close()
			return
		}
	}
	served := node.world.run(ctx)
	node.awaitThaw()
	if !served {
		node.close(conn)
		return
	}
	conn.pass.Used()
	node.putIdle(conn)
}

// run runs a request at the upstream, and reports whether it was run in time.
func (world *world) run(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case world.slots <- struct{}{}:
	}
	<-time.After(worldWork)
	<-world.slots
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.served++
	return true
}

// load sends requests at a share of what the upstream can run, to nodes by their weights.
func (world *world) load(share float64, span time.Duration, weights []float64) {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	perSecond := share * float64(cap(world.slots)) / worldWork.Seconds()
	for range int(perSecond * span.Seconds()) {
		<-time.After(time.Duration(float64(time.Second) / perSecond))
		world.mutex.Lock()
		place := world.random.Float64() * total
		index := slices.IndexFunc(weights, func(weight float64) bool { place -= weight; return place < 0 })
		node := world.nodes[max(index, 0)]
		up := !node.down
		world.sent++
		world.mutex.Unlock()
		if up {
			world.calls.Go(node.serve)
		}
	}
}

// end ends all nodes.
func (world *world) end() {
	for _, node := range world.nodes {
		if node.thawed != nil {
			node.thaw()
		}
		node.stop()
	}
	world.calls.Wait()
	for _, node := range world.nodes {
		<-node.throttler.Done()
		<-node.gatekeeper.Done()
	}
}

// evenly returns equal weights; heavy gives the first node as much as all others.
func evenly(nodes int) []float64 {
	return slices.Repeat([]float64{1}, nodes)
}

func heavy(nodes int) []float64 {
	weights := evenly(nodes)
	weights[nodes-1] = float64(nodes)
	return weights
}

// held returns the number of permits that the node holds, and of open connections that it counts.
func (node *worldNode) held() (holdings, open int) {
	node.gatekeeper.mutex.Lock()
	defer node.gatekeeper.mutex.Unlock()
	for _, gate := range node.gatekeeper.gates {
		holdings += len(gate.holdings)
		open += gate.open
	}
	return holdings, open
}

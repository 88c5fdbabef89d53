package throttler

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

const (
	// tick is the step of the simulated clock.
	tick = 2 * time.Millisecond
	// maxDelay is the longest delay of a message.
	maxDelay = 3 * tick
	// requestPatience is how long half of the requests wait for a permit.
	requestPatience = 150 * time.Millisecond
)

// world simulates a fleet that sends requests to upstreams with limits, on a stepped clock.
type world struct {
	random     *rand.Rand
	now        time.Time
	nodes      []*member
	upstreams  []*upstream
	deliveries []delivery
	waiting    []waitingRequest
	// lost is the fraction of messages that are lost.
	lost float64
	// severed reports whether messages between two nodes are lost.
	severed func(from, to *member) bool
}

// member is a node of the simulated fleet.
type member struct {
	world     *world
	peer      exchanger.Peer
	throttler *Throttler
	announcer *announcer.Announcer
	// list is the list of nodes as this node knows it, and listed whether it has read it.
	list   []exchanger.Peer
	listed bool
	// A down node sends nothing and loses what it is sent; a frozen node receives it when it
	// thaws.
	down   bool
	frozen bool
	inbox  []delivery
	// excluded is set for nodes that were killed, frozen or cut off.
	excluded bool
	// weight is the node's relative share of all requests.
	weight float64
	// due is when the queued asks of upstreams are to be decided on.
	due map[resource]time.Time
	// withheld is the time before which no permit of an upstream is expected.
	withheld map[definer.UpstreamStart]time.Time
}

// upstream is an upstream with a limit, and the requests that were sent to it.
type upstream struct {
	start      definer.UpstreamStart
	dataCentre definer.DataCentre
	limit      float64
	// requestRate is the number of requests for it a second.
	requestRate float64
	sends       []send
	// warmUp is set for upstreams that have no limit but start anew every restartInterval and
	// are then cold; startedAt is the time of the latest start.
	warmUp    definer.WarmUp
	startedAt time.Time
}

type send struct {
	at   time.Time
	from *member
}

type delivery struct {
	at       time.Time
	from, to *member
	message  messenger.Message
}

// waitingRequest is a request that waits for its permit.
type waitingRequest struct {
	node     *member
	upstream *upstream
	ask      *ask
	until    time.Time
	queued   bool
}

// newWorld returns a fleet in three data centres whose first node gets a third of all requests.
func newWorld(seed uint64, nodes int, limits ...float64) *world {
	world := &world{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), severed: func(_, _ *member) bool { return false }}
	for number := range nodes {
		node := &member{world: world, weight: 1, peer: exchanger.Peer{
			VM: definer.VM(fmt.Sprintf("entry-%d", number)), DataCentre: dataCentre(number), Address: fmt.Sprint(number),
		}}
		world.nodes = append(world.nodes, node)
	}
	world.nodes[0].weight = float64(nodes) / 2
	for number, limit := range limits {
		world.upstreams = append(world.upstreams, &upstream{
			start: definer.UpstreamStart{Upstream: definer.UpstreamName(fmt.Sprintf("u%d", number))}, dataCentre: dataCentre(number), limit: limit, requestRate: 3*limit + 1,
		})
	}
	for _, node := range world.nodes {
		node.list, node.listed = world.peers(), true
		node.start()
	}
	return world
}

func dataCentre(number int) definer.DataCentre {
	return definer.DataCentre(fmt.Sprintf("d%d", number%3))
}

func (world *world) peers() []exchanger.Peer {
	var peers []exchanger.Peer
	for _, node := range world.nodes {
		peers = append(peers, node.peer)
	}
	return peers
}

// start starts a process of the node, which learns of the limits at once.
func (member *member) start() {
	member.due = make(map[resource]time.Time)
	member.withheld = make(map[definer.UpstreamStart]time.Time)
	member.announcer = announcer.New()
	for _, upstream := range member.world.upstreams {
		if upstream.warmUp.Span > 0 {
			continue
		}
		member.announcer.Record(member.world.now, upstream.start, member.world.now, announcer.Announcement{Limit: definer.LimitTo(upstream.limit)})
	}
	member.throttler = New(member.peer, member, member, member.announcer)
	member.throttler.schedule = func(due resource, at time.Time) { member.due[due] = at }
	member.down, member.frozen = false, false
}

// Nodes returns the list of nodes as this node knows it.
func (member *member) Nodes() ([]exchanger.Peer, bool) { return member.list, member.listed }

// Reached returns the number of nodes that run and are connected with this one.
func (member *member) Reached(time.Time) int {
	reached := 0
	for _, node := range member.world.nodes {
		severed := node != member && (member.world.severed(node, member) || member.world.severed(member, node))
		if !node.down && !node.frozen && !severed {
			reached++
		}
	}
	return reached
}

// Send schedules the delivery of a message, unless it is lost.
func (member *member) Send(_ context.Context, address string, message messenger.Message) {
	world := member.world
	to := world.indexOf(func(peer exchanger.Peer) bool { return peer.Address == address })
	if to < 0 || world.random.Float64() < world.lost {
		return
	}
	delay := tick * time.Duration(1+world.random.IntN(int(maxDelay/tick)))
	world.deliveries = append(world.deliveries, delivery{at: world.now.Add(delay), from: member, to: world.nodes[to], message: message})
}

// indexOf returns the index of the first node that matches, or -1.
func (world *world) indexOf(fits func(peer exchanger.Peer) bool) int {
	return slices.IndexFunc(world.nodes, func(node *member) bool { return fits(node.peer) })
}

// run advances the simulation by the span.
func (world *world) run(span time.Duration) {
	for end := world.now.Add(span); world.now.Before(end); {
		world.now = world.now.Add(tick)
		world.restartUpstreams()
		world.deliver()
		world.decide()
		world.generateRequests()
		world.finishAsks()
	}
}

// deliver delivers the messages whose delay has passed.
func (world *world) deliver() {
	deliveries := world.deliveries
	world.deliveries = nil
	for _, delivery := range deliveries {
		switch {
		case delivery.at.After(world.now):
			world.deliveries = append(world.deliveries, delivery)
		case delivery.to.down || world.severed(delivery.from, delivery.to):
		case delivery.to.frozen:
			delivery.to.inbox = append(delivery.to.inbox, delivery)
		default:
			delivery.to.receive(delivery)
		}
	}
}

func (member *member) receive(delivery delivery) {
	member.throttler.receive(member.world.now, definer.Member{VM: delivery.from.peer.VM}, delivery.message)
}

// thaw ends the freeze of a node and delivers the messages that it was sent meanwhile.
func (member *member) thaw() {
	member.frozen = false
	for _, delivery := range member.inbox {
		member.receive(delivery)
	}
	member.inbox = nil
}

// decide has the nodes decide on the queued asks that are due.
func (world *world) decide() {
	for _, node := range world.nodes {
		for _, start := range slices.SortedFunc(maps.Keys(node.due), func(left, right resource) int { return strings.Compare(left.String(), right.String()) }) {
			if !node.down && !node.frozen && !node.due[start].After(world.now) {
				delete(node.due, start)
				node.throttler.decideQueued(world.now, start)
			}
		}
	}
}

// generateRequests generates random requests at the nodes, in proportion to their weights.
func (world *world) generateRequests() {
	total := 0.0
	for _, node := range world.nodes {
		total += node.weight
	}
	for _, upstream := range world.upstreams {
		for due := upstream.requestRate * tick.Seconds(); due > 0; due-- {
			if world.random.Float64() >= due {
				continue
			}
			place := world.random.Float64() * total
			for _, node := range world.nodes {
				if place -= node.weight; place < 0 {
					node.sendRequest(upstream)
					break
				}
			}
		}
	}
}

func (member *member) sendRequest(upstream *upstream) {
	world := member.world
	if member.down || member.frozen {
		return
	}
	need := PermitRequest{Start: upstream.start, DataCentre: upstream.dataCentre, Tier: world.random.IntN(3)}
	if left := upstream.startedAt.Add(upstream.warmUp.Span).Sub(world.now); left > 0 {
		need.ColdLimit, need.ColdFor = upstream.warmUp.Limit(), left
	} else if upstream.warmUp.Span > 0 {
		return // It is warm, so that requests need no permit.
	}
	if wait := member.withheld[upstream.start].Sub(world.now); wait > 0 {
		if wait > requestPatience || world.random.IntN(2) == 0 {
			return // The request goes to another upstream.
		}
		need.Patience = requestPatience
	}
	world.waiting = append(world.waiting, waitingRequest{node: member, upstream: upstream, ask: member.throttler.sendAsk(world.now, need), until: world.now.Add(answerTimeout)})
}

// finishAsks sends the requests whose asks are decided on, and updates the others.
func (world *world) finishAsks() {
	world.waiting = slices.DeleteFunc(world.waiting, func(waiting waitingRequest) bool {
		node := waiting.node
		if node.down {
			return true
		}
		return !node.frozen && waiting.isDecided(world)
	})
	for index := range world.waiting {
		world.waiting[index].recordQueued(world)
	}
}

// recordQueued records whether the ask was queued.
func (waiting *waitingRequest) recordQueued(world *world) {
	select {
	case answer := <-waiting.ask.answers:
		if answer.Verdict == messenger.PermitQueued {
			waiting.queued, waiting.until = true, world.now.Add(waiting.ask.need.Patience+answerTimeout)
			return
		}
		waiting.ask.answers <- answer
	default:
	}
}

// isDecided reports whether the ask is decided on, and sends its request if it was granted.
func (waiting *waitingRequest) isDecided(world *world) bool {
	node, after := waiting.node, answerTimeout
	select {
	case answer := <-waiting.ask.answers:
		if answer.Verdict == messenger.PermitQueued {
			waiting.ask.answers <- answer
			return false
		}
		node.throttler.forgetAsk(waiting.ask)
		if answer.Verdict == messenger.PermitGranted {
			waiting.upstream.sends = append(waiting.upstream.sends, send{at: world.now, from: node})
			return true
		}
		after = answer.After
	default:
		if world.now.Before(waiting.until) {
			return false
		}
		node.throttler.unanswered(world.now, waiting.ask, waiting.queued)
		node.throttler.forgetAsk(waiting.ask)
	}
	node.withheld[waiting.upstream.start] = world.now.Add(after)
	return true
}

// primaryIssuer returns the node that issues the permits of an upstream while there are no faults.
func (world *world) primaryIssuer(upstream *upstream) *member {
	node := world.nodes[0]
	order := node.throttler.order(world.now, world.peers(), upstream.start, upstream.dataCentre, goneTimeout)
	return world.nodes[world.indexOf(func(peer exchanger.Peer) bool { return peer.VM == order[0].VM })]
}

// standInIssuer returns the node that stands in for the first, or the first if it is alone.
func (world *world) standInIssuer(upstream *upstream) *member {
	node := world.nodes[0]
	order := node.throttler.order(world.now, world.peers(), upstream.start, upstream.dataCentre, goneTimeout)
	return world.nodes[world.indexOf(func(peer exchanger.Peer) bool { return peer.VM == order[min(1, len(order)-1)].VM })]
}

// busiestWindow returns the largest number of requests within the window from nodes that are not
// excluded, and the number of all requests, both counted from the time on.
func (upstream *upstream) busiestWindow(window time.Duration, from time.Time) (most, all int) {
	var counted []time.Time
	for _, send := range upstream.sends {
		if send.at.Before(from) {
			continue
		}
		all++
		if !send.from.excluded {
			counted = append(counted, send.at)
		}
	}
	return measurer.MaxInWindow(counted, window), all
}

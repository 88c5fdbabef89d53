package throttler

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/measurer"
)

// way is a way to keep all nodes together from overloading an upstream.
type way string

const (
	// byReports chooses the least loaded upstream by reports of the past.
	byReports way = "reports"
	// byShares gives each node its share of the room, and of the tolerated rejections.
	byShares way = "shares"
	// bySubsets has each upstream used by few nodes, which choose by reports.
	bySubsets way = "subsets"
	// byPermits has one node issue a permit for each request.
	byPermits way = "permits"
	// byPermitsNearFull needs permits only for upstreams that are half full by the reports.
	byPermitsNearFull way = "permits near full"
)

// crowd is a model of nodes that share upstreams with bounded queues, without a network.
type crowd struct {
	way       way
	nodes     int
	upstreams int
	slots     int
	places    int
	work      time.Duration
	// perSecond is the load, reportAge the age of the reports and oneWay the delay of a message.
	perSecond float64
	reportAge time.Duration
	oneWay    time.Duration

	random *rand.Rand
	now    time.Duration
	// running holds the running requests of each upstream, waiting the nodes that sent the others
	// there, and past the number of both at each step.
	running [][]running
	waiting [][]int
	past    [][]int
	// inUse counts the permits of each upstream, own the requests of each node there.
	inUse []int
	own   map[[2]int]int
	// ends are the nodes and upstreams of the requests whose ends become known at a time.
	ends     map[time.Duration][][2]int
	rejected [][]time.Time
	served   int
	sent     int
	asks     int
}

// running is a request that an upstream runs.
type running struct {
	end  time.Duration
	node int
}

const (
	crowdStep    = time.Millisecond
	subsetNodes  = 3
	tolerated    = 6
	crowdRetries = 3
)

// play runs the model for the span.
func (crowd *crowd) play(span time.Duration) {
	crowd.random = rand.New(rand.NewPCG(1, 2))
	crowd.running, crowd.waiting = make([][]running, crowd.upstreams), make([][]int, crowd.upstreams)
	crowd.inUse, crowd.own = make([]int, crowd.upstreams), make(map[[2]int]int)
	crowd.ends, crowd.rejected = make(map[time.Duration][][2]int), make([][]time.Time, crowd.upstreams)
	for ; crowd.now < span; crowd.now += crowdStep {
		for _, end := range crowd.ends[crowd.now] {
			crowd.inUse[end[1]]--
			crowd.own[end]--
		}
		delete(crowd.ends, crowd.now)
		loads := make([]int, crowd.upstreams)
		for upstream := range crowd.upstreams {
			crowd.finish(upstream)
			loads[upstream] = len(crowd.running[upstream]) + len(crowd.waiting[upstream])
		}
		crowd.past = append(crowd.past, loads)
		for due := crowd.perSecond * crowdStep.Seconds(); due > 0; due-- {
			if crowd.random.Float64() < due {
				crowd.request(crowd.random.IntN(crowd.nodes))
			}
		}
	}
}

// finish ends the requests of an upstream that are done, and starts those that wait.
func (crowd *crowd) finish(upstream int) {
	left := crowd.running[upstream][:0]
	for _, request := range crowd.running[upstream] {
		if request.end > crowd.now {
			left = append(left, request)
			continue
		}
		crowd.served++
		known := crowd.now + 2*crowd.oneWay
		crowd.ends[known] = append(crowd.ends[known], [2]int{request.node, upstream})
	}
	for len(crowd.waiting[upstream]) > 0 && len(left) < crowd.slots {
		left = append(left, running{end: crowd.now + crowd.work, node: crowd.waiting[upstream][0]})
		crowd.waiting[upstream] = crowd.waiting[upstream][1:]
	}
	crowd.running[upstream] = left
}

// reported returns the load of an upstream by the reports.
func (crowd *crowd) reported(upstream int) int {
	step := len(crowd.past) - 1 - int(crowd.reportAge/crowdStep)
	return crowd.past[max(step, 0)][upstream]
}

// request sends a request of a node to the first upstream that accepts it.
func (crowd *crowd) request(node int) {
	crowd.sent++
	var tried []int
	for range crowdRetries {
		upstream, load := crowd.choose(node, tried)
		if upstream < 0 || crowd.allowed(node, upstream, load) && crowd.send(node, upstream) {
			return
		}
		tried = append(tried, upstream)
	}
}

// choose returns the less loaded one of two random upstreams that were not tried, or -1.
func (crowd *crowd) choose(node int, tried []int) (best, load int) {
	best = -1
	for range 2 {
		upstream := crowd.random.IntN(crowd.upstreams)
		if crowd.way == bySubsets {
			// Each node uses a share of the upstreams, so that subsetNodes nodes use each.
			own := max(crowd.upstreams*subsetNodes/crowd.nodes, 2)
			upstream = (node*own + crowd.random.IntN(own)) % crowd.upstreams
		}
		if slices.Contains(tried, upstream) {
			continue
		}
		if total := crowd.reported(upstream) + crowd.own[[2]int{node, upstream}]; best < 0 || total < load {
			best, load = upstream, total
		}
	}
	return best, load
}

// allowed reports whether the node may send a request to the upstream.
func (crowd *crowd) allowed(node, upstream, load int) bool {
	switch crowd.way {
	case byShares:
		share := float64(crowd.slots+crowd.places) / float64(crowd.nodes)
		return float64(crowd.own[[2]int{node, upstream}]) < share || crowd.random.Float64() < float64(tolerated)/float64(crowd.nodes)/crowd.perSecond
	case byPermits:
		crowd.asks++
		return crowd.inUse[upstream] < crowd.slots+1
	case byPermitsNearFull:
		if 2*load < crowd.slots {
			return true
		}
		crowd.asks++
		return crowd.inUse[upstream] < crowd.slots+1
	}
	return true
}

// send sends a request and reports whether it was accepted.
func (crowd *crowd) send(node, upstream int) bool {
	pair := [2]int{node, upstream}
	if len(crowd.running[upstream])+len(crowd.waiting[upstream]) >= crowd.slots+crowd.places {
		crowd.rejected[upstream] = append(crowd.rejected[upstream], time.Unix(0, int64(crowd.now)))
		return false
	}
	if len(crowd.running[upstream]) < crowd.slots {
		crowd.running[upstream] = append(crowd.running[upstream], running{end: crowd.now + crowd.work, node: node})
	} else {
		crowd.waiting[upstream] = append(crowd.waiting[upstream], node)
	}
	crowd.inUse[upstream]++
	crowd.own[pair]++
	return true
}

// mostRejected returns the largest number of rejections of one upstream within a second.
func (crowd *crowd) mostRejected() int {
	most := 0
	for _, times := range crowd.rejected {
		most = max(most, measurer.MaxInWindow(times, time.Second))
	}
	return most
}

// TestWaysToBoundRejections compares, at several sizes, the ways to keep all nodes together from
// overloading upstreams whose queues have become short. With -v it prints the comparison of the
// design note on limits.
//
// It guards against a bound that holds for each node only: with permits from one node, no upstream
// rejects anything, and as much is served as with any other way.
func TestWaysToBoundRejections(t *testing.T) {
	const span = 2 * time.Second
	for _, size := range []struct{ nodes, upstreams, slots int }{{6, 8, 4}, {59, 4, 6}, {59, 140, 12}, {986, 140, 12}} {
		for _, load := range []float64{0.7, 2} {
			for _, way := range []way{byReports, byShares, bySubsets, byPermitsNearFull, byPermits} {
				crowd := crowd{
					way: way, nodes: size.nodes, upstreams: size.upstreams, slots: size.slots, places: 2, work: 120 * time.Millisecond,
					reportAge: 200 * time.Millisecond, oneWay: 2 * time.Millisecond,
				}
				capacity := float64(size.upstreams*size.slots) / crowd.work.Seconds()
				crowd.perSecond = load * capacity
				crowd.play(span)
				wanted := min(load, 1) * capacity * span.Seconds()
				t.Logf("%d nodes, %d upstreams, load %.1f, %s: served %.2f, rejected in a second at most %d, asks a request %.2f",
					size.nodes, size.upstreams, load, way, float64(crowd.served)/wanted, crowd.mostRejected(), float64(crowd.asks)/float64(crowd.sent))
				if way == byPermits {
					assert.Equal(t, crowd.mostRejected(), 0)
				}
			}
		}
	}
}

package endtoend_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// bookers is how many callers book at the same time: more than one for each node,
	// and as many as the machines of CI serve with ease.
	bookers = 12
	// bookingTries is how often a caller who is told that a booking has not run sends it.
	bookingTries = 4
	// longestPause is the longest that a caller waits before it comes again.
	longestPause = 300 * time.Millisecond
	// noticed is how long after SIGTERM the balancer takes a node out: two questions a
	// second apart.
	noticed = 2 * time.Second
	// inForceWithin is how long a change may take until every node goes by it, the
	// users' bound for hundreds of nodes.
	inForceWithin = 4 * time.Second
	// leavingWithin is how long after an upstream is listed as leaving it may still get
	// requests, the users' bound for hundreds of nodes.
	leavingWithin = 4 * time.Second
)

// desk is what upstreams witness of bookings.
type desk struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// runs counts the runs of each booking.
	runs map[string]int
	// lastByNode is when a request of a node reached each upstream last.
	lastByNode map[string]map[string]time.Time
}

func newDesk() *desk {
	return &desk{runs: make(map[string]int), lastByNode: make(map[string]map[string]time.Time)}
}

// serve returns an upstream's handler, which takes its time and confirms the booking.
func (desk *desk) serve(upstream string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		booking := request.Header.Get("X-Booking")
		desk.note(upstream, request.Header.Get("X-Node"), booking)
		<-time.After(10 * time.Millisecond)
		sign(writer, request)
		_, _ = io.WriteString(writer, booking) // A caller that has left needs no answer.
	}
}

func (desk *desk) note(upstream, node, booking string) {
	desk.mutex.Lock()
	defer desk.mutex.Unlock()
	desk.runs[booking]++
	if desk.lastByNode[upstream] == nil {
		desk.lastByNode[upstream] = make(map[string]time.Time)
	}
	desk.lastByNode[upstream][node] = time.Now()
}

// outcome is what a caller knows of a booking in the end.
type outcome string

const (
	confirmed outcome = "confirmed"
	refused   outcome = "refused"
	unknown   outcome = "unknown"
)

// booking is one booking as its caller saw it.
type booking struct {
	id      string
	outcome outcome
	// node is the one that was asked last.
	node string
	// longest is the longest that an answer took.
	longest time.Duration
	text    string
}

// counter is the callers of a fleet, who book until they are told to stop.
type counter struct {
	fleet *fleet
	// over is closed when the callers are to stop.
	over chan struct{}

	// mutex guards the rest; no other lock is taken under it.
	mutex    sync.Mutex
	bookings []booking
	// out holds the nodes that the balancer has taken out.
	out map[string]bool
}

// open lets the callers begin; the group ends after over is closed.
func (counter *counter) open(group *conc.WaitGroup) {
	for number := range bookers {
		draw := rand.New(rand.NewPCG(1, uint64(number)))
		caller := newClient(counter.fleet.t)
		group.Go(func() {
			for made := 0; !counter.closed(); made++ {
				counter.keep(counter.book(caller, draw, fmt.Sprintf("%d-%d", number, made)))
			}
		})
	}
}

func (counter *counter) closed() bool {
	select {
	case <-counter.over:
		return true
	default:
		return false
	}
}

func (counter *counter) keep(booking booking) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.bookings = append(counter.bookings, booking)
}

// takeOut takes a node out of those that callers turn to.
func (counter *counter) takeOut(node *node) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.out[node.name] = true
}

// pick draws one of the nodes that the balancer turns callers to, ready or not.
func (counter *counter) pick(draw *rand.Rand) *node {
	var open []*node
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	for _, node := range counter.fleet.all() {
		if !counter.out[node.name] {
			open = append(open, node)
		}
	}
	return open[draw.IntN(len(open))]
}

// book sends a booking until it is confirmed or nobody can tell whether it ran: as the
// users' callers do, again only on a promise that it has not run.
func (counter *counter) book(caller *client, draw *rand.Rand, id string) booking {
	made := booking{id: id, outcome: refused}
	for range bookingTries {
		node := counter.pick(draw)
		request := node.request("/book/")
		request.Header.Set("X-Booking", id)
		got := caller.send(request)
		made.node, made.text = node.name, got.text
		made.longest = max(made.longest, got.took)
		switch {
		case got.status == http.StatusOK && got.text == id:
			made.outcome = confirmed
			return made
		case got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests || got.untaken:
			<-time.After(min(got.pause, longestPause))
		default:
			made.outcome = unknown
			return made
		}
	}
	return made
}

// check holds every booking to what the upstreams witnessed, and returns how many each
// node confirmed. Only at the node that was killed may a caller be left without word.
func (counter *counter) check(desk *desk, killed *node) map[string]int {
	t := counter.fleet.t
	served := make(map[string]int)
	for _, booking := range counter.bookings {
		runs := desk.runs[booking.id]
		assert.Assert(t, booking.longest < ruleTimeout+quickLimit, "%+v hung", booking)
		switch booking.outcome {
		case confirmed:
			served[booking.node]++
			assert.Equal(t, runs, 1, "%+v", booking)
		case refused:
			assert.Equal(t, runs, 0, "%+v", booking)
		case unknown:
			assert.Assert(t, runs <= 1, "%+v ran %d times", booking, runs)
			assert.Equal(t, booking.node, killed.name, "%+v", booking)
		}
	}
	return served
}

// TestBookingsWhileNodesJoin holds what callers of an order desk are owed while a fleet
// triples under load and loses nodes: a booking is confirmed or refused in time, runs at
// most once, however often and wherever it is sent, and never once refused for good.
// Joined nodes are turned to from the moment at which their processes start. One of the
// first nodes is stopped as planned, one killed.
//
// The users saw a confirmation hang when machines joined, and its reservation twice.
func TestBookingsWhileNodesJoin(t *testing.T) { inBothWays(t, bookingsWhileNodesJoin) }

func bookingsWhileNodesJoin(t *testing.T, fleet *fleet) {
	desk := newDesk()
	fleet.configure(unsafeRule("/book/"))
	fleet.upstream("u1", desk.serve("u1"))
	fleet.upstream("u2", desk.serve("u2"))
	stopped, killed, kept := fleet.join("entry-1"), fleet.join("entry-2"), fleet.join("entry-3")
	for _, node := range []*node{stopped, killed, kept} {
		node.awaitReady()
	}

	counter := &counter{fleet: fleet, over: make(chan struct{}), out: make(map[string]bool)}
	var callers conc.WaitGroup
	counter.open(&callers)
	var joined []*node
	for number := range 6 {
		joined = append(joined, fleet.join(fmt.Sprintf("joined-%d", number)))
	}
	for _, node := range joined {
		node.awaitReady()
	}
	stopped.Stop()
	killed.Kill()
	counter.takeOut(killed)
	<-time.After(noticed)
	counter.takeOut(stopped)
	assert.Equal(t, stopped.exitCode(hangLimit), 0)
	close(counter.over)
	callers.Wait()

	served := counter.check(desk, killed)
	t.Logf("confirmed by node: %v of %d", served, len(counter.bookings))
	for _, node := range append(joined, kept) {
		assert.Assert(t, served[node.name] > 0, "%s confirmed nothing", node.name)
	}
}

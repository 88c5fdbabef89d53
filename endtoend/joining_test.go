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
	// bookingCallers is the number of concurrent callers: more than one for each node, and few
	// enough for the CI machines.
	bookingCallers = 12
	// bookingAttempts is the number of times a caller sends a booking whose responses report that
	// it has not run.
	bookingAttempts = 4
	// maxPause limits the time that a caller waits before a retry.
	maxPause = 300 * time.Millisecond
	// balancerDelay is the time after SIGTERM at which the balancer removes a node: two health
	// checks a second apart.
	balancerDelay = 2 * time.Second
	// configurationTimeout is the time within which every node must apply a change, the users'
	// bound for hundreds of nodes.
	configurationTimeout = 4 * time.Second
	// leavingTimeout is the time for which an upstream may still receive requests after it is
	// listed as leaving, the users' bound for hundreds of nodes.
	leavingTimeout = 4 * time.Second
)

// bookingRecorder records the bookings that reach the upstreams.
type bookingRecorder struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// runs counts the runs of each booking.
	runs map[string]int
	// lastByNode is the time of the last request from each node, by upstream and node.
	lastByNode map[string]map[string]time.Time
}

func newBookingRecorder() *bookingRecorder {
	return &bookingRecorder{runs: make(map[string]int), lastByNode: make(map[string]map[string]time.Time)}
}

// serve returns an upstream's handler, which confirms the booking after a short delay.
func (recorder *bookingRecorder) serve(upstream string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		booking := request.Header.Get("X-Booking")
		recorder.recordArrival(upstream, request.Header.Get("X-Node"), booking)
		<-time.After(10 * time.Millisecond)
		writeAttemptHeaders(writer, request)
		_, _ = io.WriteString(writer, booking) // A disconnected caller needs no response.
	}
}

func (recorder *bookingRecorder) recordArrival(upstream, node, booking string) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.runs[booking]++
	if recorder.lastByNode[upstream] == nil {
		recorder.lastByNode[upstream] = make(map[string]time.Time)
	}
	recorder.lastByNode[upstream][node] = time.Now()
}

// outcome is the result of a booking as far as its caller can determine it.
type outcome string

const (
	confirmed outcome = "confirmed"
	refused   outcome = "refused"
	unknown   outcome = "unknown"
)

// booking is one booking from its caller's point of view.
type booking struct {
	id      string
	outcome outcome
	// lastNode is the node to which the last attempt was sent.
	lastNode string
	// longestResponse is the duration of the slowest attempt.
	longestResponse time.Duration
	text            string
}

// bookingClients are the callers of a fleet, which send bookings until they are stopped.
type bookingClients struct {
	fleet *fleet
	// stop is closed to stop the callers.
	stop chan struct{}

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex    sync.Mutex
	bookings []booking
	// removed holds the nodes that the balancer has removed.
	removed map[string]bool
}

// start starts the callers; the group finishes after stop is closed.
func (clients *bookingClients) start(group *conc.WaitGroup) {
	for number := range bookingCallers {
		random := rand.New(rand.NewPCG(1, uint64(number)))
		caller := newClient(clients.fleet.t)
		group.Go(func() {
			for count := 0; !clients.stopped(); count++ {
				clients.add(clients.book(caller, random, fmt.Sprintf("%d-%d", number, count)))
			}
		})
	}
}

func (clients *bookingClients) stopped() bool {
	select {
	case <-clients.stop:
		return true
	default:
		return false
	}
}

func (clients *bookingClients) add(booking booking) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	clients.bookings = append(clients.bookings, booking)
}

// remove removes a node from the balancer.
func (clients *bookingClients) remove(node *node) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	clients.removed[node.name] = true
}

// pickNode returns a random node among those that the balancer has not removed, ready or not.
func (clients *bookingClients) pickNode(random *rand.Rand) *node {
	var candidates []*node
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	for _, node := range clients.fleet.startedNodes() {
		if !clients.removed[node.name] {
			candidates = append(candidates, node)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// book sends a booking until it is confirmed or its outcome is unknown. Like the users' callers, it
// retries only when the booking is known not to have run.
func (clients *bookingClients) book(caller *client, random *rand.Rand, id string) booking {
	result := booking{id: id, outcome: refused}
	for range bookingAttempts {
		node := clients.pickNode(random)
		request := node.request("/book/")
		request.Header.Set("X-Booking", id)
		reply := caller.send(request)
		result.lastNode, result.text = node.name, reply.text
		result.longestResponse = max(result.longestResponse, reply.took)
		switch {
		case reply.status == http.StatusOK && reply.text == id:
			result.outcome = confirmed
			return result
		case reply.status == http.StatusServiceUnavailable || reply.status == http.StatusTooManyRequests || reply.notConnected:
			<-time.After(min(reply.retryAfter, maxPause))
		default:
			result.outcome = unknown
			return result
		}
	}
	return result
}

// checkBookings checks every booking against the upstreams' record and returns the number of
// bookings that each node confirmed. Only the killed node may leave a caller with an unknown
// outcome.
func (clients *bookingClients) checkBookings(recorder *bookingRecorder, killed *node) map[string]int {
	t := clients.fleet.t
	confirmedBy := make(map[string]int)
	for _, booking := range clients.bookings {
		runs := recorder.runs[booking.id]
		assert.Assert(t, booking.longestResponse < ruleTimeout+quickTimeout, "%+v hung", booking)
		switch booking.outcome {
		case confirmed:
			confirmedBy[booking.lastNode]++
			assert.Equal(t, runs, 1, "%+v", booking)
		case refused:
			assert.Equal(t, runs, 0, "%+v", booking)
		case unknown:
			assert.Assert(t, runs <= 1, "%+v ran %d times", booking, runs)
			assert.Equal(t, booking.lastNode, killed.name, "%+v", booking)
		}
	}
	return confirmedBy
}

// TestBookingsWhileNodesJoin checks the guarantees to an order desk while a fleet triples under
// load and loses nodes: a booking is confirmed or refused in time, runs at most once, however often
// and wherever it is sent, and never runs if it was finally refused. Joined nodes receive requests
// as soon as their processes start. One of the first nodes is stopped as planned, another is
// killed.
//
// It guards against confirmations that hang when nodes join, and against bookings that run twice.
func TestBookingsWhileNodesJoin(t *testing.T) { withAndWithoutDelegation(t, bookingsWhileNodesJoin) }

func bookingsWhileNodesJoin(t *testing.T, fleet *fleet) {
	recorder := newBookingRecorder()
	fleet.configure(unsafeRule("/book/"))
	fleet.startUpstream("u1", recorder.serve("u1"))
	fleet.startUpstream("u2", recorder.serve("u2"))
	stopped, killed, kept := fleet.startNode("entry-1"), fleet.startNode("entry-2"), fleet.startNode("entry-3")
	for _, node := range []*node{stopped, killed, kept} {
		node.awaitReady()
	}

	clients := &bookingClients{fleet: fleet, stop: make(chan struct{}), removed: make(map[string]bool)}
	var callers conc.WaitGroup
	clients.start(&callers)
	var joined []*node
	for number := range 6 {
		joined = append(joined, fleet.startNode(fmt.Sprintf("joined-%d", number)))
	}
	for _, node := range joined {
		node.awaitReady()
	}
	stopped.Terminate()
	killed.Kill()
	clients.remove(killed)
	<-time.After(balancerDelay)
	clients.remove(stopped)
	assert.Equal(t, stopped.exitCode(hangTimeout), 0)
	close(clients.stop)
	callers.Wait()

	served := clients.checkBookings(recorder, killed)
	t.Logf("confirmed by node: %v of %d", served, len(clients.bookings))
	for _, node := range append(joined, kept) {
		assert.Assert(t, served[node.name] > 0, "%s confirmed nothing", node.name)
	}
}

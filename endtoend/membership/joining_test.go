package membership_test

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

	"limpetcleat/standin/tester"
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
		tester.WriteAttemptHeaders(writer, request)
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
	fleet *tester.Fleet
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
		caller := tester.NewClient(clients.fleet.T)
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
func (clients *bookingClients) remove(node *tester.Node) {
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	clients.removed[node.Name] = true
}

// pickNode returns a random node among those that the balancer has not removed, ready or not.
func (clients *bookingClients) pickNode(random *rand.Rand) *tester.Node {
	var candidates []*tester.Node
	clients.mutex.Lock()
	defer clients.mutex.Unlock()
	for _, node := range clients.fleet.StartedNodes() {
		if !clients.removed[node.Name] {
			candidates = append(candidates, node)
		}
	}
	return candidates[random.IntN(len(candidates))]
}

// book sends a booking until it is confirmed or its outcome is unknown. Like the users' callers, it
// retries only when the booking is known not to have run.
func (clients *bookingClients) book(caller *tester.Client, random *rand.Rand, id string) booking {
	result := booking{id: id, outcome: refused}
	for range bookingAttempts {
		node := clients.pickNode(random)
		request := node.Request("/book/")
		request.Header.Set("X-Booking", id)
		reply := caller.Send(request)
		result.lastNode, result.text = node.Name, reply.Text
		result.longestResponse = max(result.longestResponse, reply.Took)
		switch {
		case reply.Status == http.StatusOK && reply.Text == id:
			result.outcome = confirmed
			return result
		case reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests || reply.NotConnected:
			<-time.After(min(reply.RetryAfter, maxPause))
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
func (clients *bookingClients) checkBookings(recorder *bookingRecorder, killed *tester.Node) map[string]int {
	t := clients.fleet.T
	confirmedBy := make(map[string]int)
	for _, booking := range clients.bookings {
		runs := recorder.runs[booking.id]
		assert.Assert(t, booking.longestResponse < tester.RuleTimeout+tester.QuickTimeout, "%+v hung", booking)
		switch booking.outcome {
		case confirmed:
			confirmedBy[booking.lastNode]++
			assert.Equal(t, runs, 1, "%+v", booking)
		case refused:
			assert.Equal(t, runs, 0, "%+v", booking)
		case unknown:
			assert.Assert(t, runs <= 1, "%+v ran %d times", booking, runs)
			assert.Equal(t, booking.lastNode, killed.Name, "%+v", booking)
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
func TestBookingsWhileNodesJoin(t *testing.T) {
	tester.WithAndWithoutDelegation(t, bookingsWhileNodesJoin)
}

func bookingsWhileNodesJoin(t *testing.T, fleet *tester.Fleet) {
	recorder := newBookingRecorder()
	fleet.Configure(tester.UnsafeRule("/book/"))
	fleet.StartUpstream("u1", recorder.serve("u1"))
	fleet.StartUpstream("u2", recorder.serve("u2"))
	stopped, killed, kept := fleet.StartNode("entry-1"), fleet.StartNode("entry-2"), fleet.StartNode("entry-3")
	for _, node := range []*tester.Node{stopped, killed, kept} {
		node.AwaitReady()
	}

	clients := &bookingClients{fleet: fleet, stop: make(chan struct{}), removed: make(map[string]bool)}
	var callers conc.WaitGroup
	clients.start(&callers)
	var joined []*tester.Node
	for number := range 6 {
		joined = append(joined, fleet.StartNode(fmt.Sprintf("joined-%d", number)))
	}
	for _, node := range joined {
		node.AwaitReady()
	}
	stopped.Terminate()
	killed.Kill()
	clients.remove(killed)
	<-time.After(balancerDelay)
	clients.remove(stopped)
	assert.Equal(t, stopped.AwaitExit(tester.HangTimeout), 0)
	close(clients.stop)
	callers.Wait()

	served := clients.checkBookings(recorder, killed)
	t.Logf("confirmed by node: %v of %d", served, len(clients.bookings))
	for _, node := range append(joined, kept) {
		assert.Assert(t, served[node.Name] > 0, "%s confirmed nothing", node.Name)
	}
}

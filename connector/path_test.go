package connector

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/definer"
	"limpetcleat/dialer"
)

const pathTimeout = 10 * time.Second

// testRelay connects to an upstream through a peer that reaches it.
type testRelay struct {
	// mutex guards the other fields.
	mutex sync.Mutex
	// lost makes the peer unable to connect.
	lost  bool
	dials int
}

type testRelayed struct{ net.Conn }

func (testRelayed) Peer() definer.VM { return "peer" }
func (testRelayed) Reusable() bool   { return true }

func (testRelay *testRelay) Dial(ctx context.Context, address string) (net.Conn, error) {
	testRelay.mutex.Lock()
	defer testRelay.mutex.Unlock()
	testRelay.dials++
	if testRelay.lost {
		return nil, syscall.ECONNREFUSED
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return testRelayed{conn}, err
}

// testNetwork is the direct path.
type testNetwork struct {
	mutex sync.Mutex
	// failure is the error of new connections; errSlow makes them hang.
	failure error
}

func (testNetwork *testNetwork) set(failure error) {
	testNetwork.mutex.Lock()
	defer testNetwork.mutex.Unlock()
	testNetwork.failure = failure
}

func (testNetwork *testNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	testNetwork.mutex.Lock()
	failure := testNetwork.failure
	testNetwork.mutex.Unlock()
	if errors.Is(failure, errSlow) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if failure != nil {
		return nil, failure
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

// startHTTP starts an upstream that answers each request; on the path /wait it never does.
func startHTTP(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			<-request.Context().Done()
		}
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func exchangeOnce(connector *Connector, address, target string) error {
	answer, err := connector.Exchange(context.Background(), context.Background(), address, &Outgoing{
		Method: http.MethodGet, ID: rand.Text(), Target: target, Host: "host", Header: http.Header{}, Repeatable: true,
		Belongs: func(int, http.Header) bool { return true },
	})
	if err != nil {
		return err
	}
	_, err = answer.ReadAll(1 << 10)
	answer.Close()
	return err
}

// TestPathIsLostAndRestored checks that connections go through the relay while the direct path is
// lost, and directly again soon after it is restored.
func TestPathIsLostAndRestored(t *testing.T) {
	for name, failure := range map[string]error{"refused": syscall.ECONNREFUSED, "silent": errSlow} {
		t.Run(name, func(t *testing.T) {
			address, network, relay := startHTTP(t), &testNetwork{failure: failure}, &testRelay{}
			connector := New(WithDial(network.dial), WithRelay(relay))
			defer connector.Close()
			assert.NilError(t, exchangeOnce(connector, address, "/"))
			assert.Assert(t, connector.paths.isLost(address))
			_, err := connector.Dial(context.Background(), address)
			assert.ErrorContains(t, err, "is lost") // Peers must not be relayed in turn.

			network.set(nil)
			awaitPath(t, connector, address, false)
			relay.mutex.Lock()
			relay.lost = true
			relay.mutex.Unlock()
			assert.NilError(t, exchangeOnce(connector, address, "/"))
		})
	}
}

// awaitPath sweeps until the path to the address is lost or restored.
func awaitPath(t *testing.T, connector *Connector, address string, lost bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		connector.Sweep(time.Now())
		if connector.paths.isLost(address) != lost {
			return poll.Continue("lost is %t", !lost)
		}
		return poll.Success()
	}, poll.WithTimeout(pathTimeout), poll.WithDelay(20*time.Millisecond))
}

// TestWaitingRequestsFindALostPath guards against requests that wait for an answer on a connection
// that carries nothing any more, until their time limit.
func TestWaitingRequestsFindALostPath(t *testing.T) {
	address, network := startHTTP(t), &testNetwork{}
	connector := New(WithDial(network.dial), WithRelay(&testRelay{}))
	defer connector.Close()
	assert.NilError(t, exchangeOnce(connector, address, "/"))
	network.set(errSlow)
	failed := make(chan error, 1)
	go func() { failed <- exchangeOnce(connector, address, "/wait") }()
	awaitPath(t, connector, address, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		connector.Sweep(time.Now())
		select {
		case err := <-failed:
			var failure *Error
			if !errors.As(err, &failure) || failure.Kind() != PathLost {
				return poll.Error(err)
			}
			return poll.Success()
		default:
			return poll.Continue("the request still waits")
		}
	}, poll.WithTimeout(pathTimeout), poll.WithDelay(20*time.Millisecond))
}

// TestOtherPathsAreTested guards against each upstream's idle connections losing a request before the
// path to it is found to be lost.
func TestOtherPathsAreTested(t *testing.T) {
	first, second, network := startHTTP(t), startHTTP(t), &testNetwork{}
	connector := New(WithDial(network.dial), WithRelay(&testRelay{}))
	defer connector.Close()
	assert.NilError(t, exchangeOnce(connector, second, "/"))
	network.set(syscall.ECONNREFUSED)
	assert.NilError(t, exchangeOnce(connector, first, "/"))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !connector.paths.isLost(second) {
			return poll.Continue("the path to the second upstream counts as intact")
		}
		return poll.Success()
	}, poll.WithTimeout(pathTimeout), poll.WithDelay(5*time.Millisecond))
}

// TestAddressesWithoutConnectionsAreNotTested guards against a panic at an address whose last idle
// connection was taken, which ended all tests of paths.
func TestAddressesWithoutConnectionsAreNotTested(t *testing.T) {
	connector := New(WithRelay(&testRelay{}))
	defer connector.Close()
	near, far := net.Pipe()
	defer far.Close()
	connector.putOpened("idle", near)
	assert.DeepEqual(t, connector.connectedAddresses(), []string{"idle"})
	taken := connector.takeIdle("idle", connector.key("a"))
	assert.DeepEqual(t, connector.connectedAddresses(), []string(nil))
	assert.NilError(t, taken.Close())
}

// TestLostPathIsNoLostUpstream guards against requests being suspected of ending upstreams whose
// connections broke because this node lost its path.
func TestLostPathIsNoLostUpstream(t *testing.T) {
	address, network, relay := startHTTP(t), &testNetwork{failure: syscall.ECONNREFUSED}, &testRelay{}
	connector := New(WithDial(network.dial), WithRelay(relay))
	defer connector.Close()
	assert.Equal(t, connector.Look(context.Background(), address), dialer.Listening)

	alone := New(WithDial(network.dial), WithRelay(&testRelay{lost: true}))
	defer alone.Close()
	assert.Equal(t, alone.Look(context.Background(), address), dialer.Refused)
}

// TestFailedTrialsAreLimited guards against peers being asked again and again about upstreams that
// nobody reaches.
func TestFailedTrialsAreLimited(t *testing.T) {
	paths, now := newPaths(), time.Now()
	begun := 0
	for round := range 100 {
		for _, address := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			at := now.Add(time.Duration(round) * 10 * time.Millisecond)
			if running, allowed := paths.beginTrial(address, at); allowed && running == nil {
				begun++
				assert.Assert(t, !paths.endTrial(address, at, false, false))
			}
		}
	}
	assert.Assert(t, begun <= failedTrialBurst+failedTrialRate, begun)
	running, allowed := paths.beginTrial("reached", now.Add(time.Minute))
	assert.Assert(t, allowed && running == nil)
	waiting, allowed := paths.beginTrial("reached", now.Add(time.Minute))
	assert.Assert(t, allowed && waiting != nil)
	assert.Assert(t, paths.endTrial("reached", now.Add(time.Minute), true, false))
	<-waiting
	assert.Assert(t, paths.isLost("reached"))
}

// TestPathsAreLostTogether guards against a node that has lost all paths asking peers about each of
// them before it stops using them, and against a single failure counting as a lost path.
func TestPathsAreLostTogether(t *testing.T) {
	paths, now := newPaths(), time.Now()
	assert.Assert(t, !paths.loseWithOthers("second", now, true))
	assert.Assert(t, !paths.isLost("second"))
	_, allowed := paths.beginTrial("first", now)
	assert.Assert(t, allowed && paths.endTrial("first", now, true, true))
	assert.Assert(t, paths.loseWithOthers("second", now, true))
	assert.Assert(t, !paths.loseWithOthers("second", now, true))
	assert.Equal(t, paths.lostCount(), 2)
}

// TestIdleConnectionsOfACutOffNodeAreClosed guards against requests being written to connections that
// are lost with the paths of a node and do not show it.
func TestIdleConnectionsOfACutOffNodeAreClosed(t *testing.T) {
	connector := New(WithRelay(&testRelay{}))
	defer connector.Close()
	for _, address := range []string{"a", "b", "c", "d"} {
		near, far := net.Pipe()
		defer far.Close()
		connector.putOpened(address, near)
	}
	for _, address := range []string{"a", "b", "c"} {
		kept := len(connector.connectedAddresses())
		assert.Assert(t, kept > 1, "the first two paths may seem lost because of lost packets")
		connector.paths.mutex.Lock()
		assert.Assert(t, connector.paths.lose(connector.paths.path(address), time.Now(), true))
		connector.paths.mutex.Unlock()
		connector.pathLost(address, true, errSlow)
	}
	assert.Assert(t, connector.takeIdle("d", connector.key("a")) == nil)
}

// TestTrialsGoOnAfterACut guards against trials that failed while paths were lost using up those of
// later times.
func TestTrialsGoOnAfterACut(t *testing.T) {
	paths, now := newPaths(), time.Now()
	_, allowed := paths.beginTrial("lost", now)
	assert.Assert(t, allowed && paths.endTrial("lost", now, true, true))
	for _, address := range strings.Split("abcdefghijklmnopqrst", "") {
		_, allowed := paths.beginTrial(address, now)
		assert.Assert(t, allowed)
		paths.endTrial(address, now, false, true)
	}
	paths.restore("lost")
	_, allowed = paths.beginTrial("next", now.Add(time.Second))
	assert.Assert(t, allowed)
}

// TestUnusedPathsAreForgotten checks that the state of paths does not grow without bound.
func TestUnusedPathsAreForgotten(t *testing.T) {
	paths, now := newPaths(), time.Now()
	for _, reached := range []bool{true, false} {
		address := map[bool]string{true: "lost", false: "unreachable"}[reached]
		_, allowed := paths.beginTrial(address, now)
		assert.Assert(t, allowed)
		paths.endTrial(address, now, reached, false)
	}
	assert.DeepEqual(t, paths.dueProbes(now.Add(probeInterval)), []string{"lost"})
	paths.endProbe("lost", false)
	assert.Equal(t, len(paths.dueProbes(now.Add(2*lostPathLifetime))), 0)
	assert.Equal(t, len(paths.known), 0)
}

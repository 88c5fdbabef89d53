package relayer_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/definer"
	"limpetcleat/relayer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const upstreamAddress = "10.0.0.1:80"

// fleet is a set of peers that relay, each with its own path to the upstream.
type fleet struct {
	t *testing.T
	// mutex guards the fields below.
	mutex sync.Mutex
	// relayers holds the peers by address, connects how each connects to the upstream.
	relayers map[string]*relayer.Relayer
	connects map[string]relayer.Connect
	// asked are the addresses of the peers in the order in which they were asked.
	asked []string
	// upstreams receives the upstream's end of each connection.
	upstreams chan net.Conn
	serving   sync.WaitGroup
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	fleet := &fleet{t: t, relayers: make(map[string]*relayer.Relayer), connects: make(map[string]relayer.Connect), upstreams: make(chan net.Conn, 16)}
	t.Cleanup(fleet.serving.Wait)
	return fleet
}

// connect connects to the upstream.
func (fleet *fleet) connect(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	fleet.upstreams <- far
	return near, nil
}

// refuse fails as if no process listened.
func refuse(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

// add adds a peer and returns it.
func (fleet *fleet) add(address string, connect relayer.Connect) *relayer.Relayer {
	fleet.connects[address] = connect
	added := relayer.New(func(ctx context.Context, upstream string) (net.Conn, error) {
		fleet.mutex.Lock()
		connect := fleet.connects[address]
		fleet.mutex.Unlock()
		return connect(ctx, upstream)
	}, func(upstream string) bool { return upstream == upstreamAddress })
	fleet.relayers[address] = added
	return added
}

// open implements relayer.OpenStream.
func (fleet *fleet) open(_ context.Context, address string) (net.Conn, error) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.asked = append(fleet.asked, address)
	peer, ok := fleet.relayers[address]
	if !ok {
		return nil, syscall.EHOSTUNREACH
	}
	near, far := net.Pipe()
	fleet.serving.Go(func() { peer.Serve(context.Background(), far) })
	return near, nil
}

// client returns the client of a node of data centre west, with the peers by address and data centre.
func (fleet *fleet) client(dataCentres map[string]definer.DataCentre) *relayer.Client {
	peers := []relayer.Peer{{VM: "self", DataCentre: "west", Address: "self"}}
	for address, dataCentre := range dataCentres {
		peers = append(peers, relayer.Peer{VM: definer.VM(address), DataCentre: dataCentre, Address: address})
	}
	return relayer.NewClient(peers[0], fleet.open, func() []relayer.Peer { return peers })
}

func (fleet *fleet) dial(client *relayer.Client) net.Conn {
	fleet.t.Helper()
	conn, err := client.Dial(context.Background(), upstreamAddress)
	assert.NilError(fleet.t, err)
	return conn
}

// peerOf returns the peer that relays the connection.
func peerOf(conn net.Conn) string { return string(conn.(*relayer.Conn).Peer()) }

// TestBytesAreRelayed checks both directions of a connection, and its end by each side.
func TestBytesAreRelayed(t *testing.T) {
	fleet := newFleet(t)
	fleet.add("peer", fleet.connect)
	conn := fleet.dial(fleet.client(map[string]definer.DataCentre{"peer": "west"}))
	upstream := <-fleet.upstreams
	go func() { _, _ = conn.Write([]byte("request")) }()
	received := make([]byte, 7)
	_, err := io.ReadFull(upstream, received)
	assert.NilError(t, err)
	assert.Equal(t, string(received), "request")
	go func() {
		_, _ = upstream.Write([]byte("answer"))
		_ = upstream.Close()
	}()
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "answer")
	assert.NilError(t, conn.Close())
}

// TestLostPeerIsNoEndOfTheAnswer guards against an answer that ends with its connection passing for
// complete after the peer that relays it was lost.
func TestLostPeerIsNoEndOfTheAnswer(t *testing.T) {
	fleet := newFleet(t)
	ctx, lose := context.WithCancel(context.Background())
	peer := relayer.New(fleet.connect, func(string) bool { return true })
	client := relayer.NewClient(relayer.Peer{VM: "self"}, func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		fleet.serving.Go(func() { peer.Serve(ctx, far) })
		return near, nil
	}, func() []relayer.Peer { return []relayer.Peer{{VM: "peer"}} })
	conn := fleet.dial(client)
	upstream := <-fleet.upstreams
	go func() {
		_, _ = upstream.Write([]byte("half"))
		lose()
	}()
	_, err := io.ReadAll(conn)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.NilError(t, conn.Close())
}

// TestPeersWithoutAPathAreAvoided checks that a node finds the one peer that reaches the upstream,
// and then asks it first.
func TestPeersWithoutAPathAreAvoided(t *testing.T) {
	fleet := newFleet(t)
	fleet.add("cut-1", refuse)
	fleet.add("cut-2", refuse)
	fleet.add("connected", fleet.connect)
	client := fleet.client(map[string]definer.DataCentre{"cut-1": "west", "cut-2": "west", "connected": "east", "gone": "north"})
	var open []net.Conn
	for len(open) < 3 {
		conn, err := client.Dial(context.Background(), upstreamAddress)
		if err != nil {
			continue // The first peers that were asked have no path.
		}
		open = append(open, conn)
	}
	for _, conn := range open {
		assert.Equal(t, peerOf(conn), "connected")
		assert.NilError(t, conn.Close())
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	assert.Assert(t, len(fleet.asked) <= 6, "%v", fleet.asked)
}

// TestWordOfAProvenPeerIsFinal guards against all peers being asked about each upstream that nobody
// reaches.
func TestWordOfAProvenPeerIsFinal(t *testing.T) {
	fleet := newFleet(t)
	fleet.add("peer", fleet.connect)
	client := fleet.client(map[string]definer.DataCentre{"peer": "west", "other-1": "east", "other-2": "east"})
	conn := fleet.dial(client)
	fleet.connects["peer"] = refuse
	_, err := client.Dial(context.Background(), upstreamAddress)
	var failure *relayer.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind(), relayer.Unreachable)
	assert.DeepEqual(t, fleet.asked, []string{"peer", "peer"})
	assert.NilError(t, conn.Close())
}

// TestConnectionsSpreadOverPeers checks that peers of the data centre get most of the connections and
// that none gets all.
func TestConnectionsSpreadOverPeers(t *testing.T) {
	fleet := newFleet(t)
	places := map[string]definer.DataCentre{"near-1": "west", "near-2": "west", "far": "east"}
	for address := range places {
		fleet.add(address, fleet.connect)
	}
	client := fleet.client(places)
	counts := make(map[string]int)
	for range 10 {
		conn := fleet.dial(client)
		counts[peerOf(conn)]++
		defer conn.Close()
	}
	assert.DeepEqual(t, counts, map[string]int{"near-1": 4, "near-2": 4, "far": 2})
}

// TestOnlyUpstreamsAreRelayedTo guards against a node that connects its peers to any address.
func TestOnlyUpstreamsAreRelayedTo(t *testing.T) {
	fleet := newFleet(t)
	fleet.add("peer", fleet.connect)
	_, err := fleet.client(map[string]definer.DataCentre{"peer": "west"}).Dial(context.Background(), "10.0.0.2:22")
	var failure *relayer.Error
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Kind(), relayer.Refused)
	assert.Equal(t, len(fleet.upstreams), 0)
}

// TestRelayedConnectionsAreBounded guards against peers that use up a node's descriptors and memory.
func TestRelayedConnectionsAreBounded(t *testing.T) {
	fleet := newFleet(t)
	fleet.upstreams = make(chan net.Conn, 1024)
	fleet.add("peer", fleet.connect)
	client := fleet.client(map[string]definer.DataCentre{"peer": "west"})
	var open []net.Conn
	for len(open) < 1024 {
		conn, err := client.Dial(context.Background(), upstreamAddress)
		if err != nil {
			assert.ErrorContains(t, err, "503")
			break
		}
		open = append(open, conn)
	}
	assert.Equal(t, len(open), 512)
	for _, conn := range open {
		assert.NilError(t, conn.Close())
	}
}

// TestPlannedStopEndsNoExchange checks that a peer which stops refuses new connections, lets open
// ones go on and has them closed after their exchange.
func TestPlannedStopEndsNoExchange(t *testing.T) {
	fleet := newFleet(t)
	peer := fleet.add("peer", fleet.connect)
	client := fleet.client(map[string]definer.DataCentre{"peer": "west"})
	conn := fleet.dial(client)
	upstream := <-fleet.upstreams
	peer.Refuse()
	_, err := client.Dial(context.Background(), upstreamAddress)
	assert.ErrorContains(t, err, "503")
	go func() { _, _ = upstream.Write([]byte("answer")) }()
	answer := make([]byte, 6)
	_, err = io.ReadFull(conn, answer)
	assert.NilError(t, err)
	assert.Equal(t, string(answer), "answer")
	// The announcement is read with the bytes that follow it.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		go func() { _, _ = upstream.Write([]byte(".")) }()
		if _, err := io.ReadFull(conn, answer[:1]); err != nil {
			return poll.Error(err)
		}
		if conn.(*relayer.Conn).Reusable() {
			return poll.Continue("the connection may be used again")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))
	select {
	case <-peer.Idle():
		t.Error("the connection is still open")
	default:
	}
	assert.NilError(t, conn.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		select {
		case <-peer.Idle():
			return poll.Success()
		default:
			return poll.Continue("the connection is still relayed")
		}
	}, poll.WithTimeout(10*time.Second))
}

// TestHeadsOfPeersAreBounded guards against a peer whose request for a connection, or whose answer to one, does not
// end.
func TestHeadsOfPeersAreBounded(t *testing.T) {
	const most = 64 << 10
	part := make([]byte, 1<<10)
	flood := func(conn net.Conn) int {
		written := 0
		for written < most {
			count, err := conn.Write(part)
			written += count
			if err != nil {
				break
			}
		}
		return written
	}
	t.Run("request", func(t *testing.T) {
		fleet := newFleet(t)
		peer := fleet.add("peer", fleet.connect)
		near, far := net.Pipe()
		fleet.serving.Go(func() { peer.Serve(context.Background(), far) })
		assert.Assert(t, flood(near) < most)
	})
	t.Run("answer", func(t *testing.T) {
		written := make(chan int, 1)
		open := func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			go func() { written <- flood(far) }()
			return near, nil
		}
		peers := []relayer.Peer{{VM: "self"}, {VM: "peer", Address: "peer"}}
		client := relayer.NewClient(peers[0], open, func() []relayer.Peer { return peers })
		_, err := client.Dial(context.Background(), upstreamAddress)
		assert.Assert(t, err != nil)
		assert.Assert(t, <-written < most)
	})
}

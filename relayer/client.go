package relayer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/ranker"
	"limpetcleat/timer"
)

const (
	// askTimeout limits how long one peer may take to connect. It exceeds the peer's own limit.
	askTimeout = connectTimeout + 50*time.Millisecond
	// maxAsks is the largest number of peers that are asked for one connection.
	maxAsks = 3
	// firstAvoidance and longestAvoidance bound how long a peer that could not help is asked only
	// after all others; the time doubles with each consecutive failure.
	firstAvoidance   = 500 * time.Millisecond
	longestAvoidance = 4 * time.Second
	// provenFor is how long after it connected to an upstream a peer's word that another is
	// unreachable is final.
	provenFor = time.Second
	// farWeight is how many connections through a peer of this data centre equal one through a
	// peer elsewhere, where traffic is slower and billed.
	farWeight = 2
	readBytes = 4 << 10
	// maxHeadBytes limits the head of a request for a connection and that of its answer.
	maxHeadBytes = 4 << 10
)

// Peer is a node that can be asked to relay.
type Peer struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	// Address is where the node accepts streams.
	Address string
}

// OpenStream opens a stream to the peer at an address.
type OpenStream func(ctx context.Context, address string) (net.Conn, error)

// Client opens connections to upstreams through peers. It is safe for concurrent use.
type Client struct {
	self  Peer
	open  OpenStream
	peers func() []Peer
	count func(open int)
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex sync.Mutex
	// known holds what is known of the peers that were asked.
	known map[definer.VM]*knownPeer
	// openConns is the number of open connections through peers.
	openConns int
}

// knownPeer is what a node knows of a peer as a relay.
type knownPeer struct {
	// openConns is the number of open connections through the peer.
	openConns int
	// failures counts the failures since the last success, and avoidUntil is until when they
	// matter.
	failures   int
	avoidUntil time.Time
	// provenAt is when the peer last connected to an upstream.
	provenAt time.Time
}

// ClientOption sets an optional property of a Client.
type ClientOption func(*Client)

// WithCount sets the function that is called with the number of open connections through peers when
// it changes. It must not block. The default does nothing.
func WithCount(count func(open int)) ClientOption {
	return func(client *Client) { client.count = count }
}

// NewClient returns a Client of the node self, which asks the nodes that peers returns, itself
// excepted, over streams.
func NewClient(self Peer, open OpenStream, peers func() []Peer, options ...ClientOption) *Client {
	client := &Client{self: self, open: open, peers: peers, count: func(int) {}, known: make(map[definer.VM]*knownPeer)}
	for _, option := range options {
		option(client)
	}
	return client
}

// Dial connects to the upstream at the address through a peer. The error is of kind NoPeer,
// Unreachable or Refused.
func (client *Client) Dial(ctx context.Context, address string) (net.Conn, error) {
	asked := make(map[definer.VM]bool, maxAsks)
	failure := fail("dial", NoPeer, "no peer to ask for %s", address)
	for len(asked) < maxAsks {
		peer, ok := client.pick(time.Now(), asked)
		if !ok {
			break
		}
		asked[peer.VM] = true
		conn, err := client.ask(ctx, peer, address)
		if err == nil {
			return conn, nil
		}
		failure = err
		if ctx.Err() != nil || client.recordFailure(time.Now(), peer.VM, err) {
			break
		}
	}
	return nil, failure
}

// ask asks one peer for a connection.
func (client *Client) ask(ctx context.Context, peer Peer, address string) (net.Conn, *Error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	stream, err := client.open(ctx, peer.Address)
	if err != nil {
		return nil, fail("ask", Refused, "%w", err)
	}
	stopWatch := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reader, failure := request(stream, address)
	if !stopWatch() && failure == nil {
		failure = fail("ask", Refused, "%w", ctx.Err())
	}
	if failure != nil {
		_ = stream.Close()
		return nil, failure
	}
	client.recordOpen(time.Now(), peer.VM, 1)
	return &Conn{Conn: stream, peer: peer.VM, reader: reader, release: func() { client.recordOpen(time.Time{}, peer.VM, -1) }}, nil
}

// request sends the request for a connection and reads the answer.
func request(stream net.Conn, address string) (*bufio.Reader, *Error) {
	outgoing := &http.Request{Method: http.MethodConnect, URL: &url.URL{Host: address}, Host: address, Header: http.Header{"User-Agent": {""}}}
	if err := outgoing.Write(stream); err != nil {
		return nil, fail("ask", Refused, "%w", err)
	}
	limited := &io.LimitedReader{R: stream, N: maxHeadBytes}
	reader := bufio.NewReaderSize(limited, readBytes)
	answer, err := http.ReadResponse(reader, outgoing)
	limited.N = math.MaxInt64 // What follows the head are frames, which are bounded.
	switch {
	case err != nil:
		return nil, fail("ask", Refused, "%w", err)
	case answer.StatusCode == http.StatusOK:
		return reader, nil
	case answer.StatusCode == http.StatusBadGateway:
		return nil, fail("ask", Unreachable, "the peer does not reach %s", address)
	}
	return nil, fail("ask", Refused, "the peer answered %d", answer.StatusCode)
}

// pick returns the peer to ask next: one that has not failed of late, through which this node has
// few connections, and near if possible.
func (client *Client) pick(now time.Time, asked map[definer.VM]bool) (Peer, bool) {
	peers := client.peers()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	var best Peer
	var bestRank rank
	found := false
	for _, peer := range peers {
		if peer.VM == client.self.VM || asked[peer.VM] {
			continue
		}
		if rank := client.rank(now, peer); !found || rank.before(bestRank) {
			best, bestRank, found = peer, rank, true
		}
	}
	return best, found
}

// rank is the order in which peers are asked.
type rank struct {
	avoidUntil time.Time
	load       int
	// tie differs by node, so that nodes without any connection do not all ask the same peer.
	tie uint64
}

func (client *Client) rank(now time.Time, peer Peer) rank {
	rank := rank{tie: ranker.Weight(string(client.self.VM), string(peer.VM)), load: 1}
	if known, ok := client.known[peer.VM]; ok {
		rank.load += known.openConns
		if now.Before(known.avoidUntil) {
			rank.avoidUntil = known.avoidUntil
		}
	}
	if peer.DataCentre != client.self.DataCentre {
		rank.load *= farWeight
	}
	return rank
}

func (rank rank) before(other rank) bool {
	if !rank.avoidUntil.Equal(other.avoidUntil) {
		return rank.avoidUntil.Before(other.avoidUntil)
	}
	if rank.load != other.load {
		return rank.load < other.load
	}
	return rank.tie < other.tie
}

// recordOpen records that a connection through the peer was opened at the time, or closed.
func (client *Client) recordOpen(now time.Time, vm definer.VM, change int) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	known := client.knownPeer(vm)
	known.openConns += change
	client.openConns += change
	if change > 0 {
		known.failures, known.avoidUntil, known.provenAt = 0, time.Time{}, now
	}
	client.count(client.openConns)
}

// recordFailure records that a peer could not help, and reports whether no other one needs to be
// asked: the peer reaches other upstreams.
func (client *Client) recordFailure(now time.Time, vm definer.VM, failure error) (final bool) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	known := client.knownPeer(vm)
	var kind *Error
	if errors.As(failure, &kind) && kind.Kind() == Unreachable && now.Sub(known.provenAt) < provenFor {
		return true
	}
	known.avoidUntil = now.Add(timer.Doubled(firstAvoidance, longestAvoidance, known.failures))
	known.failures++
	return false
}

// knownPeer returns what is known of a peer. The mutex is held.
func (client *Client) knownPeer(vm definer.VM) *knownPeer {
	known, ok := client.known[vm]
	if !ok {
		known = &knownPeer{}
		client.known[vm] = known
	}
	return known
}

// Package relay provides a TCP proxy that stands in for the network between two components. It
// forwards connections to one target, counts what it forwards, and can close or stall connections
// of chosen peers.
package relay

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sourcegraph/conc"

	"limpetcleat/failer"
)

// AllPeers selects all peers of a relay, including unidentified ones.
const AllPeers = ""

// Mode is how a relay handles a peer's connections.
type Mode int

const (
	// Forwarding forwards in both directions.
	Forwarding Mode = iota
	// Disconnecting closes open connections, and new ones once the peer is identified. For AllPeers
	// it closes new ones as soon as they are accepted.
	Disconnecting
	// Stalling keeps connections open and forwards nothing in either direction.
	Stalling
	// StallingReturn forwards what the peer sends and nothing in return.
	StallingReturn
)

// Direction is a direction of traffic through a relay.
type Direction int

const (
	// ToTarget is from the peer to the target.
	ToTarget Direction = iota
	// ToPeer is from the target to the peer.
	ToPeer
	directionCount
)

// Kind classifies an Error.
type Kind string

// AcceptFailed marks a failure of the listener to accept connections.
const AcceptFailed Kind = "accepting"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Relay forwards connections to its target. It identifies the peer of a connection by the first
// known name in the bytes sent; envelopes between nodes carry such a name. Its methods are safe for
// concurrent use.
type Relay struct {
	target        string
	peers         []string
	countedPrefix []byte
	done          chan struct{}
	closeOnce     sync.Once
	// forwardedBytes counts the bytes forwarded; countedRequests counts the reads from peers that
	// begin with countedPrefix.
	forwardedBytes  [directionCount]atomic.Int64
	countedRequests atomic.Int64

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// modeChanged is closed and replaced on each change of a mode and when the relay stops.
	modeChanged chan struct{}
	// modes holds the mode of each peer, and of AllPeers.
	modes map[string]Mode
	// connections maps both ends of every open connection to the peer's name, or to AllPeers until
	// the peer is identified.
	connections map[net.Conn]string
	// heldReads counts the reads that wait to be forwarded.
	heldReads [directionCount]int
	stopped   bool
}

// Option changes one property of a Relay.
type Option func(*Relay)

// WithTarget sets the address that connections are forwarded to.
func WithTarget(address string) Option {
	return func(relay *Relay) { relay.target = address }
}

// WithPeers sets the names by which peers are identified.
func WithPeers(names ...string) Option {
	return func(relay *Relay) { relay.peers = slices.Clone(names) }
}

// WithCountedPrefix counts the requests that begin with the prefix, such as "POST /v1/".
func WithCountedPrefix(prefix string) Option {
	return func(relay *Relay) { relay.countedPrefix = []byte(prefix) }
}

// New returns a Relay that forwards all connections once Serve is called.
func New(opts ...Option) *Relay {
	relay := &Relay{
		done:        make(chan struct{}),
		modeChanged: make(chan struct{}),
		modes:       make(map[string]Mode),
		connections: make(map[net.Conn]string),
	}
	for _, opt := range opts {
		opt(relay)
	}
	return relay
}

// SetMode changes the mode of one peer, or of AllPeers. A mode of AllPeers other than Forwarding
// overrides the modes of single peers. Disconnecting closes the connections that are open.
func (relay *Relay) SetMode(peer string, mode Mode) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.modes[peer] = mode
	if mode == Disconnecting {
		relay.closeConnections(peer)
	}
	relay.notifyModeChange()
}

// Holding reports whether bytes wait to be forwarded in the direction.
func (relay *Relay) Holding(direction Direction) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.heldReads[direction] > 0
}

// ForwardedBytes returns the number of bytes forwarded in the direction.
func (relay *Relay) ForwardedBytes(direction Direction) int64 {
	return relay.forwardedBytes[direction].Load()
}

// CountedRequests returns the number of requests received that begin with the prefix of
// WithCountedPrefix, including requests that were not forwarded.
func (relay *Relay) CountedRequests() int {
	return int(relay.countedRequests.Load())
}

// Serve forwards the listener's connections until the context ends or Close is called. It then
// closes every connection and returns nil. The relay cannot be served again afterwards. A failure
// of the listener is returned as an Error of kind AcceptFailed.
func (relay *Relay) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	var workers conc.WaitGroup
	workers.Go(func() {
		select {
		case <-ctx.Done():
		case <-relay.done:
		}
		cancel()
		_ = listener.Close()
		relay.shutDown()
	})
	err := relay.accept(ctx, listener, &workers)
	cancel()
	workers.Wait()
	return err
}

// Close makes every Serve return, without waiting for it. It always returns nil.
func (relay *Relay) Close() error {
	relay.closeOnce.Do(func() { close(relay.done) })
	return nil
}

func (relay *Relay) accept(ctx context.Context, listener net.Listener, workers *conc.WaitGroup) error {
	for {
		peerConn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return failer.New("relay.Serve", AcceptFailed, "%w", err)
		}
		workers.Go(func() { relay.forward(ctx, peerConn) })
	}
}

func (relay *Relay) shutDown() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.stopped = true
	relay.closeConnections(AllPeers)
	relay.notifyModeChange()
}

// closeConnections closes the connections of a peer; the caller holds the mutex.
func (relay *Relay) closeConnections(peer string) {
	for conn, owner := range relay.connections {
		if peer == AllPeers || peer == owner {
			_ = conn.Close()
		}
	}
}

// notifyModeChange wakes all callers of awaitModeChange; the caller holds the mutex.
func (relay *Relay) notifyModeChange() {
	close(relay.modeChanged)
	relay.modeChanged = make(chan struct{})
}

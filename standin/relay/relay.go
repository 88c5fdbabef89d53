// Package relay stands in for the network between two parts: it passes TCP connections on to one
// address, and can cut, stall and count what passes.
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

// Everyone stands for all peers of a relay, also those that it cannot tell apart.
const Everyone = ""

// Mode is what a relay does with a peer's connections.
type Mode int

const (
	// Passing connections are as usual.
	Passing Mode = iota
	// Cutting closes them, and new ones at once.
	Cutting
	// Stalling keeps them open and passes nothing on, either way.
	Stalling
	// Muting passes on what the peer sends and nothing back.
	Muting
)

// Direction is a way through a relay.
type Direction int

const (
	// Forward is from the peer to the target.
	Forward Direction = iota
	// Backward is from the target to the peer.
	Backward
	directions
)

// Kind classifies an Error.
type Kind string

// Accepting marks a listener that takes no connections.
const Accepting Kind = "accepting"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Relay passes connections on to its target. It tells whom a connection is from by a name in the
// first bytes sent, as the envelopes between nodes carry.
type Relay struct {
	target  string
	peers   []string
	counted []byte
	done    chan struct{}
	once    sync.Once
	// bytes and matches count what was passed on, and the reads that matched.
	bytes   [directions]atomic.Int64
	matches atomic.Int64

	// mutex guards everything below; no other lock is taken under it.
	mutex sync.Mutex
	// changed is closed and replaced with each change of the modes.
	changed chan struct{}
	// modes holds the mode of each peer, and that of everyone.
	modes map[string]Mode
	// open holds both ends of every connection, with the peer once it is known.
	open map[net.Conn]string
	// held counts the reads that wait to be passed on.
	held  [directions]int
	ended bool
}

// Option changes one property of a Relay.
type Option func(*Relay)

// WithTarget sets the address that connections are passed on to.
func WithTarget(address string) Option {
	return func(relay *Relay) { relay.target = address }
}

// WithPeers sets the names of the peers whose connections can be told apart.
func WithPeers(names ...string) Option {
	return func(relay *Relay) { relay.peers = slices.Clone(names) }
}

// WithCounted counts the requests that begin with the text, such as "POST /v1/".
func WithCounted(beginning string) Option {
	return func(relay *Relay) { relay.counted = []byte(beginning) }
}

// New returns a Relay in which all pass; it does nothing until it serves.
func New(opts ...Option) *Relay {
	relay := &Relay{
		done:    make(chan struct{}),
		changed: make(chan struct{}),
		modes:   make(map[string]Mode),
		open:    make(map[net.Conn]string),
	}
	for _, opt := range opts {
		opt(relay)
	}
	return relay
}

// Set changes the mode of one peer, or of everyone. Cutting closes what is open.
func (relay *Relay) Set(peer string, mode Mode) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.modes[peer] = mode
	if mode == Cutting {
		relay.closeOpen(peer)
	}
	relay.wake()
}

// Holds tells whether bytes of the direction wait to be passed on.
func (relay *Relay) Holds(direction Direction) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.held[direction] > 0
}

// Bytes returns how many bytes were passed on in the direction.
func (relay *Relay) Bytes(direction Direction) int64 {
	return relay.bytes[direction].Load()
}

// Counted returns how many requests came that begin as WithCounted says, held ones included.
func (relay *Relay) Counted() int {
	return int(relay.matches.Load())
}

// Serve relays the listener's connections until the context ends or Close is called. It then closes
// every connection and returns nil. A relay that has ended takes no connections any more.
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
		relay.end()
	})
	err := relay.accept(ctx, listener, &workers)
	cancel()
	workers.Wait()
	return err
}

// Close ends every Serve.
func (relay *Relay) Close() error {
	relay.once.Do(func() { close(relay.done) })
	return nil
}

func (relay *Relay) accept(ctx context.Context, listener net.Listener, workers *conc.WaitGroup) error {
	for {
		near, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return failer.New("relay.Serve", Accepting, "%w", err)
		}
		workers.Go(func() { relay.pass(ctx, near) })
	}
}

func (relay *Relay) end() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.ended = true
	relay.closeOpen(Everyone)
	relay.wake()
}

// closeOpen closes the connections of a peer; the mutex is held.
func (relay *Relay) closeOpen(peer string) {
	for conn, from := range relay.open {
		if peer == Everyone || peer == from {
			_ = conn.Close()
		}
	}
}

// wake lets those that wait look at the modes again; the mutex is held.
func (relay *Relay) wake() {
	close(relay.changed)
	relay.changed = make(chan struct{})
}

package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
	"limpetcleat/rationer"
	"limpetcleat/sizer"
)

const (
	// serviceName is the name under which Inner is registered with net/rpc.
	serviceName   = "Inner"
	deliverMethod = serviceName + ".Deliver"
	// queueLength bounds the number of messages queued for one peer.
	queueLength = 4096
	// batchLength bounds the number of messages in one envelope.
	batchLength = 256
	// idleAfter is how long the connection to a peer stays open without messages.
	idleAfter          = time.Minute
	defaultCallTimeout = time.Second
	// acceptAgainAfter is the pause after a failure to accept a connection.
	acceptAgainAfter = 100 * time.Millisecond
	// defaultMemory is in bytes; it covers the largest envelopes of several peers.
	defaultMemory = 128 << 20
)

// Deliver handles one message from a peer.
type Deliver func(from definer.Member, dataCentre definer.DataCentre, message Message)

// Count records how many messages and bytes of the inner protocol were sent or
// received.
type Count func(messages, bytes int)

// Messenger sends messages to peers and receives theirs. Messages may be lost;
// those to one address that arrive keep their order.
type Messenger struct {
	self       definer.Member
	dataCentre definer.DataCentre
	deliver    Deliver
	sent       Count
	received   Count
	server     *tls.Config
	client     *tls.Config
	timeout    time.Duration
	// handshakeTimeout bounds the TLS handshake and the wait for the first envelope of
	// an incoming connection.
	handshakeTimeout time.Duration
	report           func(Report)
	rejections       *rejections
	// serveStream is nil if streams are rejected.
	serveStream ServeStream
	// maxIncoming is the largest number of open incoming connections.
	maxIncoming int
	// memory bounds what large envelopes take over all incoming connections.
	memory *rationer.Rationer
	// sizer is nil if the kernel sizes the receive buffers.
	sizer *sizer.Sizer
	// mutex guards peers, conns and closed; no other lock is taken under it.
	mutex sync.Mutex
	// peers maps each address in use to its outgoing queue.
	peers map[string]*peer
	// conns holds the open incoming connections.
	conns map[net.Conn]struct{}
	// opened is the number of connections for messages that were opened, and routes the order of the incoming ones.
	opened atomic.Uint64
	routes *routes
	// running ends with the context of Start; end ends it.
	running context.Context
	end     context.CancelFunc
	// closed is set once new incoming connections are refused.
	closed bool
	// group runs accept and one goroutine for each peer and each incoming connection.
	group conc.WaitGroup
	// done is closed once group is empty; the messenger owns it.
	done chan struct{}
}

// Option configures a Messenger.
type Option func(*Messenger)

// WithTLS sets the mutual TLS configuration of both directions: server for incoming
// connections, client for outgoing ones.
func WithTLS(server, client *tls.Config) Option {
	return func(messenger *Messenger) { messenger.server, messenger.client = server, client }
}

// WithCounts sets the functions that count the traffic sent and received.
func WithCounts(sent, received Count) Option {
	return func(messenger *Messenger) { messenger.sent, messenger.received = sent, received }
}

// WithTimeout sets how long connecting to a peer and waiting for each receipt may
// take.
func WithTimeout(timeout time.Duration) Option {
	return func(messenger *Messenger) { messenger.timeout = timeout }
}

// WithHandshakeTimeout sets how long the TLS handshake of an incoming connection and
// the wait for its first envelope may take.
func WithHandshakeTimeout(timeout time.Duration) Option {
	return func(messenger *Messenger) { messenger.handshakeTimeout = timeout }
}

// WithReports sets the function that receives reports of peers that are lost, back
// or rejected. It must not block.
func WithReports(report func(Report)) Option {
	return func(messenger *Messenger) {
		messenger.report = report
		messenger.rejections.report = report
	}
}

// WithMemory sets what bounds the memory of the envelopes that are being received. The default is
// defaultMemory bytes of its own.
func WithMemory(memory *rationer.Rationer) Option {
	return func(messenger *Messenger) { messenger.memory = memory }
}

// WithSizer sets what sizes the receive buffers of outgoing connections; by default the kernel does.
func WithSizer(sizer *sizer.Sizer) Option {
	return func(messenger *Messenger) { messenger.sizer = sizer }
}

// WithMaxIncoming sets the largest number of open incoming connections, if it is below maxIncoming.
func WithMaxIncoming(count int) Option {
	return func(messenger *Messenger) { messenger.maxIncoming = min(count, maxIncoming) }
}

// New returns a messenger that passes each message it receives to deliver.
func New(self definer.Member, dataCentre definer.DataCentre, deliver Deliver, options ...Option) *Messenger {
	messenger := &Messenger{
		self:             self,
		dataCentre:       dataCentre,
		deliver:          deliver,
		sent:             func(int, int) {},
		received:         func(int, int) {},
		timeout:          defaultCallTimeout,
		handshakeTimeout: defaultHandshakeTimeout,
		report:           func(Report) {},
		rejections:       newRejections(),
		maxIncoming:      maxIncoming,
		memory:           rationer.New(defaultMemory),
		peers:            make(map[string]*peer),
		conns:            make(map[net.Conn]struct{}),
		routes:           newRoutes(),
		done:             make(chan struct{}),
	}
	messenger.running, messenger.end = context.WithCancel(context.Background())
	for _, option := range options {
		option(messenger)
	}
	return messenger
}

// Start accepts peers on the listener, in the background, until the context ends.
func (messenger *Messenger) Start(ctx context.Context, listener net.Listener) {
	messenger.group.Go(func() { messenger.accept(ctx, listener) })
	go func() {
		<-ctx.Done()
		messenger.end()
		_ = listener.Close()
		messenger.closeConnections()
		messenger.group.Wait()
		close(messenger.done)
	}()
}

// Done returns a channel that is closed once every connection has ended after the
// context of Start.
func (messenger *Messenger) Done() <-chan struct{} { return messenger.done }

// Send queues a message for the peer at the address. It never blocks; the message
// is lost when the queue is full or the peer cannot be reached.
func (messenger *Messenger) Send(ctx context.Context, address string, message Message) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	target, ok := messenger.peers[address]
	if !ok {
		if ctx.Err() != nil || messenger.running.Err() != nil {
			return
		}
		target = &peer{messenger: messenger, address: address, queue: make(chan Message, queueLength)}
		messenger.peers[address] = target
		// Later senders use the connection as well, so that it must not end with this one's context.
		messenger.group.Go(func() { target.run(messenger.running) })
	}
	select {
	case target.queue <- message:
	default:
	}
}

// Lost reports whether the latest messages to the address could not be delivered. It is false for an
// address to which none were sent within idleAfter.
func (messenger *Messenger) Lost(address string) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	target, ok := messenger.peers[address]
	return ok && target.lost.Load()
}

// retire removes an idle peer; it returns false if a message has been queued
// meanwhile.
func (messenger *Messenger) retire(target *peer) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if len(target.queue) > 0 {
		return false
	}
	delete(messenger.peers, target.address)
	return true
}

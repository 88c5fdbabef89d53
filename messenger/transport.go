package messenger

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
)

const (
	// serviceName is the name of the net/rpc service.
	serviceName   = "Inner"
	deliverMethod = serviceName + ".Deliver"
	// queueLength bounds the messages that wait for one peer.
	queueLength = 4096
	// batchLength bounds the messages of one envelope.
	batchLength = 256
	// idleAfter is how long a peer without messages keeps its connection.
	idleAfter          = time.Minute
	defaultCallTimeout = time.Second
	// acceptAgainAfter is the pause after a connection could not be taken.
	acceptAgainAfter = 100 * time.Millisecond
)

// Deliver takes in one message from a peer.
type Deliver func(from definer.Member, dataCentre definer.DataCentre, message Message)

// Count is told how many messages and bytes of the inner protocol moved.
type Count func(messages, bytes int)

// Messenger sends messages to peers and takes theirs in. Messages may be lost;
// those to one peer that arrive keep their order.
type Messenger struct {
	self       definer.Member
	dataCentre definer.DataCentre
	deliver    Deliver
	sent       Count
	received   Count
	server     *tls.Config
	client     *tls.Config
	timeout    time.Duration
	// handshakeTimeout bounds the time until an incoming peer has sent its first
	// message.
	handshakeTimeout time.Duration
	report           func(Report)
	rejections       *rejections
	// mutex guards peers, conns and closed; no other lock is taken under it.
	mutex sync.Mutex
	// peers holds one outgoing queue for each address in use.
	peers map[string]*peer
	// conns holds the open incoming connections.
	conns map[net.Conn]struct{}
	// closed says that no connection may be kept any more.
	closed bool
	// group runs one goroutine for each peer and each connection.
	group conc.WaitGroup
	// done is closed once group is empty; the messenger owns it.
	done chan struct{}
}

// Option changes one setting of a Messenger.
type Option func(*Messenger)

// WithTLS sets the mutual TLS of both directions.
func WithTLS(server, client *tls.Config) Option {
	return func(messenger *Messenger) { messenger.server, messenger.client = server, client }
}

// WithCounts sets who is told of the traffic sent and received.
func WithCounts(sent, received Count) Option {
	return func(messenger *Messenger) { messenger.sent, messenger.received = sent, received }
}

// WithTimeout sets how long a peer may take to accept an envelope.
func WithTimeout(timeout time.Duration) Option {
	return func(messenger *Messenger) { messenger.timeout = timeout }
}

// WithHandshakeTimeout sets how long an incoming peer may take until its first
// message is there.
func WithHandshakeTimeout(timeout time.Duration) Option {
	return func(messenger *Messenger) { messenger.handshakeTimeout = timeout }
}

// WithReports sets who is told of peers that are lost, back or turned away. It
// must not block.
func WithReports(report func(Report)) Option {
	return func(messenger *Messenger) {
		messenger.report = report
		messenger.rejections.report = report
	}
}

// New returns a messenger that hands each message it takes in to deliver.
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
		peers:            make(map[string]*peer),
		conns:            make(map[net.Conn]struct{}),
		done:             make(chan struct{}),
	}
	for _, option := range options {
		option(messenger)
	}
	return messenger
}

// Start serves peers on the listener until the context ends.
func (messenger *Messenger) Start(ctx context.Context, listener net.Listener) {
	messenger.group.Go(func() { messenger.accept(ctx, listener) })
	go func() {
		<-ctx.Done()
		_ = listener.Close()
		messenger.hangUp()
		messenger.group.Wait()
		close(messenger.done)
	}()
}

// Done is closed once every connection has ended.
func (messenger *Messenger) Done() <-chan struct{} { return messenger.done }

// Send queues a message for the peer at the address. It never blocks; when the
// queue is full or the peer cannot be reached the message is lost.
func (messenger *Messenger) Send(ctx context.Context, address string, message Message) {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	target, ok := messenger.peers[address]
	if !ok {
		if ctx.Err() != nil {
			return
		}
		target = &peer{messenger: messenger, address: address, queue: make(chan Message, queueLength)}
		messenger.peers[address] = target
		messenger.group.Go(func() { target.run(ctx) })
	}
	select {
	case target.queue <- message:
	default:
	}
}

// retire forgets an idle peer; it returns false if a message came meanwhile.
func (messenger *Messenger) retire(target *peer) bool {
	messenger.mutex.Lock()
	defer messenger.mutex.Unlock()
	if len(target.queue) > 0 {
		return false
	}
	delete(messenger.peers, target.address)
	return true
}

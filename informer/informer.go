// Package informer knows what the platform's store says: the operator's configuration,
// the upstreams and the other nodes, and how fresh that is. It asks the store by itself or
// hears it from other nodes, and tells these what it knows.
package informer

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/definer"
	"limpetcleat/delegator"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/selector"
)

// tickInterval is how often entries that lapse, and who asks the store, are looked at.
const tickInterval = 200 * time.Millisecond

// Feeds are what an Informer follows.
type Feeds struct {
	Configurations follower.Feed[router.Definition, router.Definition]
	Upstreams      follower.Feed[registrar.Upstream, registrar.Change]
	Peers          Peers
}

// Peers is the list of this product's nodes in the platform's store.
type Peers interface {
	follower.Feed[exchanger.Peer, exchanger.PeerChange]
	// Announce writes a node's entry.
	Announce(ctx context.Context, peer exchanger.Peer) error
	// Withdraw removes a node's entry.
	Withdraw(ctx context.Context, vm definer.VM) error
}

// Informer knows what the store says. It is safe for concurrent use.
//
// It owns its followers and the exchanger; Run waits for each.
type Informer struct {
	self        exchanger.Peer
	incarnation definer.Incarnation
	// first is set at the first start of a whole deployment.
	first bool
	draw  func() float64
	log   func(number int, pairs ...any)
	// asking is told whether this node asks the store.
	asking func(asks bool)
	// changed is told of each change of the list of upstreams.
	changed func(change registrar.Change)

	holder         *follower.Holder
	confirmer      *follower.Confirmer
	registrar      *registrar.Registrar
	configurations *follower.Follower[router.Definition, router.Definition]
	upstreams      *follower.Follower[registrar.Upstream, registrar.Change]
	peerList       Peers
	peers          *follower.Follower[exchanger.Peer, exchanger.PeerChange]
	exchanger      *exchanger.Exchanger
	// suspicions are shared with peers; nil is none.
	suspicions exchanger.Suspicions
	// announcements are shared with peers; nil is none.
	announcements exchanger.Announcements
	// clock is compared with those of peers; nil is none.
	clock exchanger.Clock
	// knowledge and delegator are nil where each node asks the store by itself; the duties
	// are then always on.
	knowledge *knowledge
	delegator *delegator.Delegator
	duties    *duties
	sender    exchanger.Sender
	// courier gets configurations from peers, shared is that which this node gives them.
	courier *courier
	shared  shared
	// met is closed once this node has looked for others.
	met chan struct{}
	// freshens is set while this node has to make sure by itself that what it knows is fresh.
	freshens atomic.Bool
	// pause bounds the pause behind calls to the store that fail, in nanoseconds.
	pause atomic.Int64
	// word is the latest word of peers of a version that this node lacked.
	word atomic.Pointer[word]
	// done is closed by Run.
	done chan struct{}
}

// word is what a peer knows: that a version was the newest up to a time.
type word struct {
	version uint64
	at      time.Time
}

// Option changes one setting of an Informer.
type Option func(*Informer)

// WithLog sets where numbered events go; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(informer *Informer) { informer.log = log }
}

// WithIncarnation sets the number of this node's process, as its messages bear it.
func WithIncarnation(incarnation definer.Incarnation) Option {
	return func(informer *Informer) { informer.incarnation = incarnation }
}

// WithSuspicions has this node and its peers tell each other which requests make upstreams
// end.
func WithSuspicions(suspicions exchanger.Suspicions) Option {
	return func(informer *Informer) { informer.suspicions = suspicions }
}

// WithAnnouncements has this node and its peers tell each other how upstreams want to be
// asked.
func WithAnnouncements(announcements exchanger.Announcements) Option {
	return func(informer *Informer) { informer.announcements = announcements }
}

// WithClock has this node and its peers show each other their clocks.
func WithClock(clock exchanger.Clock) Option {
	return func(informer *Informer) { informer.clock = clock }
}

// WithAsking sets what is told whether this node asks the store, whenever that changes.
func WithAsking(asking func(asks bool)) Option {
	return func(informer *Informer) { informer.asking = asking }
}

// WithChanges sets what is told of each change of the list of upstreams.
func WithChanges(changed func(change registrar.Change)) Option {
	return func(informer *Informer) { informer.changed = changed }
}

// WithDelegation has few nodes ask the store and tell the others, so that all go by a
// revocation within the time; 0 is no bound. First is set at the first start of a whole
// deployment.
func WithDelegation(revocation time.Duration, first bool) Option {
	return func(informer *Informer) {
		informer.delegator = delegator.New(time.Now(), revocation, informer.draw(), first)
		informer.first = first
	}
}

// WithDraw sets where the numbers between 0 and 1 come from that spread nodes in the same
// situation; it stands before WithDelegation.
func WithDraw(draw func() float64) Option {
	return func(informer *Informer) { informer.draw = draw }
}

// New returns an Informer of the node that shares its selector's picture with peers.
func New(self exchanger.Peer, feeds Feeds, choice *selector.Selector, sender exchanger.Sender, options ...Option) *Informer {
	informer := &Informer{
		self:      self,
		draw:      rand.Float64,
		log:       func(int, ...any) {},
		asking:    func(bool) {},
		changed:   func(registrar.Change) {},
		registrar: registrar.New(),
		peerList:  feeds.Peers,
		sender:    sender,
		courier:   &courier{self: self.Address},
		done:      make(chan struct{}),
	}
	for _, option := range options {
		option(informer)
	}
	informer.word.Store(&word{})
	informer.holder = follower.NewHolder(informer.reportTable)
	informer.delegate()
	informer.followConfigurations(feeds.Configurations)
	informer.exchanger = exchanger.New(self, choice, sender, informer.exchangerOptions()...)
	informer.followPeers(feeds.Peers)
	informer.followUpstreams(feeds.Upstreams)
	return informer
}

// Run follows the store until the context ends.
func (informer *Informer) Run(ctx context.Context) {
	defer close(informer.done)
	var parts conc.WaitGroup
	parts.Go(func() { informer.configurations.Run(ctx) })
	parts.Go(func() { informer.upstreams.Run(ctx) })
	parts.Go(func() { informer.peers.Run(ctx) })
	parts.Go(func() { informer.announce(ctx) })
	parts.Go(func() { informer.meetPeers(ctx) })
	parts.Go(func() { informer.exchanger.Run(ctx) })
	parts.Go(func() { informer.tick(ctx) })
	parts.Wait()
}

// Done is closed once Run has ended.
func (informer *Informer) Done() <-chan struct{} { return informer.done }

// Receive takes in a message from a peer.
func (informer *Informer) Receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.LoadReport:
		informer.exchanger.Receive(from, dataCentre, message)
		if informer.knowledge != nil && message.Positions != nil && message.Confirmation != nil {
			informer.fetch(from.VM, message.Confirmation.Version)
		}
	case *messenger.DefinitionAsk:
		informer.share(message)
	case *messenger.DefinitionPart:
		informer.receivePart(from, message)
	}
}

// receivePart takes in a part of a configuration that this node has asked for.
func (informer *Informer) receivePart(from definer.Member, part *messenger.DefinitionPart) {
	if address, listed := informer.exchanger.Address(from.VM); listed && informer.knowledge != nil {
		informer.carryOn(address, informer.courier.take(time.Now(), part))
	}
}

// Upstreams returns the list of upstreams.
func (informer *Informer) Upstreams() *registrar.Registrar { return informer.registrar }

// Nodes returns all nodes, this one among them, and whether the list was read yet. The caller
// must not change the slice.
func (informer *Informer) Nodes() (nodes []exchanger.Peer, known bool) {
	return informer.exchanger.Nodes()
}

// CountPeers returns how many other nodes are listed.
func (informer *Informer) CountPeers() int { return informer.exchanger.Count() }

// Precedence returns this node's place among those that may take on a duty of one node at a
// time.
func (informer *Informer) Precedence(now time.Time, passedOver func(vm definer.VM) bool) exchanger.Precedence {
	return informer.exchanger.Precedence(now, passedOver)
}

// Table returns the configuration in force, or nil.
func (informer *Informer) Table() *router.Table { return informer.holder.Table() }

// Confirmed returns the time since which the configuration in force is known to be the
// newest.
func (informer *Informer) Confirmed() time.Time { return informer.confirmer.Confirmed() }

// Healthy tells whether the store answered the last call about configurations, or, where
// others ask it, whether their word is fresh.
func (informer *Informer) Healthy() bool {
	if !informer.duties.configurations.On() {
		return time.Since(informer.Confirmed()) < freshWord
	}
	return informer.configurations.Healthy()
}

// tick looks after what time alone changes.
func (informer *Informer) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	met := informer.met
	for {
		select {
		case <-ctx.Done():
			return
		case <-met:
			met = nil
			informer.assign(time.Now())
		case now := <-ticker.C:
			changes, _ := informer.registrar.Sweep(now)
			informer.reportChanges(changes, "lapsed")
			informer.assign(now)
			informer.askForItself(now)
		}
	}
}

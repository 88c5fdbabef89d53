// Package informer keeps a node's copy of what the platform's store holds: the
// operator's configuration and the lists of upstreams and nodes. It reads the store
// directly or receives the data from other nodes, forwards it to them, and tracks how
// long ago the copy was known to be current.
package informer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	workers "github.com/sourcegraph/conc/pool"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/delegator"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/historian"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/selector"
)

const (
	// tickInterval is the interval at which doubted list entries expire and at which the
	// node decides again whether it reads the store.
	tickInterval = 100 * time.Millisecond
	// DefaultUpstreamExpiry is how long after its last write the store removes the entry of an upstream, by
	// default: three heartbeats. defaultLeaving is the time within which removals are known where no
	// bound is set.
	DefaultUpstreamExpiry = 3600 * time.Millisecond
	defaultLeaving        = 2 * time.Second
	// missedHeartbeats is the number of heartbeats after whose absence the store removes an entry. The last one
	// was executed less than one interval before a silence of the store, so that none lapses in the first two.
	missedHeartbeats = 3
	// maxLateness is how late the store may execute a call that it has not answered; the platform says
	// seconds.
	maxLateness = 6 * time.Second
	// startTickInterval is the interval until the node has its first data. It gives peers that
	// have begun to read the store the time to contact the others.
	startTickInterval = 200 * time.Millisecond
)

// Feeds are the parts of the store that an Informer follows.
type Feeds struct {
	Configurations follower.Feed[router.Definition, router.Definition]
	Upstreams      follower.Feed[registrar.Upstream, registrar.Change]
	Peers          Peers
	// Evacuations is nil where operators cannot order evacuations.
	Evacuations follower.Feed[confiner.Evacuation, confiner.Change]
	// Versions is nil where the store keeps no software versions.
	Versions VersionFeed
}

// Peers is the list of the router's nodes in the platform's store.
type Peers interface {
	follower.Feed[exchanger.Peer, exchanger.PeerChange]
	// Announce writes the entry of a node.
	Announce(ctx context.Context, peer exchanger.Peer) error
	// Withdraw removes the entry of a node.
	Withdraw(ctx context.Context, vm definer.VM) error
}

// Informer keeps the node's copy of the store's data. It is safe for concurrent use.
//
// It owns its followers and the exchanger; Run waits for all of them to end.
type Informer struct {
	self        exchanger.Peer
	incarnation definer.Incarnation
	// bounds are those of the platform.
	bounds delegator.Bounds
	// expiry is how long after its last write the store removes the entry of an upstream.
	expiry time.Duration
	// delegates is set where a few nodes read the store for all; first is set at the first
	// start of a whole deployment.
	delegates bool
	first     bool
	random    func() float64
	log       func(number int, pairs ...any)
	// storeReaderChanged is called when this node starts or stops reading the store.
	storeReaderChanged func(reads bool)
	// upstreamChanged is called for each change of the list of upstreams.
	upstreamChanged func(change registrar.Change)

	holder         *follower.Holder
	confirmer      *follower.Confirmer
	registrar      *registrar.Registrar
	configurations *follower.Follower[router.Definition, router.Definition]
	upstreams      *follower.Follower[registrar.Upstream, registrar.Change]
	peerList       Peers
	peers          *follower.Follower[exchanger.Peer, exchanger.PeerChange]
	exchanger      *exchanger.Exchanger
	// evacuations is nil where operators cannot order evacuations; confiner keeps those in
	// force.
	evacuations *follower.Follower[confiner.Evacuation, confiner.Change]
	confiner    *confiner.Confiner
	// versions and historian are nil where the store keeps no software versions.
	versions  *follower.Follower[historian.Entry, historian.Change]
	historian *historian.Historian
	// suspicions are exchanged with peers; nil disables the exchange.
	suspicions exchanger.Suspicions
	// announcements are exchanged with peers; nil disables the exchange.
	announcements exchanger.Announcements
	// shares are exchanged with peers; nil disables the exchange.
	shares exchanger.Shares
	// evidence is exchanged with peers; nil disables the exchange.
	evidence exchanger.Evidence
	// clock is compared with the clocks of peers; nil disables the comparison.
	clock exchanger.Clock
	// pulse notices pauses of this process.
	pulse pulse
	// freshness keeps what peers confirm of the copy, silence when the store answered nobody.
	freshness freshness
	silence   storeSilence
	// copies are this node's copies of the store's lists. knowledge is the same where nodes exchange them; it and
	// delegator are nil where each node reads the store itself, the duties are then always on.
	copies    *knowledge
	knowledge *knowledge
	delegator *delegator.Delegator
	duties    *duties
	sender    exchanger.Sender
	// fetcher requests configurations from peers; encodedCache holds the encoded
	// configuration that this node sends to them.
	fetcher      *fetcher
	encodedCache encodedCache
	// peerReadDone is closed after the read of the list of nodes at the start, also if
	// it failed.
	peerReadDone chan struct{}
	// keepsFresh is set while this node has to confirm by its own calls to the store
	// that its copy is current.
	keepsFresh atomic.Bool
	// readsFirst is set while this node comes first among those that read the store, or knows of no
	// other where others do not start at the same time.
	readsFirst atomic.Bool
	// retryDelayLimit is the longest delay before a failed call to the store is retried,
	// in nanoseconds.
	retryDelayLimit atomic.Int64
	// peerConfirmation is the latest confirmation from peers of a version newer than
	// this node's.
	peerConfirmation atomic.Pointer[peerConfirmation]
	// done is closed when Run returns.
	done chan struct{}
}

// peerConfirmation is a peer's statement that a version of the configuration was the
// newest at a time.
type peerConfirmation struct {
	version uint64
	at      time.Time
}

// Option changes one setting of an Informer.
type Option func(*Informer)

// WithLog sets the function that receives numbered log events; it must not block. The
// default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(informer *Informer) { informer.log = log }
}

// WithIncarnation sets the number of this node's process that its messages carry.
func WithIncarnation(incarnation definer.Incarnation) Option {
	return func(informer *Informer) { informer.incarnation = incarnation }
}

// WithSuspicions exchanges with peers which requests are suspected of making upstreams
// end.
func WithSuspicions(suspicions exchanger.Suspicions) Option {
	return func(informer *Informer) { informer.suspicions = suspicions }
}

// WithAnnouncements exchanges with peers what upstreams announced about how they want to
// be called.
func WithAnnouncements(announcements exchanger.Announcements) Option {
	return func(informer *Informer) { informer.announcements = announcements }
}

// WithShares exchanges with peers how much work the requests of organisations need.
func WithShares(shares exchanger.Shares) Option {
	return func(informer *Informer) { informer.shares = shares }
}

// WithEvidence exchanges with peers which upstreams were found to be lost.
func WithEvidence(evidence exchanger.Evidence) Option {
	return func(informer *Informer) { informer.evidence = evidence }
}

// WithClock exchanges clock readings with peers.
func WithClock(clock exchanger.Clock) Option {
	return func(informer *Informer) { informer.clock = clock }
}

// WithStoreReaderChanged sets the function that is called when this node starts or stops reading
// the store.
func WithStoreReaderChanged(changed func(reads bool)) Option {
	return func(informer *Informer) { informer.storeReaderChanged = changed }
}

// WithUpstreamChanged sets the function that is called for each change of the list of upstreams.
func WithUpstreamChanged(changed func(change registrar.Change)) Option {
	return func(informer *Informer) { informer.upstreamChanged = changed }
}

// WithBounds sets how long changes of the store may be without effect. By default there are no
// bounds.
func WithBounds(bounds delegator.Bounds) Option {
	return func(informer *Informer) { informer.bounds = bounds }
}

// WithUpstreamExpiry sets how long after its last write the store removes the entry of an upstream; 0 keeps the
// default, which is DefaultUpstreamExpiry.
func WithUpstreamExpiry(expiry time.Duration) Option {
	return func(informer *Informer) { informer.expiry = cmp.Or(expiry, informer.expiry) }
}

// WithDelegation lets a few nodes read the store and forward the data to the others, within the
// bounds. First is set at the first start of a whole deployment.
func WithDelegation(first bool) Option {
	return func(informer *Informer) { informer.delegates, informer.first = true, first }
}

// WithRandom sets the source of the numbers between 0 and 1 that spread the calls of
// nodes in the same situation.
func WithRandom(random func() float64) Option {
	return func(informer *Informer) { informer.random = random }
}

// New returns the Informer of a node; the load data of its selector is exchanged with
// peers.
func New(self exchanger.Peer, feeds Feeds, choice *selector.Selector, sender exchanger.Sender, options ...Option) *Informer {
	informer := &Informer{
		self:               self,
		random:             rand.Float64,
		log:                func(int, ...any) {},
		storeReaderChanged: func(bool) {},
		upstreamChanged:    func(registrar.Change) {},
		expiry:             DefaultUpstreamExpiry,
		peerList:           feeds.Peers,
		sender:             sender,
		fetcher:            &fetcher{replyTo: self.Address},
		confiner:           confiner.New(nil),
		done:               make(chan struct{}),
	}
	for _, option := range options {
		option(informer)
	}
	// The removal after the last late write has to be known before the probation ends.
	informer.registrar = registrar.New(registrar.WithProbation(maxLateness + informer.expiry + cmp.Or(informer.bounds.Leaving, defaultLeaving)))
	informer.peerConfirmation.Store(&peerConfirmation{})
	informer.holder = follower.NewHolder(informer.logTable)
	informer.initDelegation()
	informer.silence.quiet, informer.silence.owed = informer.silenceLimits()
	informer.followConfigurations(feeds.Configurations)
	informer.exchanger = exchanger.New(self, choice, sender, informer.exchangerOptions()...)
	informer.followPeers(feeds.Peers)
	informer.followUpstreams(feeds.Upstreams)
	informer.followEvacuations(feeds.Evacuations)
	informer.followVersions(feeds.Versions)
	return informer
}

// Run follows the store until the context ends.
func (informer *Informer) Run(ctx context.Context) {
	defer close(informer.done)
	runs := []func(ctx context.Context){
		informer.configurations.Run, informer.upstreams.Run, informer.peers.Run,
		informer.announce, informer.readPeersAtStart, informer.exchanger.Run, informer.tick,
	}
	if informer.evacuations != nil {
		runs = append(runs, informer.evacuations.Run)
	}
	if informer.versions != nil {
		runs = append(runs, informer.versions.Run, informer.historian.Run)
	}
	// A panic in one part ends the others, so that Wait passes it on at once.
	parts := workers.New().WithContext(ctx).WithCancelOnError()
	for _, run := range runs {
		parts.Go(func(ctx context.Context) error {
			run(ctx)
			return nil
		})
	}
	_ = parts.Wait() // No part returns an error.
}

// Done returns a channel that is closed when Run returns.
func (informer *Informer) Done() <-chan struct{} { return informer.done }

// Receive handles a message from a peer.
func (informer *Informer) Receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.LoadReport:
		informer.exchanger.Receive(from, dataCentre, message)
		if informer.knowledge != nil && message.Positions != nil {
			informer.knowledge.compare(from.VM, message.Positions)
		}
		if informer.knowledge != nil && message.Positions != nil && message.Confirmation != nil {
			informer.fetch(from.VM, message.Confirmation)
		}
	case *messenger.DefinitionAsk:
		informer.sendPart(message)
	case *messenger.DefinitionPart:
		informer.receivePart(from, message)
	}
}

// receivePart handles a part of a configuration that this node requested.
func (informer *Informer) receivePart(from definer.Member, part *messenger.DefinitionPart) {
	if address, listed := informer.exchanger.PeerAddress(from.VM); listed && informer.knowledge != nil {
		informer.runStep(address, informer.fetcher.addPart(time.Now(), part))
	}
}

// Upstreams returns the list of upstreams.
func (informer *Informer) Upstreams() *registrar.Registrar { return informer.registrar }

// Nodes returns all nodes, this one included, and whether the list has been read. The
// caller must not change the slice.
func (informer *Informer) Nodes() (nodes []exchanger.Peer, known bool) {
	return informer.exchanger.Nodes()
}

// Reached returns the number of nodes, this one included, with which this node is connected, directly
// or through others.
func (informer *Informer) Reached(now time.Time) int { return informer.exchanger.Reached(now) }

// CountPeers returns how many other nodes are listed.
func (informer *Informer) CountPeers() int { return informer.exchanger.PeerCount() }

// Precedence returns this node's position among the nodes that may take on a duty which
// one node holds at a time.
func (informer *Informer) Precedence(now time.Time, passedOver func(vm definer.VM) bool) exchanger.Precedence {
	return informer.exchanger.Precedence(now, passedOver)
}

// Table returns the configuration in force, or nil.
func (informer *Informer) Table() *router.Table { return informer.holder.Table() }

// Confirmed returns the latest time at which the configuration in force is known to have
// been the newest.
func (informer *Informer) Confirmed() time.Time { return informer.confirmer.Confirmed() }

// Healthy reports whether the store answered the last call about configurations. On a
// node that does not read the store, it reports whether the confirmation of peers is
// recent. It reports false once a configuration that is not known here may have to be in force.
func (informer *Informer) Healthy() bool {
	if bound := informer.bounds.Application; bound > 0 && informer.CopyAge(time.Now()) >= bound {
		return false
	}
	if !informer.duties.configurations.On() {
		return time.Since(informer.Confirmed()) < healthyConfirmationAge
	}
	return informer.configurations.Healthy()
}

// tick expires doubted list entries and decides again whether this node reads the store,
// every tickInterval or, until the node has its first data, every startTickInterval.
func (informer *Informer) tick(ctx context.Context) {
	ticker := time.NewTicker(startTickInterval)
	defer ticker.Stop()
	started := false
	peerReadDone := informer.peerReadDone
	for {
		select {
		case <-ctx.Done():
			return
		case <-peerReadDone:
			peerReadDone = nil
			informer.updateDuties(time.Now())
		case now := <-ticker.C:
			if paused := informer.pulse.beat(time.Now()); paused > 0 {
				informer.log(logger.EventProcessPaused, "pausedMs", paused.Milliseconds())
			}
			if !started && !informer.CopyCurrent().IsZero() {
				started = true
				ticker.Reset(tickInterval)
			}
			informer.removeLapsed(now)
			informer.updateDuties(now)
			informer.endStaleWatches(now)
		}
	}
}

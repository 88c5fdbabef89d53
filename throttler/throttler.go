package throttler

import (
	"context"
	"sync"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/messenger"
	"limpetcleat/timer"
)

// Fleet lists the nodes that may issue permits.
type Fleet interface {
	// Nodes returns all nodes, this one included, and whether the list has been read yet. The
	// caller must not change the slice.
	Nodes() (nodes []exchanger.Peer, known bool)
	// Reached returns the number of nodes, this one included, with which this node is connected.
	Reached(now time.Time) int
}

// Sender sends messages to peers without blocking.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// Outcome is the result of an ask, for metrics.
type Outcome string

const (
	// Granted means that the ask got a permit, or needed none any more.
	Granted Outcome = "granted"
	// Denied means that the ask got no permit.
	Denied Outcome = "denied"
	// Unanswered means that no decision arrived in time.
	Unanswered Outcome = "unanswered"
	// Withdrawn means that the caller's context ended before a decision.
	Withdrawn Outcome = "withdrawn"
)

// PermitRequest describes a request that needs a permit.
type PermitRequest struct {
	Start definer.UpstreamStart
	// DataCentre is the data centre of the upstream.
	DataCentre definer.DataCentre
	// Tier is the tier of the request; 0 is the highest.
	Tier int
	// Patience is how long the request can wait for the permit.
	Patience time.Duration
	// ColdLimit is the limit of the upstream while it warms up, and ColdFor for how much longer
	// that applies; 0 if it is warm.
	ColdLimit definer.RateLimit
	ColdFor   time.Duration
	// Service is the service of the upstream, and Slots the number of requests that the upstream
	// runs at a time; 0 is unknown.
	Service definer.PoolName
	Slots   int
	// Placed is set if the service has a rejection limit, or may have one: the permit is in use
	// until it is returned.
	Placed bool
	// Connections is set if the permit is for opening a connection instead of sending a request: it is
	// the number of connections that the upstream accepts from all nodes together. The permit is in use
	// until it is returned.
	Connections int
}

// resource is what permits are for.
type resource struct {
	start definer.UpstreamStart
	// connections is set for connections to the upstream; otherwise permits are for requests.
	connections bool
}

// String returns a text that identifies the resource.
func (resource resource) String() string {
	if resource.connections {
		return resource.start.String() + " connections"
	}
	return resource.start.String()
}

// resource returns what the permit is for.
func (need *PermitRequest) resource() resource {
	return resource{start: need.Start, connections: need.Connections > 0}
}

// inUse reports whether the permit is in use until it is returned.
func (need *PermitRequest) inUse() bool { return need.Placed || need.Connections > 0 }

// Permit is the result of Acquire.
type Permit struct {
	// Granted reports whether the request may be sent, at once and only once.
	Granted bool
	// RetryAfter is the time after which to ask again for this upstream, if not granted.
	RetryAfter time.Duration
	// Holding is the permit in use, which the caller must return; nil if there is none to return.
	Holding *Holding
}

// Throttler asks the issuing nodes for permits, and issues the permits of the upstreams for which
// this node is the issuer. It is safe for concurrent use.
//
// Lock order: mutex first, then the announcer's, the timer's or the sender's.
type Throttler struct {
	self      exchanger.Peer
	fleet     Fleet
	sender    Sender
	announcer *announcer.Announcer
	log       func(number int, pairs ...any)
	count     func(outcome Outcome)
	// due calls decideQueued for upstreams whose queued asks are due.
	due *timer.Service[resource]
	// schedule is the Set method of due; tests replace it.
	schedule func(resource resource, at time.Time)

	mutex    sync.Mutex
	contacts map[definer.VM]*contact
	// cutOff is set while this node is not connected with most of the others.
	cutOff bool
	// unlisted are nodes known to issue permits, whether or not they are on the list.
	unlisted map[definer.VM]unlistedIssuer
	// asks are this node's undecided asks by number.
	asks       map[uint64]*ask
	lastNumber uint64
	// holdings are this node's permits in use.
	holdings map[resource]*holdings
	// issuances are those of the permits that this node issues.
	issuances map[resource]*issuance
}

// Option changes one setting of a Throttler.
type Option func(*Throttler)

// WithLog sets the function that receives numbered events; it must not block. The default drops
// them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(throttler *Throttler) { throttler.log = log }
}

// WithCounts sets the function that is called with the outcome of each ask. The default does
// nothing.
func WithCounts(count func(outcome Outcome)) Option {
	return func(throttler *Throttler) { throttler.count = count }
}

// New returns the Throttler of the node self.
func New(self exchanger.Peer, fleet Fleet, sender Sender, announcer *announcer.Announcer, options ...Option) *Throttler {
	throttler := &Throttler{
		self:      self,
		fleet:     fleet,
		sender:    sender,
		announcer: announcer,
		log:       func(int, ...any) {},
		count:     func(Outcome) {},
		contacts:  make(map[definer.VM]*contact),
		unlisted:  make(map[definer.VM]unlistedIssuer),
		asks:      make(map[uint64]*ask),
		holdings:  make(map[resource]*holdings),
		issuances: make(map[resource]*issuance),
		// Starts at the time, so that answers to asks of an earlier process match none of this
		// process.
		lastNumber: uint64(time.Now().UnixNano()),
	}
	throttler.due = timer.New(func(due resource) { throttler.decideQueued(time.Now(), due) })
	throttler.schedule = throttler.due.Set
	for _, option := range options {
		option(throttler)
	}
	return throttler
}

// Start decides on queued asks until the context ends.
func (throttler *Throttler) Start(ctx context.Context) { throttler.due.Start(ctx) }

// Done returns a channel that is closed once the work begun by Start has ended.
func (throttler *Throttler) Done() <-chan struct{} { return throttler.due.Done() }

// Receive processes a permit message from a peer and the announcement in it.
func (throttler *Throttler) Receive(from definer.Member, message messenger.Message) {
	throttler.receive(time.Now(), from, message)
}

func (throttler *Throttler) receive(now time.Time, from definer.Member, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.PermitAsk:
		throttler.announcer.Learn(now, from.VM, []messenger.UpstreamAnnouncement{message.Announcement})
		if message.Occupancy != nil && message.Connections == 0 {
			throttler.announcer.LearnRejectionLimits(now, from.VM, []messenger.RejectionLimit{message.Occupancy.Limit}, false)
		}
		throttler.receiveAsk(now, from.VM, message)
	case *messenger.PermitAnswer:
		throttler.announcer.Learn(now, from.VM, []messenger.UpstreamAnnouncement{message.Announcement})
		throttler.receiveAnswer(now, from.VM, message)
	}
}

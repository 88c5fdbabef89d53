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

// Fleet lists the nodes that may hand out permits.
type Fleet interface {
	// Nodes returns all nodes, this one among them, and whether the list was read yet. The
	// caller must not change the slice.
	Nodes() (nodes []exchanger.Peer, known bool)
}

// Sender sends messages to peers; it never blocks.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// Outcome is what became of an ask, for metrics.
type Outcome string

const (
	// Granted asks got a permit.
	Granted Outcome = "granted"
	// Denied asks got none.
	Denied Outcome = "denied"
	// Unanswered asks were told nothing.
	Unanswered Outcome = "unanswered"
	// Withdrawn asks waited for longer than their caller did.
	Withdrawn Outcome = "withdrawn"
)

// Need is what a request needs a permit for.
type Need struct {
	Start definer.UpstreamStart
	// DataCentre is the upstream's.
	DataCentre definer.DataCentre
	// Tier is the rank of the request; 0 is the highest.
	Tier int
	// Patience is how long it can wait for the permit.
	Patience time.Duration
}

// Permit is the answer to a Need.
type Permit struct {
	// Granted permits let the request be sent, at once and once.
	Granted bool
	// After is after what time it is worth asking again for this upstream.
	After time.Duration
}

// Throttler asks for permits, and hands them out where it is this node that does. It is safe
// for concurrent use.
//
// Lock order: mutex first, then the announcer's, the timer's or the sender's.
type Throttler struct {
	self      exchanger.Peer
	fleet     Fleet
	sender    Sender
	announcer *announcer.Announcer
	log       func(number int, pairs ...any)
	count     func(outcome Outcome)
	// due has the issuers looked at whose queued asks are to be decided on.
	due *timer.Service[definer.UpstreamStart]
	// schedule is the due service's Set.
	schedule func(start definer.UpstreamStart, at time.Time)

	mutex    sync.Mutex
	contacts map[definer.VM]*contact
	// unlisted are nodes that hand out permits, listed or not.
	unlisted map[definer.VM]unlistedIssuer
	// asks holds those of this node that are not decided on, by number.
	asks   map[uint64]chan messenger.PermitAnswer
	number uint64
	// issuances holds the permits that this node hands out.
	issuances map[definer.UpstreamStart]*issuance
}

// Option changes one setting of a Throttler.
type Option func(*Throttler)

// WithLog sets where numbered events go; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(throttler *Throttler) { throttler.log = log }
}

// WithCounts sets what is told of each ask that ended; the default is nothing.
func WithCounts(count func(outcome Outcome)) Option {
	return func(throttler *Throttler) { throttler.count = count }
}

// New returns the throttler of a node.
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
		asks:      make(map[uint64]chan messenger.PermitAnswer),
		issuances: make(map[definer.UpstreamStart]*issuance),
		// Answers to asks of a process before are not taken for answers to this one's.
		number: uint64(time.Now().UnixNano()),
	}
	throttler.due = timer.New(func(start definer.UpstreamStart) { throttler.decideQueued(time.Now(), start) })
	throttler.schedule = throttler.due.Set
	for _, option := range options {
		option(throttler)
	}
	return throttler
}

// Start decides on queued asks until the context ends.
func (throttler *Throttler) Start(ctx context.Context) { throttler.due.Start(ctx) }

// Done is closed once that has ended.
func (throttler *Throttler) Done() <-chan struct{} { return throttler.due.Done() }

// Receive takes in a message from a peer.
func (throttler *Throttler) Receive(from definer.Member, message messenger.Message) {
	throttler.receive(time.Now(), from, message)
}

func (throttler *Throttler) receive(now time.Time, from definer.Member, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.PermitAsk:
		throttler.announcer.Learn(now, from.VM, []messenger.UpstreamAnnouncement{message.Announcement})
		throttler.receiveAsk(now, from.VM, message)
	case *messenger.PermitAnswer:
		throttler.announcer.Learn(now, from.VM, []messenger.UpstreamAnnouncement{message.Announcement})
		throttler.receiveAnswer(now, from.VM, message)
	}
}

// Package exchanger tells peers what this node's requests do to the upstreams
// and takes in what theirs do, so that all nodes choose from nearly the same
// picture. Nothing depends on it: a node without reports goes by its own.
//
// The nodes of a data centre form groups. Members report to the first node of
// their group that answers, its aggregator; aggregators tell each other the sums, and
// each tells its members what all others do. Every node can be one; which is follows
// from the list of nodes and from who answers, and is agreed with nobody.
package exchanger

import (
	"context"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/selector"
	"limpetcleat/timer"
)

const (
	// interval is the time between two reports to a peer. The part of what callers'
	// answers could be worth falls as it grows: with 71 nodes and 60 engines 0.591,
	// 0.567, 0.536 and some 0.47 at 80, 100, 125 and 250 ms, with 59 and 140 0.701,
	// 0.742, 0.727 and 0.650; processor time rises as it shrinks.
	interval = 100 * time.Millisecond
	// heardLife is how long it is passed on that an upstream was heard; what is
	// longer ago makes it silent for nobody.
	heardLife = 2 * time.Second
	// noRequests is what rounding may leave of a kind's faded count.
	noRequests = 1e-3
)

// Peer is another node.
type Peer struct {
	VM definer.VM
	// DataCentre is where it runs.
	DataCentre definer.DataCentre
	// Address is where it takes messages.
	Address string
	// Link is what its link carries, in Mbit/s; 0 is unknown.
	Link int
	// Revision is the store's number of the entry's last change; 0 is unknown.
	Revision uint64
}

// PeerChange is one change of the list of nodes.
type PeerChange struct {
	Peer    Peer
	Removed bool
}

// Sender sends messages to peers; it never blocks.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// held is the latest report of a node; without one it is long expired.
type held struct {
	report *messenger.LoadReport
	// incarnation is that of the process that sent it.
	incarnation definer.Incarnation
	at          time.Time
}

// expired tells whether the report no longer counts, and its sender is told nothing
// in turn.
func (held held) expired(now time.Time) bool { return now.Sub(held.at) > selector.ReportLife }

// Option changes one setting of an Exchanger.
type Option func(*Exchanger)

// WithConfirmations has aggregators confirm the configuration to
// their members, which then need not ask the store so often.
func WithConfirmations(confirmations Confirmations) Option {
	return func(exchanger *Exchanger) { exchanger.confirmations = confirmations }
}

// WithKnowledge has nodes tell each other what the store says, so that not each has to
// ask it.
func WithKnowledge(knowledge Knowledge) Option {
	return func(exchanger *Exchanger) { exchanger.knowledge = knowledge }
}

// WithSuspicions has nodes tell each other which requests make upstreams end.
func WithSuspicions(suspicions Suspicions) Option {
	return func(exchanger *Exchanger) { exchanger.suspicions = suspicions }
}

// WithAnnouncements has nodes tell each other how upstreams want to be asked.
func WithAnnouncements(announcements Announcements) Option {
	return func(exchanger *Exchanger) { exchanger.announcements = announcements }
}

// WithClock has nodes show each other their clocks.
func WithClock(clock Clock) Option {
	return func(exchanger *Exchanger) { exchanger.clock = clock }
}

// WithIncarnation sets the number of this node's process, as its messages bear it.
func WithIncarnation(incarnation definer.Incarnation) Option {
	return func(exchanger *Exchanger) { exchanger.incarnation = incarnation }
}

// WithLog sets where numbered events go; it must not block. The default drops them.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(exchanger *Exchanger) { exchanger.log = log }
}

// Exchanger exchanges load reports. It is safe for concurrent use.
type Exchanger struct {
	self          Peer
	incarnation   definer.Incarnation
	selector      *selector.Selector
	sender        Sender
	confirmations Confirmations
	// knowledge is nil where each node asks the store by itself.
	knowledge     Knowledge
	suspicions    Suspicions
	announcements Announcements
	clock         Clock
	log           func(number int, pairs ...any)
	// start is what Sent of reports counts from.
	start time.Time
	// mutex guards the rest; the selector's and those of confirmations, suspicions and
	// announcements are taken under it.
	mutex sync.Mutex
	// peers holds the other nodes by name.
	peers map[definer.VM]Peer
	// listed is set once the list of nodes was read.
	listed bool
	// nodes holds these and this one; the slice is replaced and never changed.
	nodes []Peer
	// groups holds all nodes, this one among them; own is the place of its group.
	groups   []group
	own      int
	contacts map[definer.VM]*contact
	// members holds what was reported to this node, others what other groups told.
	members map[definer.VM]held
	others  map[definer.VM]held
	// fleet is what the aggregator of this node's group told; reportsTo is its name,
	// this node's own when it is the aggregator.
	fleet     held
	reportsTo definer.VM
	// leads and first are those of the standing that was asked for last.
	leads bool
	first bool
	// reads holds the readings to be passed on in the next reports of each scope.
	reads readings
}

// New returns an exchanger that knows no peers yet.
func New(self Peer, selector *selector.Selector, sender Sender, options ...Option) *Exchanger {
	exchanger := &Exchanger{
		self:          self,
		selector:      selector,
		sender:        sender,
		confirmations: unconfirmed{},
		suspicions:    unsuspecting{},
		announcements: unannounced{},
		clock:         unclocked{},
		log:           func(int, ...any) {},
		start:         time.Now(),
		peers:         make(map[definer.VM]Peer),
		nodes:         []Peer{self},
		groups:        []group{{self}},
		contacts:      make(map[definer.VM]*contact),
		members:       make(map[definer.VM]held),
		others:        make(map[definer.VM]held),
		reads:         make(readings),
	}
	for _, option := range options {
		option(exchanger)
	}
	return exchanger
}

// Replace takes in the whole list of nodes.
func (exchanger *Exchanger) Replace(list []Peer) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.listed = true
	exchanger.peers = make(map[definer.VM]Peer, len(list))
	for _, peer := range list {
		exchanger.put(peer)
	}
	exchanger.arrange()
}

// Apply takes in changes of the list.
func (exchanger *Exchanger) Apply(changes []PeerChange) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(exchanger.peers, change.Peer.VM)
			continue
		}
		exchanger.put(change.Peer)
	}
	exchanger.arrange()
}

// put takes in a node; mutex is held.
func (exchanger *Exchanger) put(peer Peer) {
	if peer.VM != exchanger.self.VM {
		exchanger.peers[peer.VM] = peer
	}
}

// arrange sorts the nodes into groups; mutex is held.
func (exchanger *Exchanger) arrange() {
	nodes := []Peer{exchanger.self}
	for _, peer := range exchanger.peers {
		nodes = append(nodes, peer)
	}
	exchanger.nodes = nodes
	exchanger.groups, exchanger.own = arrange(exchanger.self.VM, nodes)
	for vm := range exchanger.contacts {
		if _, listed := exchanger.peers[vm]; !listed {
			delete(exchanger.contacts, vm)
		}
	}
}

// Nodes returns all nodes, this one among them, and whether the list was read yet. The caller
// must not change the slice.
func (exchanger *Exchanger) Nodes() (nodes []Peer, known bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.nodes, exchanger.listed
}

// Count returns how many peers are listed.
func (exchanger *Exchanger) Count() int {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return len(exchanger.peers)
}

// Address returns where a peer takes messages, if it is listed.
func (exchanger *Exchanger) Address(vm definer.VM) (address string, listed bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	peer, listed := exchanger.peers[vm]
	return peer.Address, listed
}

// Receive takes in a message from a peer.
func (exchanger *Exchanger) Receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	report, ok := message.(*messenger.LoadReport)
	if !ok {
		return
	}
	if exchanger.knowledge != nil && report.News != nil {
		// Taken in first: a confirmation beside it may speak of what it tells.
		exchanger.knowledge.Take(report.News)
	}
	exchanger.meet(Peer{VM: from.VM, DataCentre: dataCentre, Address: report.Address})
	exchanger.receive(time.Now(), from, report)
}

// meet takes in a node that introduces itself, if this one knows nobody.
func (exchanger *Exchanger) meet(stranger Peer) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if stranger.Address != "" && len(exchanger.peers) == 0 {
		exchanger.put(stranger)
		exchanger.arrange()
	}
}

func (exchanger *Exchanger) receive(now time.Time, sender definer.Member, report *messenger.LoadReport) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	from := sender.VM
	exchanger.contact(from).heard()
	if exchanger.knowledge == nil || report.Positions != nil {
		// One that does not tell entries is no reason not to ask for them.
		exchanger.learnConfirmation(report.Confirmation)
	}
	exchanger.suspicions.Learn(now, from, report.Scope, report.Falls)
	exchanger.announcements.Learn(now, from, report.Announcements)
	arrived := held{report: report, incarnation: sender.Incarnation, at: now}
	switch report.Scope {
	case messenger.MemberLoad:
		exchanger.members[from] = arrived
		exchanger.readClock(from, report)
		exchanger.reads.add(report.Reads, belowScopes()...)
	case messenger.GroupLoad, messenger.GroupAnswer:
		exchanger.others[from] = arrived
		exchanger.readClock(from, report)
		exchanger.reads.add(report.Reads, messenger.FleetLoad)
	case messenger.FleetLoad:
		if from != exchanger.reportsTo {
			return // It was asked before another was turned to.
		}
		exchanger.fleet = arrived
		exchanger.readClock(from, report)
		exchanger.reads.add(report.Reads, messenger.FleetLoad)
	}
	exchanger.selector.Learn(now, from, report, len(exchanger.peers))
}

// learnConfirmation takes in what a peer confirmed, whoever it is: that holds for every
// node. It counts from a report of this process alone: one of the process before says
// nothing of the time here. The mutex is held.
func (exchanger *Exchanger) learnConfirmation(confirmation *messenger.Confirmation) {
	if confirmation != nil && confirmation.Incarnation == exchanger.incarnation {
		exchanger.confirmations.Learn(confirmation.Version, exchanger.start.Add(confirmation.Sent+confirmation.Lead))
	}
}

// contact returns what is known of a node's answers; mutex is held.
func (exchanger *Exchanger) contact(vm definer.VM) *contact {
	known, ok := exchanger.contacts[vm]
	if !ok {
		known = &contact{}
		exchanger.contacts[vm] = known
	}
	return known
}

// Run sends reports until the context ends.
func (exchanger *Exchanger) Run(ctx context.Context) {
	for stage := memberStage; ; stage = (stage + 1) % stageCount {
		if timer.Sleep(ctx, untilStage(time.Now(), stage)) != nil {
			return
		}
		for _, outgoing := range exchanger.compose(time.Now(), stage) {
			exchanger.sender.Send(ctx, outgoing.address, outgoing.report)
		}
	}
}

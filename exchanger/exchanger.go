// Package exchanger exchanges load reports between nodes: each node reports which requests
// it runs at each upstream, so that all nodes balance load on nearly the same data. The
// reports are an optimisation only; a node that receives none balances on its own
// requests.
//
// The nodes of each data centre are divided into groups. Members report to the aggregator
// of their group, which is the first node of the group that responds. Aggregators
// exchange the sums of their groups, and each sends its members the load of all other
// nodes. Any node can be an aggregator; each node derives the aggregators from the list
// of nodes and from which nodes respond, without an election.
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
	// interval is the time between two reports to a peer. The share of the achievable
	// value of answers falls as the interval grows: with 71 nodes and 60 engines it was
	// 0.591, 0.567, 0.536 and about 0.47 at 80, 100, 125 and 250 ms, with 59 nodes and
	// 140 engines 0.701, 0.742, 0.727 and 0.650. CPU time rises as the interval shrinks.
	interval = 100 * time.Millisecond
	// maxHeardAge is the age up to which reports say when an upstream was last heard
	// from. An older time would not keep any node from treating the upstream as silent.
	maxHeardAge = 2 * time.Second
	// minRequests is the decayed request count up to which a kind is left out of reports:
	// what remains is a rounding error.
	minRequests = 1e-3
)

// Peer is a node, as the list of nodes has it.
type Peer struct {
	VM definer.VM
	// DataCentre is the data centre that the node runs in.
	DataCentre definer.DataCentre
	// Address is the network address on which the node accepts messages from peers.
	Address string
	// Link is the bandwidth of its network link in Mbit/s; 0 means unknown.
	Link int
	// Revision is the store's revision of the entry's last change; 0 means unknown.
	Revision uint64
}

// PeerChange is one change of the list of nodes.
type PeerChange struct {
	Peer    Peer
	Removed bool
}

// Sender sends messages to peers. Send must not block.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// receivedReport is the latest report of a node. The zero value counts as expired.
type receivedReport struct {
	report *messenger.LoadReport
	// incarnation is that of the process that sent the report.
	incarnation definer.Incarnation
	receivedAt  time.Time
	// pausedFor is how long this process has been paused since.
	pausedFor time.Duration
	// sharesAt is when the shares in the report were received, which may be those of an earlier one.
	sharesAt time.Time
}

// expired reports whether the report is too old to count. A sender whose report has
// expired is sent no report in return.
func (received receivedReport) expired(now time.Time) bool {
	return now.Sub(received.receivedAt)-received.pausedFor > selector.ReportLifetime
}

// Option sets an optional property of an Exchanger.
type Option func(*Exchanger)

// WithConfirmations makes nodes confirm to each other that a configuration is the newest,
// so that those that are sent confirmations query the store less often.
func WithConfirmations(confirmations Confirmations) Option {
	return func(exchanger *Exchanger) { exchanger.confirmations = confirmations }
}

// WithKnowledge makes nodes send each other the entries of the store, so that not every
// node has to query it.
func WithKnowledge(knowledge Knowledge) Option {
	return func(exchanger *Exchanger) { exchanger.knowledge = knowledge }
}

// WithStoreAccess sets the function that returns this node's access to the store, which nodes
// report to each other if they send each other the entries of the store.
func WithStoreAccess(storeAccess func() messenger.StoreAccess) Option {
	return func(exchanger *Exchanger) { exchanger.storeAccess = storeAccess }
}

// WithSuspicions makes nodes tell each other which requests are suspected of crashing
// upstreams.
func WithSuspicions(suspicions Suspicions) Option {
	return func(exchanger *Exchanger) { exchanger.suspicions = suspicions }
}

// WithAnnouncements makes nodes pass on the rates that upstreams accept and whether they
// are about to stop.
func WithAnnouncements(announcements Announcements) Option {
	return func(exchanger *Exchanger) { exchanger.announcements = announcements }
}

// WithShares makes nodes report to each other the work of organisations.
func WithShares(shares Shares) Option {
	return func(exchanger *Exchanger) { exchanger.shares = shares }
}

// WithEvidence makes nodes report to each other which upstreams they found to be lost.
func WithEvidence(evidence Evidence) Option {
	return func(exchanger *Exchanger) { exchanger.evidence = evidence }
}

// WithClock makes nodes include their clocks in reports.
func WithClock(clock Clock) Option {
	return func(exchanger *Exchanger) { exchanger.clock = clock }
}

// WithIncarnation sets the incarnation of this node's process, as its messages carry it.
func WithIncarnation(incarnation definer.Incarnation) Option {
	return func(exchanger *Exchanger) { exchanger.incarnation = incarnation }
}

// WithLog sets the function that log events are passed to; it must not block. By default
// they are discarded.
func WithLog(log func(number int, pairs ...any)) Option {
	return func(exchanger *Exchanger) { exchanger.log = log }
}

// Exchanger sends and receives load reports. It is safe for concurrent use.
type Exchanger struct {
	self          Peer
	incarnation   definer.Incarnation
	selector      *selector.Selector
	sender        Sender
	confirmations Confirmations
	// knowledge is nil if each node queries the store itself.
	knowledge     Knowledge
	storeAccess   func() messenger.StoreAccess
	suspicions    Suspicions
	announcements Announcements
	shares        Shares
	evidence      Evidence
	clock         Clock
	log           func(number int, pairs ...any)
	// start is the time that the field Sent of reports is relative to.
	start time.Time
	// mutex guards the fields below. The locks of the selector, the confirmations, the
	// suspicions, the announcements, the shares and the evidence are acquired while it is held.
	mutex sync.Mutex
	// peers holds the other nodes by name.
	peers map[definer.VM]Peer
	// listLoaded is set once the list of nodes has been read.
	listLoaded bool
	// selfListed is set if the list has the entry of this node.
	selfListed bool
	// nodes holds all nodes, this one included. The slice is replaced and never modified.
	nodes []Peer
	// groups holds the groups of all nodes; ownGroup is the index of this node's group.
	groups   []group
	ownGroup int
	contacts map[definer.VM]*contact
	// memberReports holds the reports of nodes that take this one for their aggregator,
	// groupReports those of the aggregators of other groups.
	memberReports map[definer.VM]receivedReport
	groupReports  map[definer.VM]receivedReport
	// fleetReport is the last report of the aggregator of this node's group. aggregator
	// is the aggregator's name, this node's own if it is the aggregator.
	fleetReport receivedReport
	aggregator  definer.VM
	// isLeader and isFirstLeader are IsLeader and IsFirstLeader of the last Standing that
	// was returned.
	isLeader      bool
	isFirstLeader bool
	// rejections counts the dropped loads and works that are not logged yet, and rejectionsLoggedAt
	// is when some were last logged.
	rejections         int
	rejectionsLoggedAt time.Time
	// composedAt is when reports were last composed; zero before.
	composedAt time.Time
	// pendingReads holds the readings to include in the next reports of each scope.
	pendingReads readings
}

// New returns an Exchanger that has no peers yet.
func New(self Peer, selector *selector.Selector, sender Sender, options ...Option) *Exchanger {
	exchanger := &Exchanger{
		self:          self,
		selector:      selector,
		sender:        sender,
		confirmations: noConfirmations{},
		storeAccess:   func() messenger.StoreAccess { return messenger.NotReading },
		suspicions:    noSuspicions{},
		announcements: noAnnouncements{},
		shares:        noShares{},
		evidence:      noEvidence{},
		clock:         noClock{},
		log:           func(int, ...any) {},
		start:         time.Now(),
		peers:         make(map[definer.VM]Peer),
		nodes:         []Peer{self},
		groups:        []group{{self}},
		contacts:      make(map[definer.VM]*contact),
		memberReports: make(map[definer.VM]receivedReport),
		groupReports:  make(map[definer.VM]receivedReport),
		pendingReads:  make(readings),
	}
	for _, option := range options {
		option(exchanger)
	}
	return exchanger
}

// Replace replaces the list of nodes. The entry of this node is ignored.
func (exchanger *Exchanger) Replace(list []Peer) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.listLoaded, exchanger.selfListed = true, false
	exchanger.peers = make(map[definer.VM]Peer, len(list))
	for _, peer := range list {
		exchanger.addPeer(peer)
	}
	exchanger.regroup()
}

// Apply applies changes to the list of nodes.
func (exchanger *Exchanger) Apply(changes []PeerChange) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(exchanger.peers, change.Peer.VM)
			exchanger.selfListed = exchanger.selfListed && change.Peer.VM != exchanger.self.VM
			continue
		}
		exchanger.addPeer(change.Peer)
	}
	exchanger.regroup()
}

// addPeer adds or updates a node. The mutex is held.
func (exchanger *Exchanger) addPeer(peer Peer) {
	if peer.VM != exchanger.self.VM {
		exchanger.peers[peer.VM] = peer
		return
	}
	self := exchanger.self
	exchanger.selfListed = peer.DataCentre == self.DataCentre && peer.Address == self.Address
}

// IsUnlisted reports whether the list of nodes has been read and has no entry of this node, or one with another
// address.
func (exchanger *Exchanger) IsUnlisted() bool {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.listLoaded && !exchanger.selfListed
}

// regroup divides the nodes into groups after a change of the list. The mutex is held.
func (exchanger *Exchanger) regroup() {
	nodes := []Peer{exchanger.self}
	for _, peer := range exchanger.peers {
		nodes = append(nodes, peer)
	}
	exchanger.nodes = nodes
	vms := make([]definer.VM, len(nodes))
	for index, node := range nodes {
		vms[index] = node.VM
	}
	exchanger.evidence.SetNodes(vms)
	exchanger.groups, exchanger.ownGroup = formGroups(exchanger.self.VM, nodes)
	exchanger.shares.SetNodes(len(nodes))
	for vm := range exchanger.contacts {
		if _, listed := exchanger.peers[vm]; !listed {
			delete(exchanger.contacts, vm)
		}
	}
}

// Nodes returns all nodes, this one included, and whether the list of nodes has been read
// yet. The caller must not modify the slice.
func (exchanger *Exchanger) Nodes() (nodes []Peer, known bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return exchanger.nodes, exchanger.listLoaded
}

// Reached returns the number of nodes, this one included, whose load is in the reports that this
// node has received lately: those with which it is connected, directly or through others.
func (exchanger *Exchanger) Reached(now time.Time) int {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.dropExpired(now)
	reached := 1
	for _, reports := range []map[definer.VM]receivedReport{exchanger.memberReports, exchanger.groupReports} {
		for _, received := range reports {
			reached += received.report.Nodes
		}
	}
	if exchanger.fleetReport.report != nil {
		reached += exchanger.fleetReport.report.Nodes
	}
	return reached
}

// PeerCount returns the number of other nodes on the list.
func (exchanger *Exchanger) PeerCount() int {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return len(exchanger.peers)
}

// PeerAddress returns the address of a peer and whether it is on the list.
func (exchanger *Exchanger) PeerAddress(vm definer.VM) (address string, listed bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	peer, listed := exchanger.peers[vm]
	return peer.Address, listed
}

// Receive processes a message from a peer. Messages other than load reports are ignored.
func (exchanger *Exchanger) Receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	report, ok := message.(*messenger.LoadReport)
	if !ok {
		return
	}
	if exchanger.knowledge != nil && report.News != nil {
		// Entries go first: the confirmation in the same report may rest on them.
		exchanger.knowledge.Apply(from.VM, report.News)
	}
	exchanger.addFirstPeer(Peer{VM: from.VM, DataCentre: dataCentre, Address: report.Address})
	exchanger.receive(time.Now(), from, report)
}

// addFirstPeer adds the sender of a message that carries its address, if this node has no
// peers yet.
func (exchanger *Exchanger) addFirstPeer(sender Peer) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	if sender.Address != "" && len(exchanger.peers) == 0 {
		exchanger.addPeer(sender)
		exchanger.regroup()
	}
}

func (exchanger *Exchanger) receive(now time.Time, sender definer.Member, report *messenger.LoadReport) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	from := sender.VM
	report = exchanger.validated(now, from, report)
	exchanger.contact(from).recordReceived()
	if exchanger.knowledge == nil || report.Positions != nil {
		// A node that sends no entries does not make it unnecessary to query the store.
		exchanger.learnConfirmation(report.Confirmation)
	}
	exchanger.suspicions.Learn(now, from, report.Scope, report.Falls)
	exchanger.announcements.Learn(now, from, report.Announcements)
	exchanger.announcements.LearnRejectionLimits(now, from, report.RejectionLimits, report.Informed)
	exchanger.evidence.Learn(now, from, report)
	arrived := receivedReport{report: report, incarnation: sender.Incarnation, receivedAt: now}
	if report.Scope != messenger.FleetLoad || from == exchanger.aggregator {
		exchanger.receiveShares(now, from, &arrived)
	}
	switch report.Scope {
	case messenger.MemberLoad:
		exchanger.memberReports[from] = arrived
		exchanger.readClock(from, report)
		exchanger.pendingReads.add(report.Reads, ownGroupScopes()...)
	case messenger.GroupLoad, messenger.GroupAnswer:
		exchanger.groupReports[from] = arrived
		exchanger.readClock(from, report)
		exchanger.pendingReads.add(report.Reads, messenger.FleetLoad)
	case messenger.FleetLoad:
		if from != exchanger.aggregator {
			return // The sender is no longer the aggregator of this group.
		}
		exchanger.fleetReport = arrived
		exchanger.readClock(from, report)
		exchanger.pendingReads.add(report.Reads, messenger.FleetLoad)
	}
	exchanger.selector.ApplyReport(now, from, report, len(exchanger.peers))
}

// learnConfirmation passes on a confirmation by any peer; it is valid for every node. It
// is ignored unless it answers a report of this process: its time is relative to the
// start of the process that sent the report. The mutex is held.
func (exchanger *Exchanger) learnConfirmation(confirmation *messenger.Confirmation) {
	if confirmation == nil || confirmation.Incarnation != exchanger.incarnation {
		return
	}
	sent := exchanger.start.Add(confirmation.Sent)
	exchanger.confirmations.Learn(confirmation.Version, sent.Add(confirmation.Lead))
	if current := confirmation.Copy; current != nil && exchanger.knowledge != nil {
		exchanger.knowledge.LearnCurrent(sent.Add(current.Lead), confirmation.Version, current.Upstreams, current.Evacuations)
		if current.AnsweredLead != 0 {
			exchanger.knowledge.LearnAnswered(sent.Add(current.AnsweredLead))
		}
	}
}

// contact returns the state of the exchange with a node, and creates it if there is none.
// The mutex is held.
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

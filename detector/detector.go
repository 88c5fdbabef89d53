package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Proposal is a possible member, taken from the platform's list.
type Proposal struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	Address    string
}

// Outgoing is a message to send and its recipient.
type Outgoing struct {
	To      definer.VM
	Address string
	Message messenger.Message
}

// Output holds the messages and the changes that result from one call of a
// Detector's method.
type Output struct {
	Messages []Outgoing
	// Joined lists the members that became alive or restarted, Departed those that
	// left, failed or ended with a restart, as last known.
	Joined, Departed []messenger.MemberChange
	// Changed reports whether the result of Members changed.
	Changed bool
	// Paused reports whether this process was suspended long enough that
	// others may have declared it failed.
	Paused bool
}

// peer is the known state of one other member.
type peer struct {
	change messenger.MemberChange
	// stateSince is when the present state was learned.
	stateSince time.Time
	// lastHeard is when the last message from the member was received, or when
	// this node began to watch it.
	lastHeard time.Time
	// probedAt is when the unanswered probe was sent; zero if there is none.
	probedAt time.Time
	// firstProbe is the sequence number of the first heartbeat of that probe.
	firstProbe uint64
}

// Detector keeps one node's view of the membership. It is not safe for concurrent
// use.
type Detector struct {
	settings settings
	// self is this node's own entry; its state is Alive or Left.
	self messenger.MemberChange
	// peers holds all other known members, live or not.
	peers map[definer.VM]*peer
	// proposals is the platform's last list without the node's own VM.
	proposals map[definer.VM]Proposal
	// rumours holds the changes that are still gossiped.
	rumours map[definer.VM]*rumour
	// relays holds the probes made for other members, by the sequence number of
	// the probing heartbeat.
	relays map[uint64]relay
	// lastSequence is the sequence number of the last heartbeat that asks for an
	// answer. It starts at a number of its own in each process, so that answers to
	// an earlier process match none of this one.
	lastSequence uint64
	// ring is empty when it has to be computed again.
	ring ring
	// lastTick and lastPeriod are when Tick last ran and when it last began a
	// period; zero before Start.
	lastTick, lastPeriod time.Time
	// periods counts the periods since the start.
	periods uint64
	// cursor is the index, in the order of names, of the member that a
	// reconciling heartbeat carried last.
	cursor int
	// immediateRounds is how many rounds of heartbeats may be sent before the next
	// period.
	immediateRounds int
	// urgent reports whether a change waits for an immediate round.
	urgent bool
	// foundPeers reports whether another member was ever known.
	foundPeers bool
	output     Output
}

// relay is a probe of target that asker requested in the heartbeat with the given
// sequence number.
type relay struct {
	asker    definer.VM
	sequence uint64
	target   definer.VM
	sentAt   time.Time
}

// New returns a Detector that knows only its own node, which is alive.
func New(self definer.Member, dataCentre definer.DataCentre, address string, options ...Option) *Detector {
	detector := &Detector{
		settings:        settings{period: defaultPeriod, watchers: defaultWatchers, forgetAfter: defaultForgetAfter},
		self:            messenger.MemberChange{Member: self, DataCentre: dataCentre, Address: address, State: messenger.Alive},
		peers:           make(map[definer.VM]*peer),
		proposals:       make(map[definer.VM]Proposal),
		rumours:         make(map[definer.VM]*rumour),
		relays:          make(map[uint64]relay),
		immediateRounds: maxImmediateRounds,
		lastSequence:    uint64(uint32(self.Incarnation)), // A short number keeps heartbeats small.
	}
	for _, option := range options {
		option(&detector.settings)
	}
	return detector
}

// Interval returns the time that should pass between two calls of Tick.
func (detector *Detector) Interval() time.Duration { return detector.period() / ticksPerPeriod }

// FoundPeers reports whether the node ever knew another member.
func (detector *Detector) FoundPeers() bool { return detector.foundPeers }

// Start begins the detection and announces this node. Call it before Tick.
func (detector *Detector) Start(now time.Time) Output {
	detector.lastTick, detector.lastPeriod = now, now
	detector.announceSelf()
	return detector.flush()
}

// Propose replaces the list of proposed members and contacts some of those that
// are unknown or failed.
func (detector *Detector) Propose(now time.Time, proposals []Proposal) Output {
	detector.detectPause(now)
	clear(detector.proposals)
	for _, proposal := range proposals {
		if proposal.VM != detector.self.Member.VM {
			detector.proposals[proposal.VM] = proposal
		}
	}
	detector.contactUnreachable()
	return detector.flush()
}

// Check detects whether this process was suspended. It is cheap; call it before
// any step that relies on the membership.
func (detector *Detector) Check(now time.Time) Output {
	detector.detectPause(now)
	return detector.flush()
}

// Tick probes, suspects and fails silent members and sends the heartbeats that are
// due. Call it every Interval.
func (detector *Detector) Tick(now time.Time) Output {
	detector.detectPause(now)
	detector.lastTick = now
	if detector.self.State == messenger.Left {
		return detector.flush()
	}
	detector.checkWatched(now)
	if now.Sub(detector.lastPeriod) >= detector.period()-detector.Interval()/2 {
		detector.lastPeriod = now
		detector.runPeriod(now)
	}
	return detector.flush()
}

// Receive processes a heartbeat or its answer. Any other message only shows that
// its sender is alive.
func (detector *Detector) Receive(now time.Time, from definer.Member, message messenger.Message) Output {
	detector.detectPause(now)
	switch message := message.(type) {
	case *messenger.Heartbeat:
		detector.receiveChanges(now, message.Changes)
		detector.recordContact(now, from)
		detector.respond(now, from, message)
	case *messenger.HeartbeatAnswer:
		detector.receiveChanges(now, message.Changes)
		detector.handleAnswer(now, from, message)
	default:
		detector.recordContact(now, from)
	}
	return detector.flush()
}

// SetDraining sets whether this node drains, that is, neither owns shards nor takes
// requests, and announces a change to the other members.
func (detector *Detector) SetDraining(_ time.Time, draining bool) Output {
	if detector.self.Draining != draining {
		detector.self.Draining = draining
		detector.output.Changed = true
		detector.announceSelf()
	}
	return detector.flush()
}

// Leave announces to the other members that this node stops. Tick then begins no
// more periods.
func (detector *Detector) Leave(_ time.Time) Output {
	detector.self.State = messenger.Left
	detector.output.Changed = true
	detector.announceSelf()
	detector.immediateRounds = max(detector.immediateRounds, 1)
	return detector.flush()
}

// Members returns this node's own entry and those of all members that are alive or
// suspected, sorted by VM.
func (detector *Detector) Members() []messenger.MemberChange {
	members := []messenger.MemberChange{detector.self}
	for _, peer := range detector.peers {
		if live(peer.change.State) {
			members = append(members, peer.change)
		}
	}
	slices.SortFunc(members, func(a, b messenger.MemberChange) int { return cmp.Compare(a.Member.VM, b.Member.VM) })
	return members
}

// period returns the time between two heartbeats at the present number of members.
func (detector *Detector) period() time.Duration {
	stretch := min(max(float64(len(detector.peers)+1)/stretchThreshold, 1), maxStretch)
	return time.Duration(float64(detector.settings.period) * stretch)
}

// timeout returns a number of eighths of the present period.
func (detector *Detector) timeout(eighths time.Duration) time.Duration {
	return detector.period() / eighthsPerPeriod * eighths
}

// detectPause detects whether this process was suspended. If so, it restarts all
// timeouts, so that no member is suspected or failed for the time of the pause, and
// announces this node again, since others may have declared it failed.
func (detector *Detector) detectPause(now time.Time) {
	if detector.lastTick.IsZero() || now.Sub(detector.lastTick) <= detector.Interval()+detector.period() {
		return
	}
	detector.lastTick, detector.lastPeriod = now, now
	if !detector.foundPeers || detector.self.State == messenger.Left {
		return
	}
	for _, peer := range detector.peers {
		peer.lastHeard, peer.probedAt = now, time.Time{}
		if peer.change.State == messenger.Suspect {
			peer.stateSince = now
		}
	}
	detector.output.Paused = true
	detector.output.Changed = true
	detector.immediateRounds = maxImmediateRounds
	detector.announceSelf()
	for index, vm := range detector.targets() {
		detector.contact(vm, index == 0)
	}
}

// announceSelf gossips this node's own entry with a higher sequence number.
func (detector *Detector) announceSelf() {
	detector.self.Sequence++
	detector.disseminate(detector.self)
}

// live reports whether a member in the state still counts as a member.
func live(state messenger.MemberState) bool {
	return state == messenger.Alive || state == messenger.Suspect
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[Key cmp.Ordered, Value any](table map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(table))
}

package detector

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Proposal is one member that the platform's list names.
type Proposal struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	Address    string
}

// Outgoing is one message to send.
type Outgoing struct {
	To      definer.VM
	Address string
	Message messenger.Message
}

// Output is what one step of a Detector asks for and tells.
type Output struct {
	Messages []Outgoing
	// Came lists members that are now alive, Gone those that no longer are.
	Came, Gone []messenger.MemberChange
	// Changed says that Members would now return something else.
	Changed bool
	// Paused says that this process was not running for a while, so that
	// others may have taken it for dead.
	Paused bool
}

// peer is what is believed of one other member.
type peer struct {
	change messenger.MemberChange
	// since is when the present state was learned.
	since time.Time
	// heard is the last word from it, or when this node began to watch it.
	heard time.Time
	// probed is when it was asked for a word; zero when it was not.
	probed time.Time
}

// Detector keeps one node's view of the members. It is not safe for concurrent
// use.
type Detector struct {
	settings settings
	// self is this node's own entry; its state is Alive or Left.
	self messenger.MemberChange
	// peers never holds the node's own VM.
	peers map[definer.VM]*peer
	// proposals is the platform's list without the node's own VM.
	proposals map[definer.VM]Proposal
	rumours   map[definer.VM]*rumour
	// relays holds the probes made for others by their sequence.
	relays map[uint64]relay
	// probes numbers the heartbeats that want an answer.
	probes uint64
	// ring is empty when it has to be worked out anew.
	ring ring
	// lastTick is zero before Start.
	lastTick, lastBeat time.Time
	// beats counts the periods.
	beats uint64
	// cursor walks over the beliefs that reconciling heartbeats carry.
	cursor int
	// pushes is how many heartbeats may be sent out of turn.
	pushes int
	// urgent says that a change waits to be pushed.
	urgent bool
	// met says that some other member was ever heard of.
	met    bool
	output Output
}

// relay is a probe made for another member.
type relay struct {
	asker    definer.VM
	sequence uint64
	target   definer.VM
	at       time.Time
}

// New returns a detector that knows only its own node.
func New(self definer.Member, dataCentre definer.DataCentre, address string, options ...Option) *Detector {
	detector := &Detector{
		settings:  settings{period: defaultPeriod, watchers: defaultWatchers, forgetAfter: defaultForgetAfter},
		self:      messenger.MemberChange{Member: self, DataCentre: dataCentre, Address: address, State: messenger.Alive},
		peers:     make(map[definer.VM]*peer),
		proposals: make(map[definer.VM]Proposal),
		rumours:   make(map[definer.VM]*rumour),
		relays:    make(map[uint64]relay),
		pushes:    maxPushes,
	}
	for _, option := range options {
		option(&detector.settings)
	}
	return detector
}

// Interval returns the time between two calls of Tick.
func (detector *Detector) Interval() time.Duration { return detector.period() / ticksPerPeriod }

// Met tells whether the node ever heard of another member.
func (detector *Detector) Met() bool { return detector.met }

// Start begins the watch.
func (detector *Detector) Start(now time.Time) Output {
	detector.lastTick, detector.lastBeat = now, now
	detector.announce()
	return detector.flush()
}

// Propose takes in the platform's list and greets whom it does not know.
func (detector *Detector) Propose(now time.Time, proposals []Proposal) Output {
	detector.check(now)
	clear(detector.proposals)
	for _, proposal := range proposals {
		if proposal.VM != detector.self.Member.VM {
			detector.proposals[proposal.VM] = proposal
		}
	}
	detector.greet()
	return detector.flush()
}

// Check notices that this process was paused. It is cheap and belongs before
// any step that relies on the view.
func (detector *Detector) Check(now time.Time) Output {
	detector.check(now)
	return detector.flush()
}

// Tick does what is due; it is to be called every Interval.
func (detector *Detector) Tick(now time.Time) Output {
	detector.check(now)
	detector.lastTick = now
	if detector.self.State == messenger.Left {
		return detector.flush()
	}
	detector.watch(now)
	if now.Sub(detector.lastBeat) >= detector.period()-detector.Interval()/2 {
		detector.lastBeat = now
		detector.beat(now)
	}
	return detector.flush()
}

// Receive takes in a heartbeat or its answer; any other message is only a word
// from its sender.
func (detector *Detector) Receive(now time.Time, from definer.Member, message messenger.Message) Output {
	detector.check(now)
	switch message := message.(type) {
	case *messenger.Heartbeat:
		detector.take(now, message.Changes)
		detector.hear(now, from)
		detector.respond(now, from, message)
	case *messenger.HeartbeatAnswer:
		detector.take(now, message.Changes)
		detector.answered(now, from, message)
	default:
		detector.hear(now, from)
	}
	return detector.flush()
}

// Draining tells the others whether this node owns shards and takes requests.
func (detector *Detector) Draining(_ time.Time, draining bool) Output {
	if detector.self.Draining != draining {
		detector.self.Draining = draining
		detector.output.Changed = true
		detector.announce()
	}
	return detector.flush()
}

// Leave tells the others that this node stops.
func (detector *Detector) Leave(_ time.Time) Output {
	detector.self.State = messenger.Left
	detector.output.Changed = true
	detector.announce()
	detector.pushes = max(detector.pushes, 1)
	return detector.flush()
}

// Members returns this node's own entry and those of all members that are
// alive or only suspected, by name.
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

// period returns the time between heartbeats at the system's present size.
func (detector *Detector) period() time.Duration {
	stretch := min(max(float64(len(detector.peers)+1)/stretchFrom, 1), maxStretch)
	return time.Duration(float64(detector.settings.period) * stretch)
}

func (detector *Detector) part(count time.Duration) time.Duration {
	return detector.period() / eighths * count
}

// check finds out whether this process was paused. If so it accuses nobody for
// a while and announces itself anew, since others may have given it up.
func (detector *Detector) check(now time.Time) {
	if detector.lastTick.IsZero() || now.Sub(detector.lastTick) <= detector.Interval()+detector.period() {
		return
	}
	detector.lastTick, detector.lastBeat = now, now
	if !detector.met || detector.self.State == messenger.Left {
		return
	}
	for _, peer := range detector.peers {
		peer.heard, peer.probed = now, time.Time{}
		if peer.change.State == messenger.Suspect {
			peer.since = now
		}
	}
	detector.output.Paused = true
	detector.output.Changed = true
	detector.pushes = maxPushes
	detector.announce()
	for index, vm := range detector.targets() {
		detector.hello(vm, index == 0)
	}
}

// announce spreads this node's own entry with a higher sequence.
func (detector *Detector) announce() {
	detector.self.Sequence++
	detector.spread(detector.self)
}

func live(state messenger.MemberState) bool {
	return state == messenger.Alive || state == messenger.Suspect
}

func sorted[Key cmp.Ordered, Value any](table map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(table))
}

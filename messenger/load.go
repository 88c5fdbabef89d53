package messenger

import (
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
)

// UpstreamLoad is the load that the sender's requests put on one upstream.
type UpstreamLoad struct {
	Upstream definer.UpstreamName
	// Incarnation identifies the start of the upstream that the load refers to.
	Incarnation definer.Incarnation
	// InFlight is the number of requests that were sent and have not ended.
	InFlight int
	// Tokens is how many tokens those requests may occupy in an engine's memory.
	Tokens int
	// Heard is how long ago the upstream last sent anything; it is valid if HasHeard
	// is set.
	Heard    time.Duration
	HasHeard bool
	// Unread is the number of prompt tokens of the requests without a first event,
	// Deferred that of the requests that the upstream serves after all others.
	Unread   int
	Deferred int
	// Beyond is the number of the requests in flight that exceed their organisation's share.
	Beyond int
	// Streams is the number of the requests that are streams of the highest tier with an
	// objective for pauses.
	Streams int
	// ExpectedMs and ActualMs sum up, over recent requests and in milliseconds, when their first
	// events were expected and when they came.
	ExpectedMs int
	ActualMs   int
}

// Start returns the start of the upstream that the load refers to.
func (load UpstreamLoad) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: load.Upstream, Incarnation: load.Incarnation}
}

// Plus returns the sum of both loads. Heard is that of the more recent sign of life.
func (load UpstreamLoad) Plus(other UpstreamLoad) UpstreamLoad {
	load.InFlight += other.InFlight
	load.Tokens += other.Tokens
	load.Unread += other.Unread
	load.Deferred += other.Deferred
	load.Beyond += other.Beyond
	load.Streams += other.Streams
	load.ExpectedMs += other.ExpectedMs
	load.ActualMs += other.ActualMs
	if other.HasHeard && (!load.HasHeard || other.Heard < load.Heard) {
		load.Heard, load.HasHeard = other.Heard, true
	}
	return load
}

// Idle reports whether the load contains neither requests nor first events.
func (load UpstreamLoad) Idle() bool {
	load.Heard, load.HasHeard = 0, false
	return load == UpstreamLoad{Upstream: load.Upstream, Incarnation: load.Incarnation}
}

// Minus returns the load without the other's requests; Heard and HasHeard stay.
func (load UpstreamLoad) Minus(other UpstreamLoad) UpstreamLoad {
	load.InFlight -= other.InFlight
	load.Tokens -= other.Tokens
	load.Unread -= other.Unread
	load.Deferred -= other.Deferred
	load.Beyond -= other.Beyond
	load.Streams -= other.Streams
	load.ExpectedMs -= other.ExpectedMs
	load.ActualMs -= other.ActualMs
	return load
}

// KindWork is the engine time that the requests of one rule took at a service, and
// the length of their prompts, as sums that decay over time.
type KindWork struct {
	Service definer.PoolName
	Rule    string
	// Work is the total engine time, Reading the part of it spent on reading prompts.
	Work    time.Duration
	Reading time.Duration
	// Tier is the rule's rank; 0 is the highest.
	Tier int
	// GapObjective is the rule's objective for the longest pause between two events; 0 is none.
	GapObjective time.Duration
	// PromptTokens divided by Requests is the mean length of a prompt in tokens.
	PromptTokens float64
	Requests     float64
}

// Plus returns the sum of both works; service, rule and tier stay.
func (work KindWork) Plus(other KindWork) KindWork {
	work.Work += other.Work
	work.Reading += other.Reading
	work.PromptTokens += other.PromptTokens
	work.Requests += other.Requests
	work.GapObjective = max(work.GapObjective, other.GapObjective)
	return work
}

// Minus returns the work without that of the other's requests.
func (work KindWork) Minus(other KindWork) KindWork {
	work.Work -= other.Work
	work.Reading -= other.Reading
	work.PromptTokens -= other.PromptTokens
	work.Requests -= other.Requests
	return work
}

// MaxListedShares is the number of organisations of one service and tier that a report lists
// individually.
const MaxListedShares = 32

// OrganisationWork is the predicted engine time of an organisation's requests to a service in one
// tier, refused requests included, as a sum that decays with a time constant of one second.
type OrganisationWork struct {
	Service definer.PoolName
	// Tier is the priority of the requests' rule; 0 is the highest.
	Tier int
	// Organisation is empty for all organisations together that are not listed individually.
	Organisation definer.OrganisationName
	Work         time.Duration
}

// PartsRead reports that an engine has read parts of a prompt that other requests
// share, and so holds them in its prefix cache.
type PartsRead struct {
	Upstream definer.UpstreamName
	// Incarnation identifies the start of the upstream that read the parts.
	Incarnation definer.Incarnation
	// Parts are the names of the parts, in the order of the prompt.
	Parts []string
}

// Start returns the start of the upstream that read the parts.
func (read PartsRead) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: read.Upstream, Incarnation: read.Incarnation}
}

// UpstreamFall reports that an upstream ended while it had requests.
type UpstreamFall struct {
	Upstream definer.UpstreamName
	// Incarnation identifies the start of the upstream that ended.
	Incarnation definer.Incarnation
	// Age is the time from the end of the upstream to the report.
	Age time.Duration
	// Suspects are the requests that may have caused the end, Cleared those that are
	// known not to have caused it.
	Suspects []definer.RequestIdentity
	Cleared  []definer.RequestIdentity
	// Parts are the parts of the prompts of such requests.
	Parts []SuspectPart
}

// SuspectPart is a part of prompts that may have caused the end of an upstream.
type SuspectPart struct {
	Identity definer.RequestIdentity
	// Depth is the position of the part in the prompts, from 1 on.
	Depth int
	// Cleared is set if it is known not to have caused the end.
	Cleared bool
}

// Start returns the start of the upstream that ended.
func (fall UpstreamFall) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: fall.Upstream, Incarnation: fall.Incarnation}
}

// FallNotice tells a member which upstreams ended. It is used where nodes exchange no
// load reports.
type FallNotice struct {
	// Scope is the hop on which the notice is sent: MemberLoad from a member to the relay
	// of its data centre, GroupLoad between relays, FleetLoad from a relay to members.
	Scope LoadScope
	Falls []UpstreamFall
}

func (fallNotice *FallNotice) place(frame *Frame) { frame.FallNotice = fallNotice }

// LoadScope is the set of nodes whose requests a LoadReport sums up. It determines
// how the receiver handles the report.
type LoadScope int

const (
	// MemberLoad is the load of the sender and of the nodes that report to it; the
	// sender asks the receiver for a report on all other nodes.
	MemberLoad LoadScope = iota
	// GroupLoad is the load of the sender and of the nodes that report to it, sent to
	// the node that the sender takes for the aggregator of another group. The sender
	// asks the receiver for the load of that group.
	GroupLoad
	// GroupAnswer is the answer to a GroupLoad, sent when the sender does not take the
	// receiver for the aggregator of the receiver's group.
	GroupAnswer
	// FleetLoad is the load of all nodes that the sender knows of except the receiver.
	FleetLoad
)

// Confirmation tells a peer until when a version of the configuration was known to
// be the newest. Its time is relative to a report that the receiver itself sent, so
// that it is valid however long the message takes.
type Confirmation struct {
	Version uint64
	// InForce is the version in force at the sender, which may have merely heard of Version.
	InForce uint64
	// Sent is the field Sent of the latest report that the sender got from the receiver,
	// Incarnation the number of the process that sent that report.
	Sent        time.Duration
	Incarnation definer.Incarnation
	// Lead is the time from the arrival of that report at the sender to the moment for
	// which the version is confirmed; it is negative when that moment came first.
	Lead time.Duration
	// Copy is set where nodes exchange the store's entries and the sender knows up to when
	// its own copy was current.
	Copy *CopyConfirmation
}

// CopyConfirmation tells a peer until when the store had answered for all that nodes follow:
// that no configuration is newer than the Confirmation's, and all entries of upstreams and
// evacuations. It holds for a node whose holdings include those of the sender.
type CopyConfirmation struct {
	// Upstreams and Evacuations are the entries that the sender holds.
	Upstreams   chronicler.Holding
	Evacuations chronicler.Holding
	// Lead is the time from the arrival of the receiver's report at the sender to the
	// moment at which the store had answered; it is negative when that moment came first.
	Lead time.Duration
	// AnsweredLead is the same for the last answer of the store to any call of any node; 0 means not known.
	AnsweredLead time.Duration
}

// UpstreamEntry is an upstream's entry in the platform's store.
type UpstreamEntry struct {
	Service     definer.PoolName
	Address     string
	DataCentre  definer.DataCentre
	Slots       int
	Leaving     bool
	Spot        bool
	Incarnation definer.Incarnation
	// Cold is how much longer the upstream warms up, as of the writing of the entry.
	Cold time.Duration
	// Version is the version of the upstream's software.
	Version definer.SoftwareVersion
	// CreatedAt is the store's revision of the creation of the entry, Sequence the number of the
	// heartbeat that wrote it; 0 if unknown.
	CreatedAt uint64
	Sequence  uint64
	// Stopping, Rewritten and Lapsed are those of a registrar.Upstream.
	Stopping  bool
	Rewritten bool
	Lapsed    bool
}

// PeerEntry is a node's entry in the platform's store.
type PeerEntry struct {
	DataCentre definer.DataCentre
	Address    string
	Link       int
}

// EvacuationEntry is an operator's order in the platform's store to evacuate a data centre.
type EvacuationEntry struct {
	DataCentre definer.DataCentre
}

// VersionEntry is the entry of a software version of a service's upstreams in the platform's store.
type VersionEntry struct {
	Service definer.PoolName
	Version definer.SoftwareVersion
	// GoneFor is for how long no upstream of the version had been listed when the entry was written.
	GoneFor time.Duration
	// Settled is set once streams may begin at the version also on nodes that have just learned of it.
	Settled bool
}

// Positions are the positions in the store's histories up to which a node knows the
// entries.
type Positions struct {
	Upstreams chronicler.Position
	Peers     chronicler.Position
	// Evacuations is the beginning where operators cannot order evacuations.
	Evacuations chronicler.Position
	Versions    chronicler.Position
}

// News holds the store's entries that a peer lacks, as many as fit into one message.
type News struct {
	Upstreams *chronicler.Excerpt[UpstreamEntry]
	Peers     *chronicler.Excerpt[PeerEntry]
	// Evacuations is nil where operators cannot order evacuations.
	Evacuations *chronicler.Excerpt[EvacuationEntry]
	Versions    *chronicler.Excerpt[VersionEntry]
}

// DefinitionAsk asks a peer for a part of the configuration that is in force at the
// peer, if that is of the given version or a newer one.
type DefinitionAsk struct {
	Version uint64
	// Offset is where the part begins in the encoded configuration, in bytes.
	Offset int
	// ReplyTo is the address to which the answer is sent.
	ReplyTo string
}

func (definitionAsk *DefinitionAsk) place(frame *Frame) { frame.DefinitionAsk = definitionAsk }

// DefinitionPart is a part of an encoded configuration, the answer to a DefinitionAsk.
type DefinitionPart struct {
	Version uint64
	// Offset is where the part begins and Size the length of the whole, in bytes.
	Offset int
	Size   int
	Data   []byte
}

func (definitionPart *DefinitionPart) place(frame *Frame) { frame.DefinitionPart = definitionPart }

// StoreAccess is the result with which a node reads the platform's store.
type StoreAccess int

const (
	// NotReading means that the node leaves reading the store to others, or has no result yet.
	NotReading StoreAccess = iota
	// ReadsStore means that the store answers the node.
	ReadsStore
	// StoreFails means that the node's calls to the store fail.
	StoreFails
)

// Or returns the access of two nodes together: one that reads the store is enough.
func (storeAccess StoreAccess) Or(other StoreAccess) StoreAccess {
	switch {
	case storeAccess == ReadsStore || other == ReadsStore:
		return ReadsStore
	case storeAccess == StoreFails || other == StoreFails:
		return StoreFails
	}
	return NotReading
}

// LoadReport tells a peer the load that requests put on the upstreams. It replaces
// the sender's previous report.
type LoadReport struct {
	Scope LoadScope
	// Sent is when the report was made, as time since the sender's start; it has a
	// meaning for the sender only.
	Sent time.Duration
	// Clock is the wall-clock time since 1970: that of the sender's own clock or, in
	// reports to members of its group, the one that the sender derives from the clocks
	// of others; 0 means not told.
	Clock time.Duration
	// Address is where the sender receives messages. It is set until the sender has heard
	// from the receiver, which may not know any node yet.
	Address string
	// Confirmation is set when the sender has one and has heard from the receiver.
	Confirmation *Confirmation
	// Positions are those of the sender; News holds what the receiver lacks according to
	// its latest report to the sender. Both are nil where each node reads the store itself.
	Positions *Positions
	News      *News
	// Store is the sender's access to the platform's store or, in reports to members of its
	// group, that of all nodes that it receives reports from, except the receiver. It is set
	// only where nodes send each other the store's entries.
	Store StoreAccess
	// Nodes is the number of nodes whose requests are summed up.
	Nodes int
	Loads []UpstreamLoad
	Kinds []KindWork
	// Shares is the work of the heaviest organisations by service and tier; it is valid if HasShares
	// is set, and otherwise as in the sender's previous report.
	Shares    []OrganisationWork
	HasShares bool
	// Reads are the prompt parts read since the sender's previous report.
	Reads []PartsRead
	// Falls are the ends of upstreams whose suspects the receiver may not all know.
	Falls []UpstreamFall
	// Announcements are the upstreams' announcements that the receiver may not know.
	Announcements []UpstreamAnnouncement
	// RejectionLimits are those that upstreams have announced. Informed is set if the sender has
	// received those of an informed peer since its start, or none has sent them in time.
	RejectionLimits []RejectionLimit
	Informed        bool
	// Evidence is what the receiver may not know of lost upstreams.
	Evidence []UpstreamEvidence
}

func (loadReport *LoadReport) place(frame *Frame) { frame.LoadReport = loadReport }

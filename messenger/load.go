package messenger

import (
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
)

// UpstreamLoad is what the sender's requests put on one upstream.
type UpstreamLoad struct {
	Upstream definer.UpstreamName
	// Incarnation is that of the start that it speaks of.
	Incarnation definer.Incarnation
	// InFlight counts the requests that were sent and have not ended.
	InFlight int
	// Tokens counts what they may take of an engine's memory.
	Tokens int
	// Heard is how long ago anything came from it; HasHeard tells whether anything
	// did.
	Heard    time.Duration
	HasHeard bool
	// Unread counts the prompt tokens of those without a first event, and Deferred
	// those of requests that are behind all others there.
	Unread   int
	Deferred int
}

// Start returns the start of the upstream that the load is at.
func (load UpstreamLoad) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: load.Upstream, Incarnation: load.Incarnation}
}

// Plus returns the load of both. What was heard is the later of the two.
func (load UpstreamLoad) Plus(other UpstreamLoad) UpstreamLoad {
	load.InFlight += other.InFlight
	load.Tokens += other.Tokens
	load.Unread += other.Unread
	load.Deferred += other.Deferred
	if other.HasHeard && (!load.HasHeard || other.Heard < load.Heard) {
		load.Heard, load.HasHeard = other.Heard, true
	}
	return load
}

// Minus returns the load without the other's requests; what was heard stays.
func (load UpstreamLoad) Minus(other UpstreamLoad) UpstreamLoad {
	load.InFlight -= other.InFlight
	load.Tokens -= other.Tokens
	load.Unread -= other.Unread
	load.Deferred -= other.Deferred
	return load
}

// KindWork is what the requests of one rule took of a service's engines, and how
// long their prompts are, in sums that fade.
type KindWork struct {
	Service definer.PoolName
	Rule    string
	// Work is all of it, Reading the part of it that is reading prompts.
	Work    time.Duration
	Reading time.Duration
	// Tier is the rule's rank; 0 is the highest.
	Tier int
	// PromptTokens over Requests is the mean length of a prompt.
	PromptTokens float64
	Requests     float64
}

// Plus returns what the requests of both took.
func (work KindWork) Plus(other KindWork) KindWork {
	work.Work += other.Work
	work.Reading += other.Reading
	work.PromptTokens += other.PromptTokens
	work.Requests += other.Requests
	return work
}

// Minus returns it without what the other's requests took.
func (work KindWork) Minus(other KindWork) KindWork {
	work.Work -= other.Work
	work.Reading -= other.Reading
	work.PromptTokens -= other.PromptTokens
	work.Requests -= other.Requests
	return work
}

// PartsRead tells that an engine has read shared parts of a prompt, and so holds
// them.
type PartsRead struct {
	Upstream definer.UpstreamName
	// Incarnation is that of the start that read them.
	Incarnation definer.Incarnation
	// Parts are the names of the parts, in the prompt's order.
	Parts []string
}

// Start returns the start of the upstream that read the parts.
func (read PartsRead) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: read.Upstream, Incarnation: read.Incarnation}
}

// UpstreamFall tells that an upstream ended with requests on it.
type UpstreamFall struct {
	Upstream definer.UpstreamName
	// Incarnation is that of the start that ended.
	Incarnation definer.Incarnation
	// Age is how long before the report it ended.
	Age time.Duration
	// Suspects are requests that may have caused it, Cleared such that are known not to have.
	Suspects []definer.RequestIdentity
	Cleared  []definer.RequestIdentity
}

// Start returns the start of the upstream that ended.
func (fall UpstreamFall) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: fall.Upstream, Incarnation: fall.Incarnation}
}

// FallNotice tells a member of ends of upstreams, where no reports are exchanged.
type FallNotice struct {
	// Scope tells whom the sender tells it for: MemberLoad to the relay of a data centre,
	// GroupLoad between those, FleetLoad to members.
	Scope LoadScope
	Falls []UpstreamFall
}

func (fallNotice *FallNotice) place(frame *Frame) { frame.FallNotice = fallNotice }

// LoadScope tells whose requests a LoadReport sums up, and so what the receiver
// does with it.
type LoadScope int

const (
	// MemberLoad is that of the sender and of the nodes that report to it; the
	// sender wants to be told of the others by the receiver.
	MemberLoad LoadScope = iota
	// GroupLoad is the same, told to the node that is taken for the aggregator of
	// another group; the sender wants to be told the same by the receiver.
	GroupLoad
	// GroupAnswer is that in turn, when the sender does not take the receiver for the
	// aggregator of its group.
	GroupAnswer
	// FleetLoad is that of all nodes the sender knows of but for the receiver.
	FleetLoad
)

// Confirmation tells a peer up to when a version of the configuration was known to
// be the newest. It holds however long it was on its way, since the receiver counts
// from when it sent what the sender counts from.
type Confirmation struct {
	Version uint64
	// Sent is that of the latest report that the sender had of the receiver, Incarnation
	// the number of the process that sent it.
	Sent        time.Duration
	Incarnation definer.Incarnation
	// Lead is how long after it took that report in the sender was certain; it is
	// negative when that was before.
	Lead time.Duration
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
}

// PeerEntry is a node's entry in the platform's store.
type PeerEntry struct {
	DataCentre definer.DataCentre
	Address    string
	Link       int
}

// Positions tells up to where a node knows the store's entries.
type Positions struct {
	Upstreams chronicler.Position
	Peers     chronicler.Position
}

// News is what a peer lacks of the store's entries, as far as it goes into one message.
type News struct {
	Upstreams *chronicler.Excerpt[UpstreamEntry]
	Peers     *chronicler.Excerpt[PeerEntry]
}

// DefinitionAsk asks a peer for a part of the configuration in force there, of a version
// at least.
type DefinitionAsk struct {
	Version uint64
	// Offset is where the part begins, in bytes.
	Offset int
	// ReplyTo is where the sender takes the answer.
	ReplyTo string
}

func (definitionAsk *DefinitionAsk) place(frame *Frame) { frame.DefinitionAsk = definitionAsk }

// DefinitionPart is a part of a configuration's encoded form.
type DefinitionPart struct {
	Version uint64
	// Offset is where the part begins; Size is that of the whole, in bytes.
	Offset int
	Size   int
	Data   []byte
}

func (definitionPart *DefinitionPart) place(frame *Frame) { frame.DefinitionPart = definitionPart }

// LoadReport tells a peer what requests do to the upstreams. It replaces the
// sender's report before.
type LoadReport struct {
	Scope LoadScope
	// Sent is when the report was made, as time since the sender's start; only the
	// sender knows what it means.
	Sent time.Duration
	// Clock is the time of day as the sender's clock shows it, since 1970, or, to members
	// of its group, as the sender makes it from those of others; 0 is not told.
	Clock time.Duration
	// Address is where the sender takes messages, set until it has heard from the receiver,
	// which may know nobody yet.
	Address string
	// Confirmation is set by senders that know one and have heard from the receiver.
	Confirmation *Confirmation
	// Positions are the sender's, News what the receiver lacks by the latest report that
	// the sender had of it; both are nil where each node asks the store by itself.
	Positions *Positions
	News      *News
	// Nodes counts the nodes whose requests are summed up.
	Nodes int
	Loads []UpstreamLoad
	Kinds []KindWork
	// Reads are those since the sender's report before.
	Reads []PartsRead
	// Falls are ends of upstreams of which the receiver may not know all suspects.
	Falls []UpstreamFall
	// Announcements are those of upstreams that the receiver may not know.
	Announcements []UpstreamAnnouncement
}

func (loadReport *LoadReport) place(frame *Frame) { frame.LoadReport = loadReport }

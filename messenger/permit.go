package messenger

import (
	"time"

	"limpetcleat/definer"
)

// UpstreamAnnouncement is the rate limit and the planned end that an upstream has
// announced in its answers.
type UpstreamAnnouncement struct {
	Upstream definer.UpstreamName
	// Incarnation identifies the start of the upstream that made the announcement.
	Incarnation definer.Incarnation
	// PerSecond is how many requests per second the upstream accepts from all nodes
	// together. It is valid if Limited is set; otherwise there is no limit.
	PerSecond float64
	Limited   bool
	// Leaving is set once the upstream is about to end.
	Leaving bool
	// Age is how long ago the announcement was made; it is Unannounced when the sender
	// knows of none.
	Age time.Duration
}

// Unannounced is the Age of an announcement that was never received.
const Unannounced = time.Duration(-1)

// Start returns the start of the upstream that made the announcement.
func (upstreamAnnouncement UpstreamAnnouncement) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: upstreamAnnouncement.Upstream, Incarnation: upstreamAnnouncement.Incarnation}
}

// LimitNotice tells the owner of a shard the rate limit that an upstream announced.
type LimitNotice struct {
	Shard        Shard
	Announcement UpstreamAnnouncement
}

func (limitNotice *LimitNotice) place(frame *Frame) { frame.LimitNotice = limitNotice }

// PermitAsk asks the issuer of an upstream's permits for one. An upstream with a rate limit, or
// whose service has a rejection limit, is sent a request only under a permit.
type PermitAsk struct {
	// Number identifies the ask among those of the sender's process.
	Number uint64
	// Announcement is the latest one of the upstream that the sender knows.
	Announcement UpstreamAnnouncement
	// DataCentre is the data centre of the upstream.
	DataCentre definer.DataCentre
	// Tier is the rank of the request; 0 is the highest.
	Tier int
	// Patience is how long the request can wait for the permit; with 0 the issuer decides
	// at once.
	Patience time.Duration
	// ColdPerSecond is how many requests per second the upstream accepts from all nodes
	// together while it warms up, as far as the sender knows, and ColdFor for how much
	// longer. ColdFor is 0 if it is warm.
	ColdPerSecond float64
	ColdFor       time.Duration
	// Occupancy is set if the service of the upstream has a rejection limit, or may have one of
	// which the sender has not been informed yet.
	Occupancy *Occupancy
	// Connections is set if the permit is for a connection instead of a request: it is the number of
	// connections that the upstream accepts from all nodes together.
	Connections int
	// Withdrawn cancels the ask with this number, or returns its permit; no answer follows. With
	// the number 0, the message only reports the Occupancy.
	Withdrawn bool
	// Probe asks for an answer without a permit.
	Probe bool
	// ReplyTo is the address to which the answer is sent.
	ReplyTo string
}

func (permitAsk *PermitAsk) place(frame *Frame) { frame.PermitAsk = permitAsk }

// PermitIssuer is a node that issues the permits of an upstream.
type PermitIssuer struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	// Address is where the node receives messages.
	Address string
}

// PermitVerdict is the result of a PermitAsk.
type PermitVerdict int

const (
	// PermitGranted allows the request to be sent immediately and one time only.
	PermitGranted PermitVerdict = iota
	// PermitQueued says that a decision follows.
	PermitQueued
	// PermitDenied says that the request may not be sent.
	PermitDenied
	// PermitNeedless says that the upstream no longer has a limit.
	PermitNeedless
)

// PermitAnswer is the decision on a PermitAsk.
type PermitAnswer struct {
	Number  uint64
	Verdict PermitVerdict
	// After is the time until a queued permit is expected or, after a denial, until it is
	// worth asking again. For a granted permit that is in use until its request ends, it is the
	// time after which the permit lapses unless its holder reports it.
	After time.Duration
	// Before is a node that is to issue the permits in place of the sender or, in the
	// answer to a probe, of the receiver; it is nil when the sender hears from no such node.
	Before *PermitIssuer
	// Announcement is the latest one of the upstream that the sender knows.
	Announcement UpstreamAnnouncement
}

func (permitAnswer *PermitAnswer) place(frame *Frame) { frame.PermitAnswer = permitAnswer }

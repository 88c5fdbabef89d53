package messenger

import (
	"time"

	"limpetcleat/definer"
)

// UpstreamAnnouncement is what an upstream has said of how it wants to be asked.
type UpstreamAnnouncement struct {
	Upstream definer.UpstreamName
	// Incarnation is that of the start that said so.
	Incarnation definer.Incarnation
	// PerSecond is how many requests a second it takes from all nodes together; without
	// Limited it takes any number.
	PerSecond float64
	Limited   bool
	// Leaving is set once it is about to end.
	Leaving bool
	// Age is how long ago it said so, Unannounced when the sender knows nothing.
	Age time.Duration
}

// Unannounced stands for the age of an announcement that was never heard.
const Unannounced = time.Duration(-1)

// Start returns the start of the upstream that said so.
func (upstreamAnnouncement UpstreamAnnouncement) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: upstreamAnnouncement.Upstream, Incarnation: upstreamAnnouncement.Incarnation}
}

// LimitNotice tells the owner of a shard how many requests an upstream takes.
type LimitNotice struct {
	Shard        Shard
	Announcement UpstreamAnnouncement
}

func (limitNotice *LimitNotice) place(frame *Frame) { frame.LimitNotice = limitNotice }

// PermitAsk asks the node that hands out the permits of an upstream with a limit for one.
type PermitAsk struct {
	// Number names the ask among those of the sender's process.
	Number uint64
	// Announcement is the upstream's latest as the sender knows it.
	Announcement UpstreamAnnouncement
	// DataCentre is the upstream's.
	DataCentre definer.DataCentre
	// Tier is the rank of the request; 0 is the highest.
	Tier int
	// Patience is how long the request can wait for the permit; with 0 it is decided at once.
	Patience time.Duration
	// Withdrawn takes the ask of this number back; no answer follows.
	Withdrawn bool
	// Probe wants no permit, only an answer.
	Probe bool
	// ReplyTo is where the sender takes the answer.
	ReplyTo string
}

func (permitAsk *PermitAsk) place(frame *Frame) { frame.PermitAsk = permitAsk }

// PermitIssuer is a node that hands out permits.
type PermitIssuer struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	// Address is where it takes messages.
	Address string
}

// PermitVerdict is what became of a PermitAsk.
type PermitVerdict int

const (
	// PermitGranted lets the request be sent, at once and once.
	PermitGranted PermitVerdict = iota
	// PermitQueued says that a decision follows.
	PermitQueued
	// PermitDenied says that the request may not be sent.
	PermitDenied
	// PermitNeedless says that the upstream has no limit any more.
	PermitNeedless
)

// PermitAnswer is the decision on a PermitAsk.
type PermitAnswer struct {
	Number  uint64
	Verdict PermitVerdict
	// After is when a queued permit is expected, or after what time it is worth asking again.
	After time.Duration
	// Before is a node that is to hand out the permits in place of the sender or, behind a
	// probe, of the receiver; nil when the sender hears from none.
	Before *PermitIssuer
	// Announcement is the upstream's latest as the sender knows it.
	Announcement UpstreamAnnouncement
}

func (permitAnswer *PermitAnswer) place(frame *Frame) { frame.PermitAnswer = permitAnswer }

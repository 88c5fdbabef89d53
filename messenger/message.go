package messenger

import (
	"time"

	"limpetcleat/definer"
)

// Message is one message of the inner protocol. Times cross the wire as ages
// or durations, never as instants, since clocks of two VMs differ.
type Message interface {
	// place puts the message in its own field of a frame.
	place(frame *Frame)
}

// Shard names a part of a pool's upstreams that one member owns.
type Shard struct {
	DataCentre definer.DataCentre
	Pool       definer.PoolName
	Index      int
}

// GrantAsk asks the owner of a shard for a slot. It may be sent again; the
// owner answers by RequestID and Attempt.
type GrantAsk struct {
	Shard        Shard
	Request      definer.RequestID
	Attempt      int
	Class        definer.ClassName
	Organisation definer.OrganisationName
	Model        string
	// PromptTokens and OutputTokens are estimates; OutputTokens 0 is unknown.
	PromptTokens int
	OutputTokens int
	// Age is the time since the request arrived at its entry VM.
	Age time.Duration
	// Remaining is the time to its deadline; 0 is no deadline.
	Remaining time.Duration
	// Prefix is a hash of the prompt's beginning; 0 is none.
	Prefix uint64
	// Exclude lists upstreams that failed this request before.
	Exclude []definer.UpstreamName
	// Emergency asks a member that is not the owner for a slot of its small
	// allowance, because the owner is silent.
	Emergency bool
}

// GrantAnswer is the owner's decision on a GrantAsk.
type GrantAnswer struct {
	Shard   Shard
	Request definer.RequestID
	Attempt int
	// Queued says that the ask stands in the queue and a decision follows.
	Queued bool
	// Grant is empty when the ask is refused or queued.
	Grant    definer.GrantID
	Upstream definer.UpstreamName
	// Priority is what the engine is told; 0 is the most urgent.
	Priority    int
	Preemptible bool
	// Reason is set when the ask is refused.
	Reason RefusalReason
	// RetryAfter is when a refused caller should come again.
	RetryAfter time.Duration
	// ExpectedWait is the queue's present wait for this class.
	ExpectedWait time.Duration
}

// RefusalReason tells why a request was refused.
type RefusalReason string

const (
	// NoUpstream says that no live upstream can serve the request.
	NoUpstream RefusalReason = "noUpstream"
	// QueueFull says that the request could not start within its bound.
	QueueFull RefusalReason = "queueFull"
	// Shed says that higher tiers took the request's place in the queue.
	Shed RefusalReason = "shed"
	// DeadlineMissed says that the deadline cannot be met.
	DeadlineMissed RefusalReason = "deadlineMissed"
	// WaitExceeded says that the request waited for its class's longest wait.
	WaitExceeded RefusalReason = "waitExceeded"
	// RateLimited says that the organisation is above its own rate.
	RateLimited RefusalReason = "rateLimited"
	// NoRule says that no rule matches the request.
	NoRule RefusalReason = "noRule"
	// NoModel says that no upstream of the pool holds the model.
	NoModel RefusalReason = "noModel"
	// RuleRefused says that an operator's rule refuses the request.
	RuleRefused RefusalReason = "ruleRefused"
	// NotReady says that the node has no configuration yet.
	NotReady RefusalReason = "notReady"
	// Draining says that the node is stopping.
	Draining RefusalReason = "draining"
	// OwnerLost says that no owner of the shard could be reached in time.
	OwnerLost RefusalReason = "ownerLost"
	// PlatformAway says that a claim needs the platform and it is away.
	PlatformAway RefusalReason = "platformAway"
	// KeyInUse says that another request with the same key is under way.
	KeyInUse RefusalReason = "keyInUse"
	// KeyMismatch says that the key was used for a different request.
	KeyMismatch RefusalReason = "keyMismatch"
	// KeyUnknown says that it is not known whether an earlier request with the
	// key ran; it is never run again.
	KeyUnknown RefusalReason = "keyUnknown"
	// KeyHolderAway says that the process that the key is bound to cannot be
	// reached.
	KeyHolderAway RefusalReason = "keyHolderAway"
	// KeyExpired says that a key bound to a process was used too late, or is
	// none that a process hands out.
	KeyExpired RefusalReason = "keyExpired"
	// AnswerNotKept says that an earlier request with the key ran and that its
	// answer was too large to keep.
	AnswerNotKept RefusalReason = "answerNotKept"
	// ClaimsFull says that there is no room to claim another key.
	ClaimsFull RefusalReason = "claimsFull"
	// UpstreamFailed says that the upstream did not give a whole answer.
	UpstreamFailed RefusalReason = "upstreamFailed"
	// HeldOff says that upstreams ended under the request, which is sent to no more.
	HeldOff RefusalReason = "heldOff"
	// CallerGone says that the caller left.
	CallerGone RefusalReason = "callerGone"
)

// Observation is what an attempt showed of its upstream.
type Observation struct {
	// Failed says that the upstream did not give a whole answer.
	Failed bool
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Tokens is the number of tokens that came.
	Tokens int
	// Total is the time from sending to the end.
	Total time.Duration
	// Paused is the time the engine said it had the request paused.
	Paused time.Duration
	// Backoff is how long an upstream that turned the request away wants nothing.
	Backoff time.Duration
}

// GrantRelease gives a slot back.
type GrantRelease struct {
	Shard       Shard
	Grant       definer.GrantID
	Request     definer.RequestID
	Upstream    definer.UpstreamName
	Class       definer.ClassName
	Observation Observation
}

// GrantWithdraw takes an ask back.
type GrantWithdraw struct {
	Shard   Shard
	Request definer.RequestID
	Attempt int
}

// HeldGrant is one grant that an entry VM still uses.
type HeldGrant struct {
	Grant   definer.GrantID
	Request definer.RequestID
	// Attempt numbers the attempt that runs under the grant.
	Attempt      int
	Class        definer.ClassName
	Organisation definer.OrganisationName
	Upstream     definer.UpstreamName
	Age          time.Duration
	Tokens       int
}

// UpstreamNotice tells the owner of a shard that an upstream said it is leaving.
type UpstreamNotice struct {
	Shard    Shard
	Upstream definer.UpstreamName
}

// GrantReport tells the owner of a shard every grant of it that an entry VM
// holds; one that is not listed has been given back.
type GrantReport struct {
	Shard  Shard
	Grants []HeldGrant
}

// MemberState is what is believed of a member.
type MemberState string

const (
	// Alive members answer.
	Alive MemberState = "alive"
	// Suspect members missed heartbeats and may still refute it.
	Suspect MemberState = "suspect"
	// Failed members are taken as dead.
	Failed MemberState = "failed"
	// Left members stopped as planned.
	Left MemberState = "left"
)

// MemberChange is one piece of gossip.
type MemberChange struct {
	Member     definer.Member
	DataCentre definer.DataCentre
	// Address is where the member takes the inner protocol.
	Address string
	State   MemberState
	// Sequence orders the member's own refutations within an incarnation.
	Sequence uint64
	// Draining members own no shards and take no new requests.
	Draining bool
}

// Heartbeat tells a member that the sender is alive and carries gossip.
type Heartbeat struct {
	Sequence uint64
	// Answer asks for a HeartbeatAnswer.
	Answer bool
	// Sync asks for all that the receiver believes in the answer.
	Sync bool
	// Target, when set, asks the receiver to probe that member instead.
	Target  definer.VM
	Changes []MemberChange
	// Configuration is the version that the sender applies.
	Configuration uint64
}

// HeartbeatAnswer answers a Heartbeat.
type HeartbeatAnswer struct {
	Sequence      uint64
	Target        definer.VM
	Changes       []MemberChange
	Configuration uint64
}

// SectionSum is the name and the content hash of one configuration section.
type SectionSum struct {
	Name string
	Hash string
}

// ConfigurationAnnounce tells that a version is in force at the sender.
type ConfigurationAnnounce struct {
	Version uint64
	// Digest is a short hash of the version's whole list of sections.
	Digest string
}

// ConfigurationAsk tells what the sender has in force and asks for anything
// newer: the differing part of the list of sections, and sections.
type ConfigurationAsk struct {
	// Version and Digest are those in force at the sender; 0 is none yet.
	Version uint64
	Digest  string
	// Hashes lists the sections wanted; empty wants those that differ.
	Hashes []string
	// Offset is how many bytes of the first of Hashes the sender has.
	Offset int
}

// Section is the content of one configuration section.
type Section struct {
	Hash string
	Data []byte
}

// Piece is a part of the content of one configuration section.
type Piece struct {
	Hash string
	// Offset is where the part begins; Size is that of the whole content.
	Offset int
	Size   int
	Data   []byte
}

// ConfigurationAnswer tells a version newer than the asker's by how its list of
// sections differs, and carries as many sections as fit.
type ConfigurationAnswer struct {
	Version uint64
	Digest  string
	// Base is the digest of the list that Changed and Removed amend; it is
	// empty when Changed is the whole list.
	Base    string
	Changed []SectionSum
	Removed []string
	Pieces  []Piece
}

// CallForward hands a call with a key to the process that the key is bound to.
type CallForward struct {
	Request      definer.RequestID
	Organisation definer.OrganisationName
	Method       string
	Path         string
	Header       map[string][]string
	Body         []byte
	// Remaining is the time to the call's deadline; 0 is no deadline.
	Remaining time.Duration
	// ReplyTo is where the sender takes the answer.
	ReplyTo string
}

// CallAnswer is the whole answer to a CallForward.
type CallAnswer struct {
	Request definer.RequestID
	// Status is 0 while the call is under way; the rest is then empty.
	Status  int
	Header  map[string][]string
	Body    []byte
	Outcome definer.Outcome
}

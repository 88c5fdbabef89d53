package messenger

import (
	"time"

	"limpetcleat/definer"
)

// Message is one message of the inner protocol. Times are sent as ages or
// durations, never as instants, since the clocks of two VMs differ.
type Message interface {
	// place puts the message in its own field of a frame.
	place(frame *Frame)
}

// Shard identifies a part of a pool's upstreams whose slots one member, the owner,
// assigns.
type Shard struct {
	DataCentre definer.DataCentre
	Pool       definer.PoolName
	Index      int
}

// GrantAsk asks the owner of a shard for a slot, that is, for leave to send one
// attempt to an upstream. It may be sent again; the owner recognises repeats by
// Request and Attempt.
type GrantAsk struct {
	Shard        Shard
	Request      definer.RequestID
	Attempt      int
	Class        definer.ClassName
	Organisation definer.OrganisationName
	Model        string
	// PromptTokens and OutputTokens are estimates; 0 OutputTokens means unknown.
	PromptTokens int
	OutputTokens int
	// Age is the time since the request arrived at its entry VM.
	Age time.Duration
	// Remaining is the time to the request's deadline; 0 means no deadline.
	Remaining time.Duration
	// Prefix is a hash of the beginning of the prompt; 0 means none.
	Prefix uint64
	// Exclude lists the upstreams at which earlier attempts of the request failed.
	Exclude []definer.UpstreamName
	// Emergency asks a member other than the owner for a slot of that member's small
	// allowance, because the owner does not answer.
	Emergency bool
}

// GrantAnswer is the owner's decision on a GrantAsk.
type GrantAnswer struct {
	Shard   Shard
	Request definer.RequestID
	Attempt int
	// Queued is set when the ask waits in the queue and a decision follows.
	Queued bool
	// Grant is empty when the ask is refused or queued.
	Grant    definer.GrantID
	Upstream definer.UpstreamName
	// Priority is the priority to send to the engine; 0 is the most urgent.
	Priority    int
	Preemptible bool
	// Reason is set when the ask is refused.
	Reason RefusalReason
	// RetryAfter is how long a refused caller should wait before it retries.
	RetryAfter time.Duration
	// ExpectedWait is the current queueing time of the request's class.
	ExpectedWait time.Duration
	// Released acknowledges the releases of these grants; the other fields but Shard are then empty.
	Released []definer.GrantID
}

// RefusalReason is the reason for which a request was refused.
type RefusalReason string

const (
	// NoUpstream says that no live upstream can serve the request.
	NoUpstream RefusalReason = "noUpstream"
	// QueueFull says that the request could not start within its time limit.
	QueueFull RefusalReason = "queueFull"
	// Shed says that requests of higher tiers displaced the request from the full queue.
	Shed RefusalReason = "shed"
	// DeadlineMissed says that the deadline cannot be met.
	DeadlineMissed RefusalReason = "deadlineMissed"
	// WaitExceeded says that the request waited for the maximum time of its class.
	WaitExceeded RefusalReason = "waitExceeded"
	// RateLimited says that the organisation exceeds its request rate.
	RateLimited RefusalReason = "rateLimited"
	// NoRule says that no rule matches the request.
	NoRule RefusalReason = "noRule"
	// NoModel says that no upstream of the pool serves the model.
	NoModel RefusalReason = "noModel"
	// RuleRefused says that an operator's rule refuses the request.
	RuleRefused RefusalReason = "ruleRefused"
	// NotReady says that the node has no configuration yet.
	NotReady RefusalReason = "notReady"
	// Draining says that the node is stopping.
	Draining RefusalReason = "draining"
	// OwnerLost says that no owner of the shard could be reached in time.
	OwnerLost RefusalReason = "ownerLost"
	// PlatformAway says that a claim needs the platform's store, which does not answer.
	PlatformAway RefusalReason = "platformAway"
	// KeyInUse says that another request with the same key is still running.
	KeyInUse RefusalReason = "keyInUse"
	// KeyMismatch says that the key was used for a different request.
	KeyMismatch RefusalReason = "keyMismatch"
	// KeyUnknown says that it is not known whether an earlier request with the
	// key ran; the request is never run again.
	KeyUnknown RefusalReason = "keyUnknown"
	// KeyHolderAway says that the process to which the key is bound cannot be
	// reached.
	KeyHolderAway RefusalReason = "keyHolderAway"
	// KeyExpired says that a key bound to a process was used too late, or that no
	// process hands out keys of its form.
	KeyExpired RefusalReason = "keyExpired"
	// AnswerNotKept says that an earlier request with the key ran and that its
	// answer was too large to keep.
	AnswerNotKept RefusalReason = "answerNotKept"
	// ClaimsFull says that there is no room to claim another key.
	ClaimsFull RefusalReason = "claimsFull"
	// UpstreamFailed says that the upstream did not give a complete answer.
	UpstreamFailed RefusalReason = "upstreamFailed"
	// HeldOff says that upstreams ended while they ran the request, and that it is
	// therefore sent to no others.
	HeldOff RefusalReason = "heldOff"
	// CallerGone says that the caller closed its connection.
	CallerGone RefusalReason = "callerGone"
)

// Observation is what an entry VM measured of an upstream during one attempt.
type Observation struct {
	// Failed is set when the upstream did not give a complete answer.
	Failed bool
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// BetweenTokens is the mean time between tokens.
	BetweenTokens time.Duration
	// Tokens is the number of tokens received.
	Tokens int
	// Total is the time from sending to the end.
	Total time.Duration
	// Paused is how long the engine paused the request, as the engine reports it.
	Paused time.Duration
	// Backoff is how long an upstream that refused the request wants no other.
	Backoff time.Duration
}

// GrantRelease returns a slot to the owner of its shard.
type GrantRelease struct {
	Shard       Shard
	Grant       definer.GrantID
	Request     definer.RequestID
	Upstream    definer.UpstreamName
	Class       definer.ClassName
	Observation Observation
}

// GrantWithdraw cancels a GrantAsk.
type GrantWithdraw struct {
	Shard   Shard
	Request definer.RequestID
	Attempt int
}

// HeldGrant is a grant that an entry VM still uses.
type HeldGrant struct {
	Grant   definer.GrantID
	Request definer.RequestID
	// Attempt is the number of the attempt that runs under the grant.
	Attempt      int
	Class        definer.ClassName
	Organisation definer.OrganisationName
	Upstream     definer.UpstreamName
	Age          time.Duration
	Tokens       int
}

// UpstreamNotice tells the owner of a shard that an upstream has announced to be
// leaving.
type UpstreamNotice struct {
	Shard    Shard
	Upstream definer.UpstreamName
}

// GrantReport lists, for the owner of a shard, all grants of the shard that an entry
// VM holds. A grant that is not listed has been returned.
type GrantReport struct {
	Shard  Shard
	Grants []HeldGrant
}

// MemberState is the state of a member as the failure detector sees it.
type MemberState string

const (
	// Alive members answer heartbeats.
	Alive MemberState = "alive"
	// Suspect members missed heartbeats and may still refute the suspicion.
	Suspect MemberState = "suspect"
	// Failed members are considered dead.
	Failed MemberState = "failed"
	// Left members have shut down as planned.
	Left MemberState = "left"
)

// MemberChange is the state of one member, as members spread it by gossip.
type MemberChange struct {
	Member     definer.Member
	DataCentre definer.DataCentre
	// Address is where the member listens for the inner protocol.
	Address string
	State   MemberState
	// Sequence orders the refutations that the member sends within one incarnation.
	Sequence uint64
	// Draining members own no shards and take no new requests.
	Draining bool
}

// Heartbeat tells a member that the sender is alive and carries gossip.
type Heartbeat struct {
	Sequence uint64
	// Answer asks for a HeartbeatAnswer.
	Answer bool
	// Sync asks that the answer hold the receiver's whole view of the members.
	Sync bool
	// Target, when set, is the member that the receiver shall probe for the sender.
	Target  definer.VM
	Changes []MemberChange
	// Configuration is the configuration version that the sender applies.
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

// ConfigurationAnnounce tells a peer which version is in force at the sender.
type ConfigurationAnnounce struct {
	Version uint64
	// Digest is a short hash of the version's whole list of sections.
	Digest string
}

// ConfigurationAsk tells a peer which version the sender has in force and asks for
// what is newer: the differences of the list of sections, and sections.
type ConfigurationAsk struct {
	// Version and Digest are those in force at the sender; Version 0 means none yet.
	Version uint64
	Digest  string
	// Hashes lists the sections wanted; an empty list asks for those that differ.
	Hashes []string
	// Offset is how many bytes the sender has of the first section in Hashes.
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
	// Offset is where the part begins and Size the length of the whole content, in bytes.
	Offset int
	Size   int
	Data   []byte
}

// ConfigurationAnswer describes a newer version than the asker's by the differences
// of its list of sections, and carries as many sections as fit.
type ConfigurationAnswer struct {
	Version uint64
	Digest  string
	// Base is the digest of the list to which Changed and Removed apply; it is empty
	// when Changed is the whole list.
	Base    string
	Changed []SectionSum
	Removed []string
	Pieces  []Piece
}

// CallForward forwards a call with an idempotency key to the process to which the key
// is bound.
type CallForward struct {
	Request      definer.RequestID
	Organisation definer.OrganisationName
	Method       string
	Path         string
	Header       map[string][]string
	Body         []byte
	// Remaining is the time to the call's deadline; 0 means no deadline.
	Remaining time.Duration
	// ReplyTo is the address to which the answer is sent.
	ReplyTo string
}

// CallAnswer is the complete answer to a CallForward, or the notice that the call is
// still running.
type CallAnswer struct {
	Request definer.RequestID
	// Status is the HTTP status; it is 0 while the call is running, and the fields after
	// it are then empty.
	Status  int
	Header  map[string][]string
	Body    []byte
	Outcome definer.Outcome
}

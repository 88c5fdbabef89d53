package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
)

// Event is an input of the state machine.
type Event interface{ isEvent() }

// RequestArrived reports an authenticated request of a caller.
type RequestArrived struct {
	Request      definer.RequestID
	Organisation definer.OrganisationName
	Properties   matcher.Properties
	// Key is the caller's Idempotency-Key; empty when there is none.
	Key string
	// BodyHash distinguishes requests with the same key and different bodies.
	BodyHash string
	// Identity is the same for all attempts of the request, on every node.
	Identity definer.RequestIdentity
	// Prefix is a hash of the beginning of the prompt; 0 means none.
	Prefix uint64
	// Deadline is the caller's bound on the duration of the whole request; 0
	// means none.
	Deadline time.Duration
	// Forwarded reports that a peer forwarded the call because its key is bound
	// to this process.
	Forwarded bool
}

// KeyRequested reports that a caller asks for a key bound to this process.
type KeyRequested struct {
	Request definer.RequestID
}

// CallForwarded reports the result of a ForwardCall.
type CallForwarded struct {
	Request definer.RequestID
	// Answered reports whether the caller got the peer's whole answer.
	Answered bool
}

// CallerLeft reports that the caller of a request has disconnected.
type CallerLeft struct {
	Request definer.RequestID
}

// AttemptResult is the way in which an attempt ended.
type AttemptResult string

const (
	// AttemptComplete attempts delivered the whole answer to the caller.
	AttemptComplete AttemptResult = "complete"
	// AttemptUnsent attempts wrote no byte to the upstream.
	AttemptUnsent AttemptResult = "unsent"
	// AttemptRefused attempts were refused by the upstream in a way that proves
	// that they did not run.
	AttemptRefused AttemptResult = "refusedUnrun"
	// AttemptCut attempts ended before the end mark of the answer.
	AttemptCut AttemptResult = "cut"
	// AttemptBroken attempts got an invalid answer.
	AttemptBroken AttemptResult = "broken"
	// AttemptTimedOut attempts received no byte for too long.
	AttemptTimedOut AttemptResult = "timedOut"
	// AttemptAbandoned attempts ended because the caller disconnected.
	AttemptAbandoned AttemptResult = "abandoned"
)

// StoredAnswer is a whole answer, stored to be replayed to a repeat of its
// request.
type StoredAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// AttemptEnded reports that an attempt is over.
type AttemptEnded struct {
	Request definer.RequestID
	Attempt definer.AttemptID
	Result  AttemptResult
	// Delivered counts the tokens of the whole request that the caller got.
	Delivered int
	// AnswerBegun reports that the caller has got a part of the answer.
	AnswerBegun bool
	// Resumable reports that a next attempt can continue after the token
	// Delivered.
	Resumable   bool
	Observation messenger.Observation
	// RetryAfter is the delay that a refusing upstream asked for; 0 means none.
	RetryAfter time.Duration
	// Leaving reports that the upstream refused because it is leaving.
	Leaving bool
	// UpstreamEnded reports that the upstream ended with the attempt on it,
	// which had only just started.
	UpstreamEnded bool
	// Answer is set for calls whose rule keeps the answer for repeats.
	Answer *StoredAnswer
}

// AttemptProgressed reports how many tokens of a request have been delivered.
type AttemptProgressed struct {
	Request   definer.RequestID
	Attempt   definer.AttemptID
	Delivered int
}

// MessageReceived reports a message from a peer.
type MessageReceived struct {
	From       definer.Member
	DataCentre definer.DataCentre
	Message    messenger.Message
}

// TimerFired reports that a timer set with SetTimer is due.
type TimerFired struct {
	Key TimerKey
}

// ListedVM is one entry of the platform's list of VMs.
type ListedVM struct {
	Name       string
	DataCentre definer.DataCentre
	Address    string
	// Upstream reports that the VM is an upstream's, not one of this system.
	Upstream bool
	Leaving  bool
}

// VMsListed reports the platform's list of VMs, which may be out of date.
type VMsListed struct {
	VMs []ListedVM
}

// ConfigurationFound reports a configuration read from the platform.
type ConfigurationFound struct {
	Head     ConfigurationHead
	Contents []messenger.Section
}

// ConfigurationHead lists the sections of one version of the configuration.
type ConfigurationHead struct {
	Version  uint64
	Sections []messenger.SectionSum
}

// PlatformAnswered reports the result of a CallPlatform action.
type PlatformAnswered struct {
	// Call is the number of the CallPlatform action.
	Call uint64
	// Result says whether the call took effect.
	Result PlatformResult
	// Version and Value are those of the object after the call.
	Version uint64
	Value   []byte
}

// PlatformResult is the result of a call to the platform.
type PlatformResult string

const (
	// CallDone calls took effect; for a read, the object was found.
	CallDone PlatformResult = "done"
	// CallConflict calls named another version than the object has.
	CallConflict PlatformResult = "conflict"
	// CallMissing calls found no object.
	CallMissing PlatformResult = "missing"
	// CallLost calls got no answer; they may have taken effect.
	CallLost PlatformResult = "lost"
	// CallRejected calls were refused and had no effect.
	CallRejected PlatformResult = "rejected"
)

// UpstreamLeaving reports that an upstream announced that it is leaving, in its
// health answer or when it refused an attempt.
type UpstreamLeaving struct {
	Name definer.UpstreamName
}

// UpstreamAnnounced reports the rate limit and state that an upstream announced
// in an answer.
type UpstreamAnnounced struct {
	Upstream definer.UpstreamName
	// SentAt is when the answered request was sent.
	SentAt time.Time
	// Limit is the request rate that the upstream accepts from all nodes
	// together.
	Limit definer.RateLimit
	// Leaving reports that the upstream is leaving.
	Leaving bool
}

// LiftRequested asks to send a request again that is held off because upstreams
// ended while they ran it.
type LiftRequested struct {
	Identity definer.RequestIdentity
}

// DrainRequested asks for a planned stop of the node.
type DrainRequested struct{}

func (RequestArrived) isEvent()     {}
func (KeyRequested) isEvent()       {}
func (CallForwarded) isEvent()      {}
func (CallerLeft) isEvent()         {}
func (AttemptEnded) isEvent()       {}
func (AttemptProgressed) isEvent()  {}
func (MessageReceived) isEvent()    {}
func (TimerFired) isEvent()         {}
func (VMsListed) isEvent()          {}
func (ConfigurationFound) isEvent() {}
func (PlatformAnswered) isEvent()   {}
func (UpstreamLeaving) isEvent()    {}
func (UpstreamAnnounced) isEvent()  {}
func (DrainRequested) isEvent()     {}
func (LiftRequested) isEvent()      {}

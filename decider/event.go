package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
)

// Event is anything that the core is told.
type Event interface{ isEvent() }

// RequestArrived tells of a caller's request that has been authenticated.
type RequestArrived struct {
	Request      definer.RequestID
	Organisation definer.OrganisationName
	Properties   matcher.Properties
	// Key is the caller's Idempotency-Key; empty when there is none.
	Key string
	// BodyHash tells two bodies under one key apart.
	BodyHash string
	// Identity is the same for all attempts of the request, at each node.
	Identity definer.RequestIdentity
	// Prefix is a hash of the prompt's beginning; 0 is none.
	Prefix uint64
	// Deadline is the caller's own bound on the whole request; 0 is none.
	Deadline time.Duration
	// Forwarded says that a peer handed the call on, as its key is bound to
	// this process.
	Forwarded bool
}

// KeyWanted tells of a caller that asks for a key bound to this process.
type KeyWanted struct {
	Request definer.RequestID
}

// CallForwarded tells what became of a ForwardCall.
type CallForwarded struct {
	Request definer.RequestID
	// Answered says that the caller has been given the peer's whole answer.
	Answered bool
}

// CallerLeft tells that the caller of a request has gone.
type CallerLeft struct {
	Request definer.RequestID
}

// AttemptResult tells how an attempt ended.
type AttemptResult string

const (
	// Complete attempts gave the whole answer to the caller.
	Complete AttemptResult = "complete"
	// Unsent attempts never wrote a byte to the upstream.
	Unsent AttemptResult = "unsent"
	// RefusedUnrun attempts were provably refused before running.
	RefusedUnrun AttemptResult = "refusedUnrun"
	// Cut attempts ended before the end mark of the answer.
	Cut AttemptResult = "cut"
	// Broken attempts got an answer that cannot be used.
	Broken AttemptResult = "broken"
	// TimedOut attempts got no byte for too long.
	TimedOut AttemptResult = "timedOut"
	// Abandoned attempts ended because the caller left.
	Abandoned AttemptResult = "abandoned"
)

// StoredAnswer is a whole answer that can be given to a repeat of its request.
type StoredAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// AttemptEnded tells that an attempt is over.
type AttemptEnded struct {
	Request definer.RequestID
	Attempt definer.AttemptID
	Result  AttemptResult
	// Delivered counts the tokens of the whole request given to the caller.
	Delivered int
	// Begun says that the caller has got a part of the answer.
	Begun bool
	// Resumable says that a next attempt can go on at the token Delivered.
	Resumable   bool
	Observation messenger.Observation
	// RetryAfter is what a refusing upstream asked for; 0 is nothing.
	RetryAfter time.Duration
	// Leaving says that the upstream refused since it is leaving.
	Leaving bool
	// UpstreamEnded says that the upstream has ended with the attempt on it, which had only
	// just begun.
	UpstreamEnded bool
	// Answer is set for calls whose rule keeps the answer for repeats.
	Answer *StoredAnswer
}

// AttemptProgressed tells how many tokens of a request have been delivered.
type AttemptProgressed struct {
	Request   definer.RequestID
	Attempt   definer.AttemptID
	Delivered int
}

// MessageReceived tells of a message from a peer.
type MessageReceived struct {
	From       definer.Member
	DataCentre definer.DataCentre
	Message    messenger.Message
}

// TimerFired tells that a timer set by the core has come due.
type TimerFired struct {
	Key TimerKey
}

// ListedVM is one line of the platform's list of VMs.
type ListedVM struct {
	Name       string
	DataCentre definer.DataCentre
	Address    string
	// Upstream says that it is an upstream's VM, not one of the system's.
	Upstream bool
	Leaving  bool
}

// VMsListed tells what the platform's list of VMs says; it may lag.
type VMsListed struct {
	VMs []ListedVM
}

// ConfigurationFound tells of a configuration read from the platform.
type ConfigurationFound struct {
	Head     Head
	Contents []messenger.Section
}

// Head names the sections of one version of the configuration.
type Head struct {
	Version  uint64
	Sections []messenger.SectionSum
}

// PlatformAnswered tells what became of a CallPlatform action.
type PlatformAnswered struct {
	// Call is the number of the action.
	Call uint64
	// Result tells whether the call took effect.
	Result PlatformResult
	// Version and Value are those of the object as it now stands.
	Version uint64
	Value   []byte
}

// PlatformResult tells what became of a call to the platform.
type PlatformResult string

const (
	// Done calls took effect; reads found the object.
	Done PlatformResult = "done"
	// Conflict calls met another version than they named.
	Conflict PlatformResult = "conflict"
	// Missing calls found no object.
	Missing PlatformResult = "missing"
	// Lost calls got no answer; they may have taken effect.
	Lost PlatformResult = "lost"
	// Rejected calls were turned away and had no effect.
	Rejected PlatformResult = "rejected"
)

// UpstreamLeaving tells that an upstream said it is leaving: in its health
// answer, or when it refused an attempt.
type UpstreamLeaving struct {
	Name definer.UpstreamName
}

// UpstreamAnnounced tells what an answer says of how its upstream wants to be asked.
type UpstreamAnnounced struct {
	Upstream definer.UpstreamName
	// SentAt is when the request was sent that it answers.
	SentAt time.Time
	// Limit is what the upstream takes from all nodes together.
	Limit definer.RateLimit
	// Leaving says that it is leaving.
	Leaving bool
}

// LiftRequested lets a request be sent again that upstreams ended under.
type LiftRequested struct {
	Identity definer.RequestIdentity
}

// DrainRequested asks the node to stop as planned.
type DrainRequested struct{}

func (RequestArrived) isEvent()     {}
func (KeyWanted) isEvent()          {}
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

package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Action is an output of the state machine, for the shell to carry out.
type Action interface{ isAction() }

// RequestAction is an action for one request of this node's callers.
type RequestAction interface {
	Action
	// RequestID returns the id of the request.
	RequestID() definer.RequestID
}

// StartAttempt sends a request to an upstream.
type StartAttempt struct {
	Request     definer.RequestID
	Attempt     definer.AttemptID
	Upstream    *definer.Upstream
	Kind        definer.PoolKind
	Priority    int
	Preemptible bool
	// Offset is the number of tokens that the caller already has.
	Offset int
	// Deadline is zero when there is none.
	Deadline time.Time
	// Repeatable reports that the request may run more than once.
	Repeatable bool
	// KeepAnswer asks for the whole answer in AttemptEnded. An attempt that
	// keeps its answer continues when the caller disconnects.
	KeepAnswer bool
	// StartBy, unless zero, is the time after which no first byte may be sent
	// to the upstream; the attempt then ends as AttemptUnsent.
	StartBy time.Time
}

// CancelAttempt stops an attempt and tells its upstream.
type CancelAttempt struct {
	Request  definer.RequestID
	Attempt  definer.AttemptID
	Upstream *definer.Upstream
}

// CancelUpstreamWork tells an upstream to stop an attempt that another member
// started and can no longer cancel itself.
type CancelUpstreamWork struct {
	Attempt  definer.AttemptID
	Upstream *definer.Upstream
}

// RefuseRequest ends a request with an error; it is the last action for the
// request.
type RefuseRequest struct {
	Request definer.RequestID
	Refusal Refusal
}

// Refusal is the error answer to a request that got no whole answer.
type Refusal struct {
	Status  int
	Reason  messenger.RefusalReason
	Message string
	Outcome definer.Outcome
	// RetryAfter is 0 when a retry cannot help.
	RetryAfter time.Duration
	// KeyOffer is a key bound to this process that a caller may use in place of
	// its own, if it knows that it sent its own for the first time.
	KeyOffer string
}

// FinishRequest closes a request whose whole answer has been delivered.
type FinishRequest struct {
	Request definer.RequestID
}

// ReplayAnswer ends a request with a stored answer.
type ReplayAnswer struct {
	Request definer.RequestID
	Answer  StoredAnswer
}

// ForwardCall forwards a call to the process that its key is bound to, and the
// answer of that process to the caller; CallForwarded follows.
type ForwardCall struct {
	Request definer.RequestID
	To      definer.VM
	Address string
	// Remaining is the time to the deadline; 0 means no deadline.
	Remaining time.Duration
}

// KeyIssued answers KeyRequested with a key bound to this process. The key is
// empty while the node stops, because the key would end with it.
type KeyIssued struct {
	Request definer.RequestID
	Key     string
}

// SendMessage sends a message to a peer. Messages may be lost.
type SendMessage struct {
	To      definer.VM
	Address string
	Message messenger.Message
}

// TimerKey identifies a timer by the component that it belongs to and an id
// within the component.
type TimerKey struct {
	Component string
	ID        string
}

// SetTimer asks for a TimerFired at the given time and replaces the timer of
// the same key.
type SetTimer struct {
	Key TimerKey
	At  time.Time
}

// ClearTimer cancels the timer of the key.
type ClearTimer struct {
	Key TimerKey
}

// PlatformVerb is the operation of a call to the platform.
type PlatformVerb string

const (
	// ReadObject reads one object.
	ReadObject PlatformVerb = "read"
	// CreateObject writes an object that must not exist yet.
	CreateObject PlatformVerb = "create"
	// UpdateObject writes an object that must have the named version.
	UpdateObject PlatformVerb = "update"
	// DeleteObject deletes an object that must have the named version.
	DeleteObject PlatformVerb = "delete"
)

// CallPlatform makes one call to the platform; PlatformAnswered follows.
type CallPlatform struct {
	// Call identifies the call within the process.
	Call    uint64
	Verb    PlatformVerb
	Kind    string
	Name    string
	Version uint64
	Value   []byte
}

// WatchPlatform says whether this node is to watch the platform's list of VMs
// and its configuration.
type WatchPlatform struct {
	Watch bool
}

// Record counts one ended request in the metrics.
type Record struct {
	Request      definer.RequestID
	Class        definer.ClassName
	Pool         definer.PoolName
	Organisation definer.OrganisationName
	// MetTargets reports that the whole answer came within the class's targets.
	MetTargets bool
	// Complete reports that the caller got the whole answer.
	Complete bool
	// Reason is empty for a complete request.
	Reason  messenger.RefusalReason
	Outcome definer.Outcome
	// Tokens counts the delivered tokens, Wasted those that were computed and
	// discarded.
	Tokens  int
	Wasted  int
	Retries int
	// FirstToken and Total are measured from the arrival of the request.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Total         time.Duration
}

// LogEvent writes one numbered event to the log.
type LogEvent struct {
	Number int
	// Pairs are alternating keys and values.
	Pairs []any
}

// ConfigurationApplied reports the configuration that is now in force.
type ConfigurationApplied struct {
	Configuration *definer.Configuration
}

// Stopped reports that a planned stop is complete: no request, claim or message
// is left to wait for.
type Stopped struct{}

func (StartAttempt) isAction()         {}
func (CancelAttempt) isAction()        {}
func (CancelUpstreamWork) isAction()   {}
func (RefuseRequest) isAction()        {}
func (FinishRequest) isAction()        {}
func (ReplayAnswer) isAction()         {}
func (ForwardCall) isAction()          {}
func (KeyIssued) isAction()            {}
func (SendMessage) isAction()          {}
func (SetTimer) isAction()             {}
func (ClearTimer) isAction()           {}
func (CallPlatform) isAction()         {}
func (WatchPlatform) isAction()        {}
func (Record) isAction()               {}
func (LogEvent) isAction()             {}
func (ConfigurationApplied) isAction() {}
func (Stopped) isAction()              {}

// RequestID returns the id of the request.
func (action StartAttempt) RequestID() definer.RequestID { return action.Request }

// RequestID returns the id of the request.
func (action CancelAttempt) RequestID() definer.RequestID { return action.Request }

// RequestID returns the id of the request.
func (action RefuseRequest) RequestID() definer.RequestID { return action.Request }

// RequestID returns the id of the request.
func (action FinishRequest) RequestID() definer.RequestID { return action.Request }

// RequestID returns the id of the request.
func (action ReplayAnswer) RequestID() definer.RequestID { return action.Request }

// RequestID returns the id of the request.
func (action ForwardCall) RequestID() definer.RequestID { return action.Request }

// RequestID returns the id of the request.
func (action KeyIssued) RequestID() definer.RequestID { return action.Request }

package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Action is anything that the core wants done.
type Action interface{ isAction() }

// RequestAction is an action for one request of this node's callers.
type RequestAction interface {
	Action
	// For returns the request.
	For() definer.RequestID
}

// StartAttempt wants a request sent to an upstream.
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
	// Repeatable says that the request may run more than once.
	Repeatable bool
	// KeepAnswer wants the whole answer in AttemptEnded. Such an attempt goes on
	// when the caller leaves.
	KeepAnswer bool
	// StartBy, when not zero, is the time after which no first byte may go to
	// the upstream any more; the attempt then ends Unsent.
	StartBy time.Time
}

// CancelAttempt wants an attempt stopped and its upstream told.
type CancelAttempt struct {
	Request  definer.RequestID
	Attempt  definer.AttemptID
	Upstream *definer.Upstream
}

// CancelUpstreamWork wants an upstream told to stop an attempt that another
// member began and can no longer end.
type CancelUpstreamWork struct {
	Attempt  definer.AttemptID
	Upstream *definer.Upstream
}

// RefuseRequest wants a request ended with an error; no more follows for it.
type RefuseRequest struct {
	Request definer.RequestID
	Refusal Refusal
}

// Refusal is the honest answer to a request that got no whole answer.
type Refusal struct {
	Status  int
	Reason  messenger.RefusalReason
	Message string
	Outcome definer.Outcome
	// RetryAfter is 0 when coming again makes no sense.
	RetryAfter time.Duration
	// KeyOffer is a key bound to this process that a caller may use instead of
	// its own, if it knows that it sent its own for the first time.
	KeyOffer string
}

// FinishRequest wants a request closed whose whole answer has been given.
type FinishRequest struct {
	Request definer.RequestID
}

// ReplayAnswer wants a request ended with an answer that was kept.
type ReplayAnswer struct {
	Request definer.RequestID
	Answer  StoredAnswer
}

// ForwardCall wants a call handed on to the process that its key is bound to,
// and that one's answer given to the caller; CallForwarded follows.
type ForwardCall struct {
	Request definer.RequestID
	To      definer.VM
	Address string
	// Remaining is the time to the deadline; 0 is no deadline.
	Remaining time.Duration
}

// KeyIssued answers KeyWanted with a key bound to this process. The key is
// empty while the node stops, as it would end with it.
type KeyIssued struct {
	Request definer.RequestID
	Key     string
}

// SendMessage wants a message sent to a peer. Messages may be lost.
type SendMessage struct {
	To      definer.VM
	Address string
	Message messenger.Message
}

// TimerKey names a timer: the part of the core it belongs to and what for.
type TimerKey struct {
	Part string
	ID   string
}

// SetTimer wants a TimerFired at the time; it replaces one of the same key.
type SetTimer struct {
	Key TimerKey
	At  time.Time
}

// ClearTimer wants no TimerFired for the key.
type ClearTimer struct {
	Key TimerKey
}

// PlatformVerb tells what a call to the platform does.
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

// CallPlatform wants one call to the platform; PlatformAnswered follows.
type CallPlatform struct {
	// Call is unique within the process.
	Call    uint64
	Verb    PlatformVerb
	Kind    string
	Name    string
	Version uint64
	Value   []byte
}

// WatchPlatform tells whether this node holds the platform's watches.
type WatchPlatform struct {
	Hold bool
}

// Record wants one ended request counted.
type Record struct {
	Request      definer.RequestID
	Class        definer.ClassName
	Pool         definer.PoolName
	Organisation definer.OrganisationName
	// Met says that the whole answer came within the class's targets.
	Met bool
	// Complete says that the caller got the whole answer.
	Complete bool
	// Reason is empty for a complete request.
	Reason  messenger.RefusalReason
	Outcome definer.Outcome
	// Tokens counts those delivered; Wasted those computed and discarded.
	Tokens  int
	Wasted  int
	Retries int
	// FirstToken and Total are counted from the arrival.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Total         time.Duration
}

// LogEvent wants one numbered event in the log.
type LogEvent struct {
	Number int
	// Pairs are names and values in turn.
	Pairs []any
}

// ConfigurationApplied tells the shell which configuration is now in force.
type ConfigurationApplied struct {
	Configuration *definer.Configuration
}

// Stopped tells that a drain is over: nothing is left to wait for.
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

// For returns the request.
func (action StartAttempt) For() definer.RequestID { return action.Request }

// For returns the request.
func (action CancelAttempt) For() definer.RequestID { return action.Request }

// For returns the request.
func (action RefuseRequest) For() definer.RequestID { return action.Request }

// For returns the request.
func (action FinishRequest) For() definer.RequestID { return action.Request }

// For returns the request.
func (action ReplayAnswer) For() definer.RequestID { return action.Request }

// For returns the request.
func (action ForwardCall) For() definer.RequestID { return action.Request }

// For returns the request.
func (action KeyIssued) For() definer.RequestID { return action.Request }

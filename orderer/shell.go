package orderer

import (
	"time"

	"limpetcleat/definer"
)

// Verb tells what a call to the platform does with the lease object.
type Verb string

const (
	// Read reads the object.
	Read Verb = "read"
	// Create writes the object, which must not exist yet.
	Create Verb = "create"
	// Update writes the object, which must have the named version.
	Update Verb = "update"
)

// Result tells what became of a call to the platform.
type Result string

const (
	// Done calls took effect.
	Done Result = "done"
	// Lost calls may have taken effect, or may yet do so.
	Lost Result = "lost"
	// Conflict calls met another version than they named.
	Conflict Result = "conflict"
	// Missing calls found no object.
	Missing Result = "missing"
	// Rejected calls had no effect.
	Rejected Result = "rejected"
)

// Call is a call to the platform for the lease object.
type Call struct {
	Verb    Verb
	Name    string
	Version uint64
	Value   []byte
}

// Answer is the platform's answer to the one call under way. Version and Value
// are those of the object as it stands, also after a conflict.
type Answer struct {
	Result  Result
	Version uint64
	Value   []byte
}

// Act tells what an order wants of an engine.
type Act string

const (
	// ReadState wants only to know the engine's state.
	ReadState Act = "read"
	// Load wants a model held.
	Load Act = "load"
	// Unload wants a model no longer held.
	Unload Act = "unload"
	// SetRole wants the engine to have a role.
	SetRole Act = "role"
)

// Order is one order to one engine. It names a wanted end state, so that it may
// be carried out more than once.
type Order struct {
	// Number is unique within the process.
	Number   uint64
	Upstream *definer.Upstream
	Act      Act
	Model    string
	Role     string
	// Fencing is the version of the lease object that the holder wrote.
	Fencing uint64
	// SendBy is the time after which no first byte of it may be sent.
	SendBy time.Time
	// Timeout bounds the wait for the engine's answer.
	Timeout time.Duration
}

// Outcome tells what became of an order.
type Outcome string

const (
	// Taken orders were answered with the engine's state.
	Taken Outcome = "taken"
	// Unsent orders were too late; no byte of them was sent.
	Unsent Outcome = "unsent"
	// OldFencing orders were refused, as the engine took a later number.
	OldFencing Outcome = "oldFencing"
	// Refused orders were refused for another reason.
	Refused Outcome = "refused"
	// Unanswered orders may have been carried out, or may yet be.
	Unanswered Outcome = "unanswered"
)

// OrderAnswer is the answer to an order.
type OrderAnswer struct {
	Number  uint64
	Outcome Outcome
	// State is the engine's own account, if Known.
	State State
	Known bool
	// RetryAfter is what a refusing engine asked for; 0 is nothing.
	RetryAfter time.Duration
}

// State is what an engine says of itself.
type State struct {
	Models []string
	Role   string
}

// Notice is something worth telling operators.
type Notice string

const (
	// LeaseTaken says that this process holds the lease.
	LeaseTaken Notice = "leaseTaken"
	// LeaseLost says that it no longer does.
	LeaseLost Notice = "leaseLost"
	// OrderSent says that an order other than a reading is sent.
	OrderSent Notice = "orderSent"
	// OrderFailed says that an order was not taken.
	OrderFailed Notice = "orderFailed"
	// Differs says that an engine is not as wanted.
	Differs Notice = "differs"
	// Matches says that an engine is as wanted again.
	Matches Notice = "matches"
)

// Shell is what an orderer needs done.
type Shell interface {
	// CallPlatform makes a call; its answer goes to Orderer.Answered.
	CallPlatform(call Call)
	// WakeAt wants Orderer.Fired at the time; it replaces the one before.
	WakeAt(at time.Time)
	// Send sends an order; its answer goes to Orderer.OrderAnswered, or is lost.
	Send(order Order)
	// Tell notes something; pairs are names and values in turn.
	Tell(notice Notice, pairs ...any)
}

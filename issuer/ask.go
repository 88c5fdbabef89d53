package issuer

import (
	"time"

	"limpetcleat/definer"
)

// AskID names an ask: a node, and its number there.
type AskID struct {
	From   definer.VM
	Number uint64
}

// Ask is one ask for a permit.
type Ask struct {
	ID AskID
	// Tier is the rank of the request; 0 is the highest.
	Tier int
	// Patience is how long the request can wait for the permit; with 0 it is decided at once.
	Patience time.Duration
}

// Verdict is what became of an ask.
type Verdict int

const (
	// Granted asks may send their request, at once and once.
	Granted Verdict = iota
	// Queued asks are decided on later.
	Queued
	// Denied asks may not send it.
	Denied
)

// Decision is the verdict on an ask.
type Decision struct {
	ID      AskID
	Verdict Verdict
	// After is when the permit of a queued ask is expected, or after what time it is worth
	// asking again behind a denied one.
	After time.Duration
}

// waiter is an ask in the queue.
type waiter struct {
	ask Ask
	// until is when its patience ends.
	until time.Time
}

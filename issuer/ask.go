package issuer

import (
	"time"

	"limpetcleat/definer"
)

// AskID identifies an ask by the node that sent it and a number chosen by that node.
type AskID struct {
	From   definer.VM
	Number uint64
}

// Ask is a request for one permit.
type Ask struct {
	ID AskID
	// Tier is the tier of the request; 0 is the highest.
	Tier int
	// Patience is how long the request can wait for the permit. With 0, an ask that cannot be
	// granted at once is denied.
	Patience time.Duration
}

// Verdict is the result of an ask.
type Verdict int

const (
	// Granted means that the request may be sent, at once and only once.
	Granted Verdict = iota
	// Queued means that the ask is decided on later.
	Queued
	// Denied means that the request may not be sent.
	Denied
)

// Decision is the verdict on an ask.
type Decision struct {
	ID      AskID
	Verdict Verdict
	// After is the expected wait of a queued ask, or the time after which a denied node should
	// ask again. For a granted ask it is the lease of the permit, 0 if that is not in use until its
	// request ends.
	After time.Duration
}

// queuedAsk is an ask in the queue.
type queuedAsk struct {
	ask Ask
	// deadline is when its patience ends.
	deadline time.Time
}

package gatekeeper

import (
	"fmt"
	"sync/atomic"
	"time"

	"limpetcleat/definer"
)

// Denial is the error for a connection that may not be opened.
type Denial struct {
	// RetryAfter is the time after which to ask again.
	RetryAfter time.Duration
	// Asked is set if another connection was denied by the issuer, not by what this node knows.
	Asked bool
}

// Error returns the message with the time.
func (denial *Denial) Error() string {
	return fmt.Sprintf("the upstream accepts no further connection of this node; retry after %v", denial.RetryAfter)
}

// Pass is the leave for one connection. It is safe for concurrent use.
type Pass struct {
	gatekeeper *Gatekeeper
	start      definer.UpstreamStart
	// accepted is the number of connections that the upstream accepts from all nodes together.
	accepted int
	// reset is set once the upstream has reset the connection, and used once it has answered on it.
	reset  atomic.Bool
	used   atomic.Bool
	closed atomic.Bool
}

// Used records that the upstream has answered on the connection.
func (pass *Pass) Used() {
	if !pass.used.Load() && pass.used.CompareAndSwap(false, true) {
		pass.gatekeeper.recordUsed(pass)
	}
}

// Reset records that the connection was reset. It counts as a sign that the upstream accepts no more if
// nothing was received on it before.
func (pass *Pass) Reset() {
	if !pass.used.Load() && pass.reset.CompareAndSwap(false, true) {
		pass.gatekeeper.recordReset(time.Now(), pass)
	}
}

// Scarce reports whether the connection should be closed soon after its use, because this node holds
// permits that other nodes may need.
func (pass *Pass) Scarce() bool { return pass.gatekeeper.permitted(pass.start) }

// Close ends the leave. Further calls have no effect.
func (pass *Pass) Close() {
	if pass.closed.CompareAndSwap(false, true) {
		pass.gatekeeper.close(pass)
	}
}

package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Suspicions stores which requests are suspected of crashing upstreams, and exchanges
// this with peers. Its methods may be called while the lock of the Exchanger is held.
type Suspicions interface {
	// NextReport returns the suspicions for the next report of the scope.
	NextReport(now time.Time, scope messenger.LoadScope) []messenger.UpstreamFall
	// Learn stores the suspicions in a report of the scope from a peer.
	Learn(now time.Time, from definer.VM, scope messenger.LoadScope, falls []messenger.UpstreamFall)
}

// noSuspicions is the default Suspicions; it exchanges none.
type noSuspicions struct{}

// NextReport returns no suspicions.
func (noSuspicions) NextReport(time.Time, messenger.LoadScope) []messenger.UpstreamFall { return nil }

// Learn ignores the suspicions.
func (noSuspicions) Learn(time.Time, definer.VM, messenger.LoadScope, []messenger.UpstreamFall) {}

package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Suspicions stores which requests are suspected of crashing upstreams, and exchanges
// this with peers. Its methods may be called while the lock of the Exchanger is held.
type Suspicions interface {
	// Tell returns the suspicions for the next report of the scope.
	Tell(now time.Time, scope messenger.LoadScope) []messenger.UpstreamFall
	// Learn stores the suspicions in a report of the scope from a peer.
	Learn(now time.Time, from definer.VM, scope messenger.LoadScope, falls []messenger.UpstreamFall)
}

// unsuspecting is the default Suspicions; it exchanges none.
type unsuspecting struct{}

// Tell returns no suspicions.
func (unsuspecting) Tell(time.Time, messenger.LoadScope) []messenger.UpstreamFall { return nil }

// Learn ignores the suspicions.
func (unsuspecting) Learn(time.Time, definer.VM, messenger.LoadScope, []messenger.UpstreamFall) {}

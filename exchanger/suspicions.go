package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Suspicions is what this node knows of requests that make upstreams end, and tells others.
// They may be called with the lock of the exchanger held.
type Suspicions interface {
	// Tell returns what the next report of the scope tells.
	Tell(now time.Time, scope messenger.LoadScope) []messenger.UpstreamFall
	// Learn takes in what a peer's report of the scope told.
	Learn(now time.Time, from definer.VM, scope messenger.LoadScope, falls []messenger.UpstreamFall)
}

// unsuspecting is for nodes that exchange no suspicions.
type unsuspecting struct{}

// Tell tells nothing.
func (unsuspecting) Tell(time.Time, messenger.LoadScope) []messenger.UpstreamFall { return nil }

// Learn takes in nothing.
func (unsuspecting) Learn(time.Time, definer.VM, messenger.LoadScope, []messenger.UpstreamFall) {}

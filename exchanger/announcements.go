package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Announcements is what this node knows of how upstreams want to be asked, and tells others.
// They may be called with the lock of the exchanger held.
type Announcements interface {
	// Tell returns what the next report of the scope tells.
	Tell(now time.Time, scope messenger.LoadScope) []messenger.UpstreamAnnouncement
	// Learn takes in what a peer's report told.
	Learn(now time.Time, from definer.VM, told []messenger.UpstreamAnnouncement)
}

// unannounced is for nodes that exchange no announcements.
type unannounced struct{}

// Tell tells nothing.
func (unannounced) Tell(time.Time, messenger.LoadScope) []messenger.UpstreamAnnouncement { return nil }

// Learn takes in nothing.
func (unannounced) Learn(time.Time, definer.VM, []messenger.UpstreamAnnouncement) {}

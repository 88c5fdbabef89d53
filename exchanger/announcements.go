package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Announcements stores what upstreams announced, which is the rate of requests they
// accept and whether they are about to stop, and exchanges it with peers. Its methods may
// be called while the lock of the Exchanger is held.
type Announcements interface {
	// NextReport returns the announcements for the next report of the scope.
	NextReport(now time.Time, scope messenger.LoadScope) []messenger.UpstreamAnnouncement
	// Learn stores the announcements in the report of a peer.
	Learn(now time.Time, from definer.VM, announcements []messenger.UpstreamAnnouncement)
}

// noAnnouncements is the default Announcements; it exchanges none.
type noAnnouncements struct{}

// NextReport returns no announcements.
func (noAnnouncements) NextReport(time.Time, messenger.LoadScope) []messenger.UpstreamAnnouncement {
	return nil
}

// Learn ignores the announcements.
func (noAnnouncements) Learn(time.Time, definer.VM, []messenger.UpstreamAnnouncement) {}

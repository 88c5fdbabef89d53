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
	// RejectionLimits returns the rejection limits that every report contains, and whether this
	// node has been informed of those that peers know.
	RejectionLimits(now time.Time) (limits []messenger.RejectionLimit, informed bool)
	// LearnRejectionLimits stores the rejection limits in the report of a peer; informed is that of
	// the peer.
	LearnRejectionLimits(now time.Time, from definer.VM, limits []messenger.RejectionLimit, informed bool)
}

// noAnnouncements is the default Announcements; it exchanges none.
type noAnnouncements struct{}

// NextReport returns no announcements.
func (noAnnouncements) NextReport(time.Time, messenger.LoadScope) []messenger.UpstreamAnnouncement {
	return nil
}

// RejectionLimits returns no limits.
func (noAnnouncements) RejectionLimits(time.Time) ([]messenger.RejectionLimit, bool) {
	return nil, false
}

// LearnRejectionLimits ignores the limits.
func (noAnnouncements) LearnRejectionLimits(time.Time, definer.VM, []messenger.RejectionLimit, bool) {
}

// Learn ignores the announcements.
func (noAnnouncements) Learn(time.Time, definer.VM, []messenger.UpstreamAnnouncement) {}

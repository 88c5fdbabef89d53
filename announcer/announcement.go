package announcer

import (
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Announcement is what an upstream has announced about the requests that it accepts. The zero
// value means no limit and no planned end.
type Announcement struct {
	// Limit is the limit for the requests of all nodes together.
	Limit definer.RateLimit
	// Leaving is set once the upstream is about to end. It is never reset for the same start of
	// the upstream: even if that goes on after all, it gets no more requests in whose answers it
	// could say so.
	Leaving bool
}

// record is the latest announcement of one start of an upstream.
type record struct {
	announcement Announcement
	// at is the latest time, by this node's clock, at which it can have been made.
	at time.Time
	// source is who sent the last announcement that changed the record.
	source Source
	// pendingReports is the number of reports of each scope that are still to include it.
	pendingReports [messenger.ScopeCount]int
	// queued is set while it is in the queue of pending announcements.
	queued bool
}

// replacesLimit reports whether a limit that was announced between the two times replaces the
// recorded one. Answers may overtake each other: of two that may have been given in either order,
// the lower limit holds until the answer to a request that was sent after it says otherwise.
func (record *record) replacesLimit(announcement Announcement, sentAt, at time.Time) bool {
	if announcement.Limit.Below(record.announcement.Limit) {
		return at.After(record.at)
	}
	return sentAt.After(record.at)
}

// encode returns the wire form of an announcement.
func encode(now time.Time, start definer.UpstreamStart, announcement Announcement, at time.Time) messenger.UpstreamAnnouncement {
	perSecond, limited := announcement.Limit.PerSecond()
	return messenger.UpstreamAnnouncement{
		Upstream: start.Upstream, Incarnation: start.Incarnation,
		PerSecond: perSecond, Limited: limited, Leaving: announcement.Leaving, Age: max(now.Sub(at), 0),
	}
}

// decode returns the announcement in a peer's message. ok is false for one that no upstream can
// have made, since the peer may be of another version or faulty.
func decode(message messenger.UpstreamAnnouncement) (announcement Announcement, ok bool) {
	possible := message.Upstream != "" && len(message.Upstream) <= maxNameBytes && message.Age >= 0 && message.PerSecond >= 0 && message.PerSecond <= math.MaxFloat64
	if !possible {
		return Announcement{}, false
	}
	announcement.Leaving = message.Leaving
	if message.Limited {
		announcement.Limit = definer.LimitTo(message.PerSecond)
	}
	return announcement, true
}

package announcer

import (
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Announcement is what an upstream says of how it wants to be asked. The zero value is
// that it takes whatever comes.
type Announcement struct {
	// Limit is what it takes from all nodes together.
	Limit definer.RateLimit
	// Leaving is set once it is about to end. That is never taken back: a start that goes on
	// after all is sent nothing by which it could say so.
	Leaving bool
}

// known is the latest announcement of one start of an upstream.
type known struct {
	announcement Announcement
	// at is when it was made, at the latest, by this node's clock.
	at time.Time
	// source is who told it when it was news.
	source Source
	// tells counts the reports of each scope that are still to tell it.
	tells [scopeCount]int
	// queued is set while it stands among those to be told.
	queued bool
}

// limitsAnew tells whether the limit that was announced between the two times takes the place
// of the known one. Answers cross: of two that may have been given in either order the
// stricter one holds, until an answer to a request that was sent behind it says otherwise.
func (known *known) limitsAnew(announcement Announcement, sentAt, at time.Time) bool {
	if announcement.Limit.Below(known.announcement.Limit) {
		return at.After(known.at)
	}
	return sentAt.After(known.at)
}

// encode returns an announcement as peers are told it.
func encode(now time.Time, start definer.UpstreamStart, announcement Announcement, at time.Time) messenger.UpstreamAnnouncement {
	perSecond, limited := announcement.Limit.PerSecond()
	return messenger.UpstreamAnnouncement{
		Upstream: start.Upstream, Incarnation: start.Incarnation,
		PerSecond: perSecond, Limited: limited, Leaving: announcement.Leaving, Age: max(now.Sub(at), 0),
	}
}

// decode returns a peer's announcement; ok is false for one that no upstream can have made:
// a peer may be of another version, or wrong.
func decode(told messenger.UpstreamAnnouncement) (announcement Announcement, ok bool) {
	possible := told.Upstream != "" && len(told.Upstream) <= maxName && told.Age >= 0 && told.PerSecond >= 0 && told.PerSecond <= math.MaxFloat64
	if !possible {
		return Announcement{}, false
	}
	announcement.Leaving = told.Leaving
	if told.Limited {
		announcement.Limit = definer.LimitTo(told.PerSecond)
	}
	return announcement, true
}

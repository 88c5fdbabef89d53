package announcer

import (
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxKnown bounds the starts of upstreams whose announcements are kept: some times as
	// many as there are upstreams.
	maxKnown = 16384
	// maxName bounds an upstream's name in bytes.
	maxName = 256
)

// Source is who told an announcement: a peer, or the upstream itself when it is empty.
type Source definer.VM

// Announcer holds announcements. It is safe for concurrent use and reads no clock.
type Announcer struct {
	changed func(start definer.UpstreamStart, announcement Announcement, source Source)
	// count is told how many upstreams have announced what.
	count func(counts Counts)
	// mutex guards the rest; the locks of those who are told of changes are taken under it.
	mutex sync.Mutex
	known map[definer.UpstreamStart]*known
	// counts is of known.
	counts Counts
	// untold are those that are still to be told to peers, in order.
	untold []definer.UpstreamStart
	// refreshedAt is when some were last told again, refreshed how many were up to then.
	refreshedAt time.Time
	refreshed   int
}

// Option changes one setting of an Announcer.
type Option func(*Announcer)

// WithChanges sets what is told of each announcement that differs from the one before; it
// must not block or call the Announcer. The default is nothing.
func WithChanges(changed func(start definer.UpstreamStart, announcement Announcement, source Source)) Option {
	return func(announcer *Announcer) { announcer.changed = changed }
}

// WithCounts sets what is told how many upstreams have announced what, whenever that changes;
// it must not block or call the Announcer. The default is nothing.
func WithCounts(count func(counts Counts)) Option {
	return func(announcer *Announcer) { announcer.count = count }
}

// New returns an Announcer that knows nothing.
func New(options ...Option) *Announcer {
	announcer := &Announcer{
		changed: func(definer.UpstreamStart, Announcement, Source) {},
		count:   func(Counts) {},
		known:   make(map[definer.UpstreamStart]*known),
	}
	for _, option := range options {
		option(announcer)
	}
	return announcer
}

// Hear takes in what an upstream's answer says, to a request that was sent at the time.
func (announcer *Announcer) Hear(now time.Time, start definer.UpstreamStart, sentAt time.Time, announcement Announcement) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.take(start, announcement, sentAt, now, "")
}

// Of returns the latest announcement of a start of an upstream, and how old it is.
func (announcer *Announcer) Of(now time.Time, start definer.UpstreamStart) (announcement Announcement, age time.Duration) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	if known, ok := announcer.known[start]; ok {
		return known.announcement, max(now.Sub(known.at), 0)
	}
	return Announcement{}, 0
}

// Encoded returns the same as peers are told it. Of a start of which nothing is known it says
// nothing, not even that there is no limit.
func (announcer *Announcer) Encoded(now time.Time, start definer.UpstreamStart) messenger.UpstreamAnnouncement {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	if known, ok := announcer.known[start]; ok {
		return encode(now, start, known.announcement, known.at)
	}
	return messenger.UpstreamAnnouncement{Upstream: start.Upstream, Incarnation: start.Incarnation, Age: messenger.Unannounced}
}

// Restarted forgets what earlier starts of an upstream announced.
func (announcer *Announcer) Restarted(earlier definer.UpstreamStart) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.forget(earlier)
}

// forget drops an announcement; mutex is held.
func (announcer *Announcer) forget(start definer.UpstreamStart) {
	if known, ok := announcer.known[start]; ok {
		announcer.recount(known.announcement, Announcement{})
		delete(announcer.known, start)
	}
}

// recount counts anew when one announcement takes the place of another; mutex is held.
func (announcer *Announcer) recount(before, after Announcement) {
	counts := announcer.counts.minus(before).plus(after)
	if counts != announcer.counts {
		announcer.counts = counts
		announcer.count(counts)
	}
}

// take puts what was announced between the two times in the place of what is known, as far as
// it is newer; mutex is held.
func (announcer *Announcer) take(start definer.UpstreamStart, announcement Announcement, sentAt, at time.Time, source Source) {
	latest, ok := announcer.known[start]
	if !ok {
		if announcement == (Announcement{}) {
			return
		}
		announcer.makeRoom()
		latest = &known{}
		announcer.known[start] = latest
	}
	if ok && !latest.limitsAnew(announcement, sentAt, at) {
		announcement.Limit, at = latest.announcement.Limit, latest.at
	}
	announcement.Leaving = announcement.Leaving || latest.announcement.Leaving
	news := latest.announcement != announcement
	announcer.recount(latest.announcement, announcement)
	latest.announcement, latest.at = announcement, at
	if news {
		latest.source = source
		announcer.queue(start, latest, tellTimes)
		announcer.changed(start, announcement, source)
	}
}

// makeRoom forgets the oldest announcement if there are too many; mutex is held.
func (announcer *Announcer) makeRoom() {
	if len(announcer.known) < maxKnown {
		return
	}
	var oldest definer.UpstreamStart
	var at time.Time
	for start, known := range announcer.known {
		if at.IsZero() || known.at.Before(at) {
			oldest, at = start, known.at
		}
	}
	announcer.forget(oldest)
}

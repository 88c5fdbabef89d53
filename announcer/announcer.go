package announcer

import (
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxRecords bounds the number of records; it is several times the number of upstreams.
	maxRecords = 16384
	// maxNameBytes bounds the length of an upstream's name.
	maxNameBytes = 256
)

// Source is the peer that sent an announcement; empty for the upstream itself.
type Source definer.VM

// Announcer keeps the latest announcements. It is safe for concurrent use and reads no clock: the
// callers pass all times.
type Announcer struct {
	changed func(start definer.UpstreamStart, announcement Announcement, source Source)
	// count is called with the counts of announcements.
	count func(counts Counts)
	// rejectionLimitChanged is called with each rejection limit that differs from the one before.
	rejectionLimitChanged func(limit RejectionLimit)
	// mutex guards the fields below. It is held during the calls of the functions above, which may
	// take other locks.
	mutex   sync.Mutex
	records map[definer.UpstreamStart]*record
	// counts are the counts of records.
	counts Counts
	// pending are the upstreams whose announcements are still to be reported to peers, in order.
	pending []definer.UpstreamStart
	// refreshedAt is the time of the last refresh, and refreshOffset, modulo the number of
	// announcements, the place in the sorted list where the next refresh begins.
	refreshedAt   time.Time
	refreshOffset int
	// rejectionLimits holds the latest limit of each service that ever had one.
	rejectionLimits map[definer.PoolName]*RejectionLimit
	// informed is set once a peer has sent the rejection limits that nodes know, or none has done
	// so in time. usedSince is when limits were first looked up or reported.
	informed  bool
	usedSince time.Time
}

// Option changes one setting of an Announcer.
type Option func(*Announcer)

// WithChanges sets the function that is called with each announcement that differs from the one
// before. It must not block or call the Announcer. The default does nothing.
func WithChanges(changed func(start definer.UpstreamStart, announcement Announcement, source Source)) Option {
	return func(announcer *Announcer) { announcer.changed = changed }
}

// WithCounts sets the function that is called with the counts of announcements whenever they
// change. It must not block or call the Announcer. The default does nothing.
func WithCounts(count func(counts Counts)) Option {
	return func(announcer *Announcer) { announcer.count = count }
}

// New returns an Announcer without announcements.
func New(options ...Option) *Announcer {
	announcer := &Announcer{
		changed: func(definer.UpstreamStart, Announcement, Source) {},
		count:   func(Counts) {},
		records: make(map[definer.UpstreamStart]*record),

		rejectionLimitChanged: func(RejectionLimit) {},
		rejectionLimits:       make(map[definer.PoolName]*RejectionLimit),
	}
	for _, option := range options {
		option(announcer)
	}
	return announcer
}

// Record records the announcement in an upstream's answer to a request that was sent at sentAt.
func (announcer *Announcer) Record(now time.Time, start definer.UpstreamStart, sentAt time.Time, announcement Announcement) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.update(start, announcement, sentAt, now, "")
}

// Latest returns the latest announcement of a start of an upstream and its age, or zero values if
// there is none.
func (announcer *Announcer) Latest(now time.Time, start definer.UpstreamStart) (announcement Announcement, age time.Duration) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	if record, ok := announcer.records[start]; ok {
		return record.announcement, max(now.Sub(record.at), 0)
	}
	return Announcement{}, 0
}

// LatestEncoded returns the latest announcement of a start of an upstream in its wire form. If
// there is none, the result is marked messenger.Unannounced, which peers do not read as the absence
// of a limit.
func (announcer *Announcer) LatestEncoded(now time.Time, start definer.UpstreamStart) messenger.UpstreamAnnouncement {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	if record, ok := announcer.records[start]; ok {
		return encode(now, start, record.announcement, record.at)
	}
	return messenger.UpstreamAnnouncement{Upstream: start.Upstream, Incarnation: start.Incarnation, Age: messenger.Unannounced}
}

// Forget removes the announcement of an earlier start of an upstream that has restarted.
func (announcer *Announcer) Forget(earlier definer.UpstreamStart) {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.forget(earlier)
}

// forget removes the announcement of a start of an upstream. The mutex is held.
func (announcer *Announcer) forget(start definer.UpstreamStart) {
	if record, ok := announcer.records[start]; ok {
		announcer.recount(record.announcement, Announcement{})
		delete(announcer.records, start)
	}
}

// recount updates the counts for an announcement that replaces another. The mutex is held.
func (announcer *Announcer) recount(before, after Announcement) {
	counts := announcer.counts.minus(before).plus(after)
	if counts != announcer.counts {
		announcer.counts = counts
		announcer.count(counts)
	}
}

// update merges an announcement that was made between the two times into the record of the
// upstream, where it is newer. The mutex is held.
func (announcer *Announcer) update(start definer.UpstreamStart, announcement Announcement, sentAt, at time.Time, source Source) {
	latest, ok := announcer.records[start]
	if !ok {
		if announcement == (Announcement{}) {
			return
		}
		announcer.evict()
		latest = &record{}
		announcer.records[start] = latest
	}
	if ok && !latest.replacesLimit(announcement, sentAt, at) {
		announcement.Limit, at = latest.announcement.Limit, latest.at
	}
	announcement.Leaving = announcement.Leaving || latest.announcement.Leaving
	changed := latest.announcement != announcement
	announcer.recount(latest.announcement, announcement)
	latest.announcement, latest.at = announcement, at
	if changed {
		latest.source = source
		announcer.enqueue(start, latest, reportRepeats)
		announcer.changed(start, announcement, source)
	}
}

// evict removes the oldest announcement if the table is full. The mutex is held.
func (announcer *Announcer) evict() {
	if len(announcer.records) < maxRecords {
		return
	}
	var oldest definer.UpstreamStart
	var at time.Time
	for start, record := range announcer.records {
		if at.IsZero() || record.at.Before(at) {
			oldest, at = start, record.at
		}
	}
	announcer.forget(oldest)
}

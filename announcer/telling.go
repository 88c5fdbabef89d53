package announcer

import (
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// reportRepeats is the number of reports of each scope that include an announcement, since a
	// report may be lost.
	reportRepeats = 2
	// maxReported bounds the announcements in one report, at some 40 bytes each.
	maxReported = 64
	// maxLearned bounds the announcements that are taken from one report.
	maxLearned = 4 * maxReported
	// refreshInterval is the time between two refreshes, which report announcements again for
	// nodes that have started or were cut off since, and refreshCount the number of upstreams in
	// each refresh.
	refreshInterval = time.Second
	refreshCount    = 8
)

// enqueue schedules at least the given number of reports of an announcement in each scope. The
// mutex is held.
func (announcer *Announcer) enqueue(start definer.UpstreamStart, record *record, times int) {
	for index := range record.pendingReports {
		record.pendingReports[index] = max(record.pendingReports[index], times)
	}
	if !record.queued {
		record.queued = true
		announcer.pending = append(announcer.pending, start)
	}
}

// NextReport returns the announcements for this node's next report of the scope.
func (announcer *Announcer) NextReport(now time.Time, scope messenger.LoadScope) []messenger.UpstreamAnnouncement {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.refresh(now)
	if len(announcer.pending) == 0 {
		return nil
	}
	index := scope.Index()
	var reported []messenger.UpstreamAnnouncement
	announcer.pending = slices.DeleteFunc(announcer.pending, func(start definer.UpstreamStart) bool {
		record, ok := announcer.records[start]
		if !ok {
			return true
		}
		if record.pendingReports[index] > 0 && len(reported) < maxReported {
			record.pendingReports[index]--
			reported = append(reported, encode(now, start, record.announcement, record.at))
		}
		record.queued = record.pendingReports != [messenger.ScopeCount]int{}
		return !record.queued
	})
	return reported
}

// refresh schedules another report of the next refreshCount announcements, in rotation. The mutex
// is held.
func (announcer *Announcer) refresh(now time.Time) {
	if now.Sub(announcer.refreshedAt) < refreshInterval || len(announcer.records) == 0 {
		return
	}
	announcer.refreshedAt = now
	var starts []definer.UpstreamStart
	for start, record := range announcer.records {
		if record.announcement != (Announcement{}) {
			starts = append(starts, start)
		}
	}
	slices.SortFunc(starts, func(left, right definer.UpstreamStart) int {
		return strings.Compare(left.String(), right.String())
	})
	for count := range min(refreshCount, len(starts)) {
		start := starts[(announcer.refreshOffset+count)%len(starts)]
		announcer.enqueue(start, announcer.records[start], 1)
	}
	announcer.refreshOffset += refreshCount
}

// Learn merges the announcements in a peer's message. Those that no upstream can have made are
// ignored.
func (announcer *Announcer) Learn(now time.Time, from definer.VM, reported []messenger.UpstreamAnnouncement) {
	if len(reported) == 0 {
		return
	}
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	for _, message := range reported[:min(len(reported), maxLearned)] {
		if announcement, ok := decode(message); ok {
			at := now.Add(-message.Age)
			announcer.update(message.Start(), announcement, at, at, Source(from))
		}
	}
}

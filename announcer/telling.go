package announcer

import (
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// tellTimes is in how many reports of each scope an announcement is told: one may be lost.
	tellTimes = 2
	// maxTold bounds the announcements in one report, some 40 bytes each.
	maxTold = 64
	// maxLearnt bounds those that are taken from one report.
	maxLearnt = 4 * maxTold
	// refreshEvery is the time between two times that announcements are told again, for
	// nodes that have started or were cut off since, and refreshMost is of how many
	// upstreams each time.
	refreshEvery = time.Second
	refreshMost  = 8
)

// scopeCount is the number of scopes that are told apart.
const scopeCount = 3

// place returns where the count of a scope stands.
func place(scope messenger.LoadScope) int {
	switch scope {
	case messenger.MemberLoad:
		return 0
	case messenger.GroupLoad, messenger.GroupAnswer:
		return 1
	default:
		return 2
	}
}

// queue has an announcement told in so many reports of each scope; mutex is held.
func (announcer *Announcer) queue(start definer.UpstreamStart, known *known, times int) {
	for place := range known.tells {
		known.tells[place] = max(known.tells[place], times)
	}
	if !known.queued {
		known.queued = true
		announcer.untold = append(announcer.untold, start)
	}
}

// Tell returns the announcements for this node's next report of the scope.
func (announcer *Announcer) Tell(now time.Time, scope messenger.LoadScope) []messenger.UpstreamAnnouncement {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	announcer.refresh(now)
	if len(announcer.untold) == 0 {
		return nil
	}
	place := place(scope)
	var told []messenger.UpstreamAnnouncement
	announcer.untold = slices.DeleteFunc(announcer.untold, func(start definer.UpstreamStart) bool {
		known, ok := announcer.known[start]
		if !ok {
			return true
		}
		if known.tells[place] > 0 && len(told) < maxTold {
			known.tells[place]--
			told = append(told, encode(now, start, known.announcement, known.at))
		}
		known.queued = known.tells != [scopeCount]int{}
		return !known.queued
	})
	return told
}

// refresh has some announcements told once more, in turn; mutex is held.
func (announcer *Announcer) refresh(now time.Time) {
	if now.Sub(announcer.refreshedAt) < refreshEvery || len(announcer.known) == 0 {
		return
	}
	announcer.refreshedAt = now
	var starts []definer.UpstreamStart
	for start, known := range announcer.known {
		if known.announcement != (Announcement{}) {
			starts = append(starts, start)
		}
	}
	slices.SortFunc(starts, func(left, right definer.UpstreamStart) int {
		return strings.Compare(left.String(), right.String())
	})
	for count := range min(refreshMost, len(starts)) {
		start := starts[(announcer.refreshed+count)%len(starts)]
		announcer.queue(start, announcer.known[start], 1)
	}
	announcer.refreshed += refreshMost
}

// Learn takes in what a peer's message tells.
func (announcer *Announcer) Learn(now time.Time, from definer.VM, told []messenger.UpstreamAnnouncement) {
	if len(told) == 0 {
		return
	}
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	for _, one := range told[:min(len(told), maxLearnt)] {
		if announcement, ok := decode(one); ok {
			at := now.Add(-one.Age)
			announcer.take(one.Start(), announcement, at, at, Source(from))
		}
	}
}

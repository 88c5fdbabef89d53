package announcer

import (
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
)

// Entry describes the announcement of one start of an upstream to operators.
type Entry struct {
	Start        definer.UpstreamStart
	Announcement Announcement
	// Age is the least time since it was made.
	Age time.Duration
	// Source is who sent the last announcement that changed the entry.
	Source Source
}

// List returns the announcements in force, sorted by upstream.
func (announcer *Announcer) List(now time.Time) []Entry {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	var list []Entry
	for start, record := range announcer.records {
		if record.announcement != (Announcement{}) {
			list = append(list, Entry{Start: start, Announcement: record.announcement, Age: max(now.Sub(record.at), 0), Source: record.source})
		}
	}
	slices.SortFunc(list, func(left, right Entry) int { return strings.Compare(left.Start.String(), right.Start.String()) })
	return list
}

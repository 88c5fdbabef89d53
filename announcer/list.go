package announcer

import (
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
)

// Entry is what is known of one start of an upstream, for operators.
type Entry struct {
	Start        definer.UpstreamStart
	Announcement Announcement
	// Age is how long ago it was made, at the least.
	Age time.Duration
	// Source is who told what is known of it last that was news.
	Source Source
}

// List returns what has been announced and holds, by the names of upstreams.
func (announcer *Announcer) List(now time.Time) []Entry {
	announcer.mutex.Lock()
	defer announcer.mutex.Unlock()
	var list []Entry
	for start, known := range announcer.known {
		if known.announcement != (Announcement{}) {
			list = append(list, Entry{Start: start, Announcement: known.announcement, Age: max(now.Sub(known.at), 0), Source: known.source})
		}
	}
	slices.SortFunc(list, func(left, right Entry) int { return strings.Compare(left.Start.String(), right.Start.String()) })
	return list
}

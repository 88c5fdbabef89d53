package announcer

// Counts are numbers of upstreams, and of services, by their announcements.
type Counts struct {
	// Limited is the number of upstreams with a limit, and Leaving of those that are about to
	// end.
	Limited int
	Leaving int
	// RejectionLimited is the number of services whose upstreams have a limit of rejections.
	RejectionLimited int
}

// plus returns the counts with an announcement added.
func (counts Counts) plus(announcement Announcement) Counts { return counts.add(announcement, 1) }

// minus returns the counts with an announcement removed.
func (counts Counts) minus(announcement Announcement) Counts { return counts.add(announcement, -1) }

func (counts Counts) add(announcement Announcement, count int) Counts {
	if _, limited := announcement.Limit.PerSecond(); limited {
		counts.Limited += count
	}
	if announcement.Leaving {
		counts.Leaving += count
	}
	return counts
}

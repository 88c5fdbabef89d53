package announcer

// Counts tells how many upstreams have announced what.
type Counts struct {
	// Limited have a limit, Leaving are about to end.
	Limited int
	Leaving int
}

// plus returns the counts with one announcement more.
func (counts Counts) plus(announcement Announcement) Counts { return counts.add(announcement, 1) }

// minus returns the counts without one.
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

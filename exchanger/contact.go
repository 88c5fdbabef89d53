package exchanger

import (
	"time"

	"limpetcleat/messenger"
	"limpetcleat/timer"
)

const (
	// silence is how long a node that was told something may take to tell
	// something back until another is turned to; a lost packet is sent again after
	// 0.2 s, and both ways may lose one.
	silence = 500 * time.Millisecond
	// firstBackoff and maxBackoff bound how long a silent node is passed over; the time
	// doubles with each silence in a row. A process is started again within seconds;
	// an entry of a VM that is gone for good stays.
	firstBackoff = 2 * time.Second
	maxBackoff   = 30 * time.Second
	// newsPatience is how long a node may take to say that it has what it was told until it
	// is told again.
	newsPatience = 400 * time.Millisecond
)

// contact is what is known of a node that is told something and tells something
// back.
type contact struct {
	// waitingSince is when it was first told something behind what it told last;
	// zero is when nothing is awaited.
	waitingSince time.Time
	// backoffUntil is until when it is passed over.
	backoffUntil time.Time
	// silences counts those in a row.
	silences int
	// newsFrom is from where it was told entries that it lacked, and newsAt when.
	newsFrom messenger.Positions
	newsAt   time.Time
}

// awaitsNews tells whether entries from the positions on may still be on their way to it.
func (contact *contact) awaitsNews(now time.Time, from messenger.Positions) bool {
	return contact.newsFrom == from && now.Sub(contact.newsAt) < newsPatience
}

// toldNews notes that it was told entries from the positions on.
func (contact *contact) toldNews(now time.Time, from messenger.Positions) {
	contact.newsFrom, contact.newsAt = from, now
}

// told notes that the node was told something.
func (contact *contact) told(now time.Time) {
	if contact.waitingSince.IsZero() {
		contact.waitingSince = now
	}
}

// heard notes that the node told something.
func (contact *contact) heard() {
	contact.waitingSince = time.Time{}
	contact.backoffUntil = time.Time{}
	contact.silences = 0
}

// answers tells whether the node is to be turned to. One that has been silent for too
// long is backed off from first.
func (contact *contact) answers(now time.Time) bool {
	if !contact.waitingSince.IsZero() && now.Sub(contact.waitingSince) > silence {
		contact.waitingSince = time.Time{}
		contact.backoffUntil = now.Add(timer.Doubled(firstBackoff, maxBackoff, contact.silences))
		contact.silences++
	}
	return !now.Before(contact.backoffUntil)
}

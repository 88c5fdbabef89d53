package exchanger

import (
	"time"

	"limpetcleat/messenger"
	"limpetcleat/timer"
)

const (
	// replyTimeout is the time within which a node must answer a report before another
	// node is used. A lost packet is sent again after 0.2 s, and a packet may be lost in
	// each direction.
	replyTimeout = 500 * time.Millisecond
	// firstBackoff and maxBackoff bound how long a node that did not answer is skipped;
	// the time doubles with each consecutive timeout. A process restarts within seconds,
	// while the entry of a VM that is gone for good stays on the list.
	firstBackoff = 2 * time.Second
	maxBackoff   = 30 * time.Second
	// newsRetryDelay is how long entries that were sent to a node may stay unacknowledged
	// before they are sent again.
	newsRetryDelay = 400 * time.Millisecond
)

// contact is the state of the exchange with a node that is sent reports and answers them.
type contact struct {
	// awaitingSince is when the first report since the last answer was sent; zero if no
	// answer is awaited.
	awaitingSince time.Time
	// backoffUntil is the time up to which the node is skipped.
	backoffUntil time.Time
	// timeouts counts consecutive timeouts.
	timeouts int
	// lastNewsFrom holds the positions from which the node was last sent missing entries,
	// and lastNewsAt the time.
	lastNewsFrom messenger.Positions
	lastNewsAt   time.Time
}

// newsInTransit reports whether entries from the positions on may still be on their way
// to the node.
func (contact *contact) newsInTransit(now time.Time, from messenger.Positions) bool {
	return contact.lastNewsFrom == from && now.Sub(contact.lastNewsAt) < newsRetryDelay
}

// recordNewsSent records that entries from the positions on were sent to the node.
func (contact *contact) recordNewsSent(now time.Time, from messenger.Positions) {
	contact.lastNewsFrom, contact.lastNewsAt = from, now
}

// recordSent records that a report was sent to the node.
func (contact *contact) recordSent(now time.Time) {
	if contact.awaitingSince.IsZero() {
		contact.awaitingSince = now
	}
}

// recordReceived records that a report of the node was received.
func (contact *contact) recordReceived() {
	contact.awaitingSince = time.Time{}
	contact.backoffUntil = time.Time{}
	contact.timeouts = 0
}

// isResponsive reports whether the node may be used. A node that has not answered in time
// is skipped until its backoff ends.
func (contact *contact) isResponsive(now time.Time) bool {
	if !contact.awaitingSince.IsZero() && now.Sub(contact.awaitingSince) > replyTimeout {
		contact.awaitingSince = time.Time{}
		contact.backoffUntil = now.Add(timer.Doubled(firstBackoff, maxBackoff, contact.timeouts))
		contact.timeouts++
	}
	return !now.Before(contact.backoffUntil)
}

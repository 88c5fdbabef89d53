package follower

import "time"

const (
	// SettleDelay is how long after an answer with changes a watch is asked from the complete revision again: a
	// watch may lag by WatchLag, so that the answer may lack changes up to the revision that it names.
	SettleDelay = WatchLag + 200*time.Millisecond
	// advanceAfter is how long a revision of the store must have been known before a
	// watch without changes advances to it, so that the next watch still delivers a
	// change that an earlier one missed. The store may drop its history sooner, which costs a list.
	advanceAfter = 6 * time.Second
)

// position is how far a follower has read the changes of the store. The answer to a watch that the store makes at a
// time holds all changes that were made WatchLag before it, and any of those made since, whatever revision it names.
type position struct {
	// complete is the revision up to which all changes are known.
	complete uint64
	// reached is the revision from which the next watch continues; it is at least complete. Between the two,
	// changes may be missing. A watch from there waits, while one from complete returns what is known again.
	reached uint64
	// named is a revision of the store that was known at namedAt. It is complete once the store has answered a
	// watch from complete long enough after that.
	named   uint64
	namedAt time.Time
}

// positionAt returns the position of a follower that knows all changes up to the revision.
func positionAt(now time.Time, revision uint64) position {
	return position{complete: revision, reached: revision, named: revision, namedAt: now}
}

// settled reports whether no change may be missing up to the revision from which the next watch continues.
func (position *position) settled() bool { return position.reached == position.complete }

// record records the answer to a watch from a revision. The store made it at the time answered or later. delay is how
// long after namedAt the answer to a watch has to be made that settles the position.
func (position *position) record(now, answered time.Time, after uint64, revisions Revisions, delay time.Duration) {
	wasSettled := position.settled()
	if wasSettled {
		delay = max(delay, advanceAfter)
	}
	proves := after <= position.complete && answered.Sub(position.namedAt) >= delay
	if proves {
		position.complete = max(position.complete, position.named)
	}
	position.complete = max(position.complete, revisions.Complete)
	position.reached = max(position.reached, position.complete, revisions.continueFrom(after))
	if proves || wasSettled && !position.settled() {
		position.named, position.namedAt = max(revisions.Current, position.reached), now
	}
}

// continueFrom returns the revision from which a watch that waits may continue after one from the given revision.
func (revisions Revisions) continueFrom(after uint64) uint64 {
	switch {
	case !revisions.Changed:
		return after
	case revisions.Newest > after:
		return revisions.Newest
	}
	// The changes are removals, whose revisions are not known.
	return revisions.Current
}

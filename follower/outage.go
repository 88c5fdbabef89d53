package follower

import "time"

// Outage describes a period of failing calls to the store, up to now. It is reported at
// the first failure and whenever the number of failures has doubled, so that the log
// shows a lasting outage in a few lines.
type Outage struct {
	// Cause is the error of the last failure.
	Cause error
	// Failures counts the failed calls. It is 0 when the store answered that it cannot return
	// the changes since the watch's revision (Gone or TooLarge).
	Failures int
	// WatchesOnly is set unless a list has failed as well.
	WatchesOnly bool
	// Lasted is the time since the first of the failures.
	Lasted time.Duration
}

// WatchAnswer is what the answer to a watch with changes names.
type WatchAnswer struct {
	Revisions
	// After is the revision from which the watch was asked for, Changes the number of changes.
	After   uint64
	Changes int
}

func isPowerOfTwo(number int) bool { return number > 0 && number&(number-1) == 0 }

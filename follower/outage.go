package follower

import "time"

// Outage is a time in which the store did not answer a feed's calls, as far as it has
// come. It is told at the first failure and whenever the number of failures has
// doubled: that it goes on stands in the log, in a few lines however long it lasts.
type Outage struct {
	// Cause is the last failure's.
	Cause error
	// Failures counts the calls in a row that failed. It is 0 when the store answered
	// that its history no longer reaches back.
	Failures int
	// Lasted is the time since the first of them failed.
	Lasted time.Duration
}

func isPowerOfTwo(number int) bool { return number > 0 && number&(number-1) == 0 }

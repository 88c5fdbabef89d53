package selector

import (
	"fmt"
	"time"
)

const (
	// maxWaitShare is the part of its time left for which a request that misses its objective
	// may wait for its first event; it is refused at once if it would wait longer. In the model
	// of a cold burst, at five times the usual load, 0.25 has 0.53 of the long prompts on time
	// and 2 in 100 callers leave unserved; 0.5 has 0.46 and 4 in 100. At three times the load
	// the two values give like results.
	maxWaitShare = 0.25
	// maxRetryShare is the part of its time left within which a refused caller must be told to
	// retry; callers honour no longer delay.
	maxRetryShare = 1.0 / 3
	// retryWaitShare is the part of its objective that a retrying caller should have to wait at
	// most.
	retryWaitShare = 0.5
)

const (
	// retriedShare is the part of the usual timeout below which a request is taken to be a
	// retry after a refusal: the timeouts of first attempts differ by less.
	retriedShare = 0.83
	// timeoutWeight is the weight of a shorter timeout in the moving average of the usual one.
	timeoutWeight = 0.01
)

// Saturation is the error for a request that would be late at every upstream and would wait so
// long that the caller should rather retry later.
type Saturation struct {
	// RetryAfter is the time after which the request can be expected to be served.
	RetryAfter time.Duration
}

// Error returns the message with the pause.
func (saturation *Saturation) Error() string {
	return fmt.Sprintf("all upstreams are saturated; retry after %v", saturation.RetryAfter)
}

// saturated reports whether the request should be refused at a candidate: it would be deferred,
// and wait for more than maxWaitShare of its time left.
func (choice *choice) saturated(candidate *candidate) bool {
	left := choice.demand.TimeLeft
	if !choice.demand.Engine || left <= 0 || !choice.deferred(candidate) {
		return false
	}
	behind := candidate.wait + choice.service.predicted.Work(candidate.deferred())
	return behind > time.Duration(maxWaitShare*float64(left))
}

// saturationPause returns the time after which a refused caller can be expected to be served on
// time: when the queue has shrunk to retryWaitShare of the objective, given that new requests
// keep arriving ahead of the caller.
func (choice *choice) saturationPause() time.Duration {
	demand := choice.demand
	waiting := choice.service.predicted.Work(int(choice.meanOfSide((*candidate).unread)))
	if demand.BeyondShare && demand.Deferrable {
		waiting += choice.service.predicted.Work(int(choice.meanOfSide((*candidate).deferred)))
	}
	excess := waiting - time.Duration(retryWaitShare*float64(demand.Objective))
	drained := time.Duration(float64(excess) / (1 - min(choice.side.utilisation, maxUtilisation)))
	return choice.retryAfter(drained)
}

// retryAfter returns when a caller should retry if there is capacity after the given time: no
// sooner than its objective, so that others refused with it are served first, and within what
// it honours.
func (choice *choice) retryAfter(after time.Duration) time.Duration {
	demand := choice.demand
	return min(max(after, demand.Objective), time.Duration(maxRetryShare*float64(demand.TimeLeft)))
}

// callerTimeout is how long the callers of a rule usually wait at their first attempt.
type callerTimeout struct{ usual time.Duration }

// waitedBefore returns how long a caller with this time left has waited since its first
// attempt, as far as can be told: a retry after a refusal has less time left than other
// requests of its rule. For any other request it returns 0
// and updates the usual timeout.
func (callerTimeout *callerTimeout) waitedBefore(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	if float64(left) < retriedShare*float64(callerTimeout.usual) {
		return callerTimeout.usual - left
	}
	if left > callerTimeout.usual {
		callerTimeout.usual = left
	}
	callerTimeout.usual -= time.Duration(timeoutWeight * float64(callerTimeout.usual-left))
	return 0
}

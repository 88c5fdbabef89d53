package selector

import (
	"fmt"
	"time"
)

const (
	// waitShare is the part of the time left that a request which will be late may wait
	// for its first event: behind more than that it is refused at once. In the model of
	// a cold burst, at five times the usual load, 0.25 has 0.53 of the long prompts in
	// time and 2 in 100 callers leave unserved; 0.5 has 0.46 and 4 in 100. At three times
	// the load the two are alike.
	waitShare = 0.25
	// returnTime is the part of its time left after which a refused caller is to be back
	// at the latest; callers honour no more.
	returnTime = 1.0 / 3
	// returnWait is the part of its objective that a caller who comes back should have
	// to wait at most.
	returnWait = 0.5
)

const (
	// returnedShare is the part of the usual time left below which a caller is taken to
	// come back after a refusal: callers' first times differ by less.
	returnedShare = 0.83
	// patienceWeight is the part by which a shorter time moves the usual one.
	patienceWeight = 0.01
)

// Saturation tells that a request would be late at every upstream, and would wait for
// so long that it is better to come back.
type Saturation struct {
	// Pause is after what time it can be expected to be served.
	Pause time.Duration
}

// Error describes the saturation.
func (saturation *Saturation) Error() string {
	return fmt.Sprintf("all upstreams are saturated for %v", saturation.Pause)
}

// hopeless tells whether a request that is to be late at a candidate is better refused:
// what is before it there takes too much of its time.
func (choice *choice) hopeless(view *view) bool {
	left := choice.demand.TimeLeft
	if !choice.demand.Engine || left <= 0 || !choice.deferred(view) {
		return false
	}
	behind := view.wait + choice.pace.reading(view.deferred())
	return behind > time.Duration(waitShare*float64(left))
}

// pause returns when a refused caller can be expected to be served in time: when what
// waits has been done but for a part of the objective, with new work coming in front.
func (choice *choice) pause() time.Duration {
	demand := choice.demand
	waiting := choice.pace.reading(int(choice.mean((*view).unread)))
	excess := waiting - time.Duration(returnWait*float64(demand.Objective))
	drained := time.Duration(float64(excess) / (1 - min(choice.side.busy, fullestSide)))
	return choice.comeAgain(drained)
}

// comeAgain returns when a caller is to be back for whom there is room after the time: not
// before the others who were refused with it have been served, and within what it honours.
func (choice *choice) comeAgain(after time.Duration) time.Duration {
	demand := choice.demand
	return min(max(after, demand.Objective), time.Duration(returnTime*float64(demand.TimeLeft)))
}

// patience is how long the callers of a rule usually wait when they first come.
type patience struct{ usual time.Duration }

// waited returns for how long the caller of a request has been waiting since its first
// attempt, as far as that shows: one that comes back after a refusal has less time left
// than others of its rule.
func (patience *patience) waited(left time.Duration) time.Duration {
	if left <= 0 {
		return 0
	}
	if float64(left) < returnedShare*float64(patience.usual) {
		return patience.usual - left
	}
	if left > patience.usual {
		patience.usual = left
	}
	patience.usual -= time.Duration(patienceWeight * float64(patience.usual-left))
	return 0
}

package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// leastRetry and longestRetry bound what a refused caller is told.
	leastRetry   = time.Second
	longestRetry = 5 * time.Minute
	// retrySpread is the part by which Retry-After is drawn out, so that those
	// refused together do not come back together.
	retrySpread = 0.25
	// spreadSteps is the number of steps of that spread.
	spreadSteps = 1024
	// shedSlack is how far the expected wait may rise above the bound before a
	// queued ask is shed; it keeps errors of the estimate from shedding what was
	// just admitted.
	shedSlack = 1.5
	// protectedSlack is how many times its target a protected ask may be
	// expected to wait: a late confirmation is worth more than a wrong refusal.
	protectedSlack = 2
)

// target returns how long a new ask of the class may be expected to wait
// without missing what it is for.
func (scheduler *Scheduler) target(class *class) time.Duration {
	definition := class.definition
	bound := definition.LongestWait()
	target := definition.FirstToken()
	if target == 0 {
		target = definition.Total()
	}
	if target == 0 {
		return bound
	}
	if scheduler.guards(class) {
		target *= protectedSlack
	}
	return min(bound, target)
}

// patience returns how long an ask of the class may stand in this queue. One
// that is past its target has lost what it was for, and its slot is worth more
// to the next; a protected one keeps its place for its longest wait. The time
// before this scheduler knew the ask does not count, so that a change of owner
// refuses nobody.
func (scheduler *Scheduler) patience(class *class) time.Duration {
	if !scheduler.traits.admission || scheduler.guards(class) {
		return class.definition.LongestWait()
	}
	return scheduler.target(class)
}

// admit refuses a new ask that still waits and has no hope to start in time.
func (scheduler *Scheduler) admit(now time.Time, entry *waiting) []Decision {
	if scheduler.waiting[entry.ask.Request] != entry {
		return nil
	}
	if len(scheduler.waiting) > scheduler.longest {
		return scheduler.overflow(now, entry)
	}
	if !scheduler.traits.admission {
		return nil
	}
	lane := entry.flow.lane
	if lane.class.starving() {
		// The first in line of a class that gets nothing is let wait: if each
		// were refused because it would come late, the class would starve.
		return nil
	}
	wait := scheduler.expected(now, lane.class, lane.shape, entry.flow.account)
	if deadline := entry.ask.Deadline; !deadline.IsZero() && now.Add(wait).After(deadline) {
		return []Decision{scheduler.refuse(now, entry, messenger.DeadlineMissed)}
	}
	late := now.Add(wait).Sub(entry.ask.Arrival) > lane.class.definition.LongestWait()
	if late || wait > scheduler.target(lane.class) {
		return []Decision{scheduler.refuse(now, entry, messenger.QueueFull)}
	}
	return nil
}

// overflow keeps the number of waiting asks at its bound: it sheds the last of
// the lowest unprotected tier below the entry's, else refuses the entry.
func (scheduler *Scheduler) overflow(now time.Time, entry *waiting) []Decision {
	class := entry.flow.lane.class
	var lowest *lane
	for _, lane := range scheduler.lanes {
		if lane.count == 0 || !scheduler.traits.tiers || lane.class.tier() <= class.tier() || scheduler.guards(lane.class) {
			continue
		}
		if lowest == nil || lane.class.tier() > lowest.class.tier() {
			lowest = lane
		}
	}
	if lowest == nil {
		return []Decision{scheduler.refuse(now, entry, messenger.QueueFull)}
	}
	return []Decision{scheduler.refuse(now, lowest.last(), messenger.Shed)}
}

// shed refuses queued asks whose expected wait has risen above their bound, the
// lowest tier first, the last in the queue first. It never sheds protected ones.
func (scheduler *Scheduler) shed(now time.Time) []Decision {
	if !scheduler.traits.admission {
		return nil
	}
	var decisions []Decision
	for index := len(scheduler.order) - 1; index >= 0; index-- {
		class := scheduler.order[index]
		if class.waiting == 0 || scheduler.guards(class) {
			continue
		}
		// Shedding the last ask of a lane may drop the lane from the list.
		for _, lane := range slices.Clone(scheduler.lanes) {
			if lane.class == class {
				decisions = append(decisions, scheduler.shedLane(now, lane)...)
			}
		}
	}
	return decisions
}

func (scheduler *Scheduler) shedLane(now time.Time, lane *lane) []Decision {
	var decisions []Decision
	for lane.count > 0 && !lane.class.starving() {
		last := lane.last()
		bound := min(scheduler.target(lane.class), last.due.Sub(now))
		wait := scheduler.expected(now, lane.class, lane.shape, last.flow.account)
		if wait.Seconds() <= bound.Seconds()*shedSlack {
			break
		}
		decisions = append(decisions, scheduler.refuse(now, last, messenger.Shed))
	}
	return decisions
}

// refuse takes an entry out of the queue for good.
func (scheduler *Scheduler) refuse(now time.Time, entry *waiting, reason messenger.RefusalReason) Decision {
	lane := entry.flow.lane
	wait := scheduler.expected(now, lane.class, lane.shape, entry.flow.account)
	target := scheduler.target(lane.class)
	scheduler.drop(entry)
	return Decision{Ask: entry.ask, Reason: reason, RetryAfter: retryAfter(entry.ask.Request, wait, target)}
}

// retryAfter returns when the backlog will have gone down so far that a new ask
// is let in again.
func retryAfter(request definer.RequestID, wait, target time.Duration) time.Duration {
	seconds := max(wait-target/2, 0).Seconds()
	spread := float64(xxhash.Sum64String(string(request))%spreadSteps) / spreadSteps
	return bounded(seconds*(1+retrySpread*spread), leastRetry, longestRetry)
}

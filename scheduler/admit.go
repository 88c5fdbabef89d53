package scheduler

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refused caller.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
	// retryJitter is the largest part added to Retry-After, so that callers refused
	// together do not retry together.
	retryJitter = 0.25
	// jitterSteps is the number of distinct jitter values.
	jitterSteps = 1024
	// shedSlack is the factor by which the expected wait may exceed its bound before
	// a queued ask is shed; it keeps estimation errors from shedding asks that were
	// just admitted.
	shedSlack = 1.5
	// protectedSlack is the multiple of its target that a protected ask may be
	// expected to wait: a late answer to a protected request is worth more than a
	// wrong refusal.
	protectedSlack = 2
)

// waitTarget returns the longest expected wait with which an ask of the class is
// admitted: its service-level target for the first token, else for the total time,
// but at most the class's longest wait.
func (scheduler *Scheduler) waitTarget(class *class) time.Duration {
	definition := class.definition
	bound := definition.LongestWait()
	target := definition.FirstToken()
	if target == 0 {
		target = definition.Total()
	}
	if target == 0 {
		return bound
	}
	if scheduler.isProtected(class) {
		target *= protectedSlack
	}
	return min(bound, target)
}

// maxQueueTime returns how long an ask of the class may stay in this queue. An ask
// past its target has already missed it, and its slot is worth more to the next ask;
// a protected ask may stay for its longest wait. The time before this scheduler
// queued the ask does not count, so that a change of owner refuses no ask.
func (scheduler *Scheduler) maxQueueTime(class *class) time.Duration {
	if !scheduler.features.admission || scheduler.isProtected(class) {
		return class.definition.LongestWait()
	}
	return scheduler.waitTarget(class)
}

// admit refuses a new ask that still waits and is not expected to start in time, or
// makes room for it when the queue is full.
func (scheduler *Scheduler) admit(now time.Time, queuedAsk *queuedAsk) []Decision {
	if scheduler.queued[queuedAsk.ask.Request] != queuedAsk {
		return nil
	}
	if len(scheduler.queued) > scheduler.maxQueue {
		return scheduler.overflow(now, queuedAsk)
	}
	if !scheduler.features.admission {
		return nil
	}
	lane := queuedAsk.flow.lane
	if lane.class.starving() {
		// The first ask of a class that gets no slots is allowed to wait: if each
		// ask were refused for its expected wait, the class would starve.
		return nil
	}
	wait := scheduler.estimateWait(now, lane.class, lane.upstreamSet, queuedAsk.flow.account)
	if deadline := queuedAsk.ask.Deadline; !deadline.IsZero() && now.Add(wait).After(deadline) {
		return []Decision{scheduler.refuse(now, queuedAsk, messenger.DeadlineMissed)}
	}
	late := now.Add(wait).Sub(queuedAsk.ask.Arrival) > lane.class.definition.LongestWait()
	if late || wait > scheduler.waitTarget(lane.class) {
		return []Decision{scheduler.refuse(now, queuedAsk, messenger.QueueFull)}
	}
	return nil
}

// overflow keeps the number of waiting asks at its bound: it sheds the last ask of
// the lowest unprotected tier below that of the new ask, or refuses the new ask if
// there is none.
func (scheduler *Scheduler) overflow(now time.Time, queuedAsk *queuedAsk) []Decision {
	class := queuedAsk.flow.lane.class
	var lowest *lane
	for _, lane := range scheduler.lanes {
		if lane.count == 0 || !scheduler.features.tiers || lane.class.tier() <= class.tier() || scheduler.isProtected(lane.class) {
			continue
		}
		if lowest == nil || lane.class.tier() > lowest.class.tier() {
			lowest = lane
		}
	}
	if lowest == nil {
		return []Decision{scheduler.refuse(now, queuedAsk, messenger.QueueFull)}
	}
	return []Decision{scheduler.refuse(now, lowest.last(), messenger.Shed)}
}

// shed refuses queued asks whose expected wait has risen above their bound, beginning
// with the lowest tier and with the last ask of each queue. It never sheds protected
// asks.
func (scheduler *Scheduler) shed(now time.Time) []Decision {
	if !scheduler.features.admission {
		return nil
	}
	var decisions []Decision
	for index := len(scheduler.classesByTier) - 1; index >= 0; index-- {
		class := scheduler.classesByTier[index]
		if class.waiting == 0 || scheduler.isProtected(class) {
			continue
		}
		// Iterate over a copy: shedding the last ask of a lane may remove the lane.
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
		bound := min(scheduler.waitTarget(lane.class), last.expiresAt.Sub(now))
		wait := scheduler.estimateWait(now, lane.class, lane.upstreamSet, last.flow.account)
		if wait.Seconds() <= bound.Seconds()*shedSlack {
			break
		}
		decisions = append(decisions, scheduler.refuse(now, last, messenger.Shed))
	}
	return decisions
}

// refuse removes an ask from the queue and returns its refusal.
func (scheduler *Scheduler) refuse(now time.Time, queuedAsk *queuedAsk, reason messenger.RefusalReason) Decision {
	lane := queuedAsk.flow.lane
	wait := scheduler.estimateWait(now, lane.class, lane.upstreamSet, queuedAsk.flow.account)
	target := scheduler.waitTarget(lane.class)
	scheduler.dequeue(queuedAsk)
	return Decision{Ask: queuedAsk.ask, Reason: reason, RetryAfter: retryAfter(queuedAsk.ask.Request, wait, target)}
}

// retryAfter estimates when the backlog has shrunk enough for a new ask to be
// admitted, and adds a jitter derived from the request id.
func retryAfter(request definer.RequestID, wait, target time.Duration) time.Duration {
	seconds := max(wait-target/2, 0).Seconds()
	spread := float64(xxhash.Sum64String(string(request))%jitterSteps) / jitterSteps
	return clampSeconds(seconds*(1+retryJitter*spread), minRetryAfter, maxRetryAfter)
}

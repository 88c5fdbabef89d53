package scheduler

import (
	"math"
	"time"
)

// maxExpectedWait stands for an unbounded wait.
const maxExpectedWait = time.Hour

// canStart reports whether a new ask of the class would start at once.
func (scheduler *Scheduler) canStart(class *class) bool {
	scheduler.findRoom()
	if scheduler.allUpstreams.intersects(scheduler.roomFor(class)) {
		return true
	}
	if !scheduler.canPreempt() || !scheduler.pausableBelow(class) {
		return false
	}
	return scheduler.victimFor(&lane{class: class, upstreamSet: scheduler.allUpstreams}) != nil
}

// estimateWait returns the expected wait of an ask that finds no free slot: the slot
// time of the work ahead divided by the slots that are left to its class. It returns 0
// while no upstream of the set accepts requests: the asks then wait for a rate limit or
// a backoff, and the slot time of the work ahead says nothing about their wait. The
// account is that of the ask's organisation and includes the ask's own work; it is nil
// for a new ask of an organisation that has no ask waiting.
func (scheduler *Scheduler) estimateWait(now time.Time, class *class, upstreamSet *upstreamSet, account *account) time.Duration {
	pace := scheduler.pace(class)
	if pace <= 0 || !upstreamSet.acceptsRequests() {
		return 0
	}
	mean := scheduler.meanCost(class) / pace
	higher, same := scheduler.workAhead(class, upstreamSet)
	tier := scheduler.tier(scheduler.tierOf(class))
	if account == nil {
		same = min(same, mean*tier.weight)
	} else {
		same = min(same, account.cost/pace*tier.weight/account.weight)
	}
	own := min(same, class.cost/pace)
	if account == nil {
		same += mean
		own += mean
	}
	seconds := (higher + same) / scheduler.availableSlots(now, class, upstreamSet)
	if class.floor > 0 {
		seconds = min(seconds, own/class.floor)
	}
	return clampSeconds(seconds, 0, maxExpectedWait)
}

// pace returns the speed at which one slot does the expected work of a class, in
// tokens per second; 0 means unknown. While no grant of the class has finished, it
// returns the speed over all classes.
func (scheduler *Scheduler) pace(class *class) float64 {
	if speed := class.meter.speed(); speed > 0 {
		return speed
	}
	return scheduler.meter.speed()
}

// meanCost returns the mean expected work of one ask of the class, in tokens. While no
// grant of the class has finished, it returns the mean over all classes.
func (scheduler *Scheduler) meanCost(class *class) float64 {
	if class.meter.count > 0 {
		return class.meter.mean()
	}
	return scheduler.meter.mean()
}

// availableSlots returns the slots that are left to the class: those that it may use,
// less the slots that recent grants of higher tiers take, and, for an unprotected
// class, less the floors of the lower classes that wait.
func (scheduler *Scheduler) availableSlots(now time.Time, class *class, upstreamSet *upstreamSet) float64 {
	taken, floors := 0.0, 0.0
	for _, other := range scheduler.classesByTier {
		switch tier := scheduler.tierOf(other); {
		case tier < scheduler.tierOf(class):
			taken += other.rate(now) / max(scheduler.pace(other), 1)
		case tier > scheduler.tierOf(class) && other.waiting > 0:
			floors += other.floor
		}
	}
	part := upstreamSet.shareOf(scheduler.allUpstreams)
	whole := float64(upstreamSet.limit) - taken*part
	if scheduler.isProtected(class) {
		return max(0, whole)
	}
	return max(0, min(whole, float64(upstreamSet.unprotectedLimit))-floors*part)
}

// workAhead returns the slot time, in seconds, of the waiting asks of higher tiers and
// of the class's own tier, weighted by the overlap of their upstreams with the set.
func (scheduler *Scheduler) workAhead(class *class, upstreamSet *upstreamSet) (higher, same float64) {
	tier := scheduler.tierOf(class)
	for _, lane := range scheduler.lanes {
		if lane.count == 0 {
			continue
		}
		seconds := lane.cost / scheduler.pace(lane.class) * lane.upstreamSet.overlap(upstreamSet)
		switch other := scheduler.tierOf(lane.class); {
		case other < tier:
			higher += seconds
		case other == tier:
			same += seconds
		}
	}
	return higher, same
}

// clampSeconds returns the seconds as a duration between least and most; NaN becomes
// most.
func clampSeconds(seconds float64, least, most time.Duration) time.Duration {
	if math.IsNaN(seconds) || seconds >= most.Seconds() {
		return most
	}
	return max(time.Duration(seconds*float64(time.Second)), least)
}

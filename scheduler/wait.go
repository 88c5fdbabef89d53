package scheduler

import (
	"math"
	"time"
)

// longestWait stands for a wait without end.
const longestWait = time.Hour

// startable tells whether a new ask of the class would start at once.
func (scheduler *Scheduler) startable(class *class) bool {
	scheduler.survey()
	if scheduler.whole.meets(scheduler.roomFor(class)) {
		return true
	}
	if !scheduler.pauses() || !scheduler.pausableBelow(class) {
		return false
	}
	return scheduler.victimFor(&lane{class: class, shape: scheduler.whole}) != nil
}

// expected returns how long an ask that finds no slot free waits. The account
// is that of its organisation and has the ask's own work in it; it is nil for a
// new ask of an organisation that has nothing waiting.
func (scheduler *Scheduler) expected(now time.Time, class *class, shape *shape, account *account) time.Duration {
	speed := scheduler.meter.speed()
	if speed <= 0 {
		return 0
	}
	higher, same := scheduler.ahead(class, shape)
	tier := scheduler.tier(scheduler.tierOf(class))
	same = min(same, scheduler.share(tier, account))
	own := min(same, class.cost)
	if account == nil {
		same += scheduler.meter.mean()
		own += scheduler.meter.mean()
	}
	seconds := (higher + same) / scheduler.available(now, class, shape, speed)
	if class.floor > 0 {
		seconds = min(seconds, own/(class.floor*speed))
	}
	return bounded(seconds, 0, longestWait)
}

// available returns the work a second that is left to the class: what its slots
// do, less what higher tiers were granted of late, and less the floors of the
// lower classes that wait.
func (scheduler *Scheduler) available(now time.Time, class *class, shape *shape, speed float64) float64 {
	taken, floors := 0.0, 0.0
	for _, other := range scheduler.order {
		switch tier := scheduler.tierOf(other); {
		case tier < scheduler.tierOf(class):
			taken += other.rate(now)
		case tier > scheduler.tierOf(class) && other.waiting > 0:
			floors += other.floor
		}
	}
	part := shape.part(scheduler.whole)
	whole := float64(shape.limit)*speed - taken*part
	if scheduler.guards(class) {
		return max(0, whole)
	}
	own := float64(shape.ordinary) * speed
	return max(0, min(whole, own)-floors*part*speed)
}

// ahead returns the work waiting in higher tiers and in the class's own, as far
// as it can use the same upstreams.
func (scheduler *Scheduler) ahead(class *class, shape *shape) (higher, same float64) {
	tier := scheduler.tierOf(class)
	for _, lane := range scheduler.lanes {
		if lane.count == 0 {
			continue
		}
		cost := lane.cost * lane.shape.overlap(shape)
		switch other := scheduler.tierOf(lane.class); {
		case other < tier:
			higher += cost
		case other == tier:
			same += cost
		}
	}
	return higher, same
}

// share returns the work of its tier that can be served before an account's
// next ask, since no other account gets more than its weight in that time.
func (scheduler *Scheduler) share(tier *tier, account *account) float64 {
	mean := scheduler.meter.mean()
	if account == nil {
		return mean * tier.weight
	}
	return account.cost * tier.weight / account.weight
}

// bounded returns the seconds as a duration between least and most.
func bounded(seconds float64, least, most time.Duration) time.Duration {
	if math.IsNaN(seconds) || seconds >= most.Seconds() {
		return most
	}
	return max(time.Duration(seconds*float64(time.Second)), least)
}

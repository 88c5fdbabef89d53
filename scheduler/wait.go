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

// expected returns how long an ask that finds no slot free waits: the slot time
// of the work ahead over the slots that are left to its class. The account is
// that of its organisation and has the ask's own work in it; it is nil for a
// new ask of an organisation that has nothing waiting.
func (scheduler *Scheduler) expected(now time.Time, class *class, shape *shape, account *account) time.Duration {
	pace := scheduler.pace(class)
	if pace <= 0 {
		return 0
	}
	mean := scheduler.typical(class) / pace
	higher, same := scheduler.ahead(class, shape)
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
	seconds := (higher + same) / scheduler.available(now, class, shape)
	if class.floor > 0 {
		seconds = min(seconds, own/class.floor)
	}
	return bounded(seconds, 0, longestWait)
}

// pace returns the expected work of a class that one slot does in a second; 0
// is unknown. A class of which nothing has finished goes by all others.
func (scheduler *Scheduler) pace(class *class) float64 {
	if speed := class.meter.speed(); speed > 0 {
		return speed
	}
	return scheduler.meter.speed()
}

// typical returns the expected work of one ask of the class; a class of which
// nothing has finished goes by all others.
func (scheduler *Scheduler) typical(class *class) float64 {
	if class.meter.count > 0 {
		return class.meter.mean()
	}
	return scheduler.meter.mean()
}

// available returns the slots that are left to the class: its own, less what
// higher tiers were granted of late, and less the floors of the lower classes
// that wait.
func (scheduler *Scheduler) available(now time.Time, class *class, shape *shape) float64 {
	taken, floors := 0.0, 0.0
	for _, other := range scheduler.order {
		switch tier := scheduler.tierOf(other); {
		case tier < scheduler.tierOf(class):
			taken += other.rate(now) / max(scheduler.pace(other), 1)
		case tier > scheduler.tierOf(class) && other.waiting > 0:
			floors += other.floor
		}
	}
	part := shape.part(scheduler.whole)
	whole := float64(shape.limit) - taken*part
	if scheduler.guards(class) {
		return max(0, whole)
	}
	return max(0, min(whole, float64(shape.ordinary))-floors*part)
}

// ahead returns the slot time in seconds that the asks of higher tiers and of
// the class's own wait for, as far as they can use the same upstreams.
func (scheduler *Scheduler) ahead(class *class, shape *shape) (higher, same float64) {
	tier := scheduler.tierOf(class)
	for _, lane := range scheduler.lanes {
		if lane.count == 0 {
			continue
		}
		seconds := lane.cost / scheduler.pace(lane.class) * lane.shape.overlap(shape)
		switch other := scheduler.tierOf(lane.class); {
		case other < tier:
			higher += seconds
		case other == tier:
			same += seconds
		}
	}
	return higher, same
}

// bounded returns the seconds as a duration between least and most.
func bounded(seconds float64, least, most time.Duration) time.Duration {
	if math.IsNaN(seconds) || seconds >= most.Seconds() {
		return most
	}
	return max(time.Duration(seconds*float64(time.Second)), least)
}

package scheduler

import (
	"time"

	"limpetcleat/messenger"
)

// preempt pauses lower work for the asks that no slot is free for.
func (scheduler *Scheduler) preempt(now time.Time) []Decision {
	if !scheduler.pauses() {
		return nil
	}
	var decisions []Decision
	for _, class := range scheduler.order {
		for class.waiting > 0 && scheduler.pausableBelow(class) {
			lane, victim := scheduler.victim(class)
			if victim == nil {
				break
			}
			if head := lane.head(); head.hopeless(now) {
				decisions = append(decisions, scheduler.refuse(now, head, messenger.DeadlineMissed))
				continue
			}
			scheduler.pause(now, victim)
			decisions = append(decisions, scheduler.issue(now, lane.head(), victim.slots))
		}
	}
	return decisions
}

// pausableBelow tells whether any lower work may be paused for the class. It
// may err on the side of true.
func (scheduler *Scheduler) pausableBelow(asking *class) bool {
	for _, class := range scheduler.order {
		if class.pausable > 0 && class.tier() > asking.tier() {
			return true
		}
	}
	return false
}

// guards tells whether the class has the rights of a protected one.
func (scheduler *Scheduler) guards(class *class) bool {
	return scheduler.traits.protection && class.protected()
}

// victim returns the lane of the class that goes first of those that have lower
// work to pause, and that work.
func (scheduler *Scheduler) victim(class *class) (*lane, *grant) {
	var best *lane
	var chosen *grant
	for _, lane := range scheduler.lanes {
		if lane.class != class || lane.count == 0 {
			continue
		}
		if best != nil && !lane.flows.first().before(best.flows.first()) {
			continue
		}
		if victim := scheduler.victimFor(lane); victim != nil {
			best, chosen = lane, victim
		}
	}
	return best, chosen
}

// victimFor returns the work to pause for the head of a lane: of the least
// urgent, the youngest. Unprotected classes keep to the bound on paused
// requests, and take nothing that is part of a floor.
func (scheduler *Scheduler) victimFor(lane *lane) *grant {
	var chosen *grant
	for _, slots := range lane.shape.table {
		victim := slots.victim(priorityOf(lane.class.tier()))
		if victim == nil || !slots.open() || chosen != nil && compareUrgency(victim, chosen) <= 0 {
			continue
		}
		if scheduler.guards(lane.class) || !victim.pinned && slots.stretches() {
			chosen = victim
		}
	}
	return chosen
}

package scheduler

import (
	"time"

	"limpetcleat/messenger"
)

// preempt pauses lower work for asks that find no free slot, and returns the
// decisions.
func (scheduler *Scheduler) preempt(now time.Time) []Decision {
	if !scheduler.canPreempt() {
		return nil
	}
	var decisions []Decision
	for _, class := range scheduler.classesByTier {
		for class.waiting > 0 && scheduler.pausableBelow(class) {
			lane, victim := scheduler.victim(class)
			if victim == nil {
				break
			}
			if head := lane.head(); head.deadlinePassed(now) {
				decisions = append(decisions, scheduler.refuse(now, head, messenger.DeadlineMissed))
				continue
			}
			scheduler.pause(now, victim)
			decisions = append(decisions, scheduler.issue(now, lane.head(), victim.upstream))
		}
	}
	return decisions
}

// pausableBelow reports whether any lower work may be paused for the class. It may
// return true although there is none, but not the reverse.
func (scheduler *Scheduler) pausableBelow(asking *class) bool {
	for _, class := range scheduler.classesByTier {
		if class.preemptibleActive > 0 && class.tier() > asking.tier() {
			return true
		}
	}
	return false
}

// isProtected reports whether the class is protected and the policy has protection.
func (scheduler *Scheduler) isProtected(class *class) bool {
	return scheduler.features.protection && class.protected()
}

// victim returns the first lane of the class for which lower work can be paused, and
// the grant to pause; both are nil if there is none.
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

// victimFor returns the grant to pause for the first ask of a lane: the youngest of the
// least urgent priority, or nil. Unprotected classes respect the bound on paused
// grants and cause no grant within a floor to be paused.
func (scheduler *Scheduler) victimFor(lane *lane) *grant {
	var chosen *grant
	for _, upstream := range lane.upstreamSet.upstreams {
		victim := upstream.victim(tierPriority(lane.class.tier()))
		if victim == nil || !upstream.acceptsRequests() || chosen != nil && compareUrgency(victim, chosen) <= 0 {
			continue
		}
		if scheduler.isProtected(lane.class) || !victim.pinned && upstream.allowsPreemption() {
			chosen = victim
		}
	}
	return chosen
}

package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// enqueue adds a new ask to the queue; it returns false when no upstream fits the
// ask.
func (scheduler *Scheduler) enqueue(now time.Time, ask Ask) (*queuedAsk, bool) {
	class := scheduler.class(ask.Class)
	scheduler.lastSequence++
	queuedAsk := &queuedAsk{ask: ask, enqueuedAt: now, sequence: scheduler.lastSequence, cost: scheduler.cost(ask)}
	return queuedAsk, scheduler.insert(queuedAsk, class)
}

// insert adds a queued ask to its lane; it returns false when no upstream fits the
// ask.
func (scheduler *Scheduler) insert(queuedAsk *queuedAsk, class *class) bool {
	upstreamSet := scheduler.upstreamSet(queuedAsk.ask.Model, queuedAsk.ask.Exclude)
	if len(upstreamSet.upstreams) == 0 {
		return false
	}
	scheduler.setExpiry(queuedAsk, class)
	lane := scheduler.lane(class, upstreamSet)
	account := lane.tier.account(scheduler.accountName(queuedAsk.ask), queuedAsk.ask.Weight)
	lane.add(queuedAsk, account)
	scheduler.queued[queuedAsk.ask.Request] = queuedAsk
	scheduler.byExpiry.push(queuedAsk)
	return true
}

// setExpiry sets when and why a queued ask will be refused, and its sort time.
func (scheduler *Scheduler) setExpiry(queuedAsk *queuedAsk, class *class) {
	queuedAsk.expiresAt = queuedAsk.ask.Arrival.Add(class.definition.LongestWait())
	patient := queuedAsk.enqueuedAt.Add(scheduler.maxQueueTime(class))
	first := class.waiting == 0 && class.starving()
	if patient.Before(queuedAsk.expiresAt) && !first {
		queuedAsk.expiresAt = patient
	}
	queuedAsk.reason = messenger.WaitExceeded
	if deadline := queuedAsk.ask.Deadline; !deadline.IsZero() && deadline.Before(queuedAsk.expiresAt) {
		queuedAsk.expiresAt = deadline
		queuedAsk.reason = messenger.DeadlineMissed
	}
	queuedAsk.sortTime = queuedAsk.expiresAt
	if !scheduler.features.fairness {
		queuedAsk.sortTime = queuedAsk.ask.Arrival
	}
}

// accountName returns the organisation whose account an ask is charged to. Without
// fairness, all asks share one account.
func (scheduler *Scheduler) accountName(ask Ask) definer.OrganisationName {
	if !scheduler.features.fairness {
		return ""
	}
	return ask.Organisation
}

func (scheduler *Scheduler) tierOf(class *class) int {
	if !scheduler.features.tiers {
		return 0
	}
	return class.tier()
}

func (scheduler *Scheduler) tier(number int) *tier {
	found, ok := scheduler.tiers[number]
	if !ok {
		found = newTier()
		scheduler.tiers[number] = found
	}
	return found
}

func (scheduler *Scheduler) lane(class *class, upstreamSet *upstreamSet) *lane {
	tier := scheduler.tier(scheduler.tierOf(class))
	for _, lane := range scheduler.lanes {
		if lane.class == class && lane.upstreamSet == upstreamSet && lane.tier == tier {
			return lane
		}
	}
	made := &lane{class: class, upstreamSet: upstreamSet, tier: tier, byOrganisation: make(map[definer.OrganisationName]*flow)}
	scheduler.lanes = append(scheduler.lanes, made)
	scheduler.upstreamSets[upstreamSet.key] = upstreamSet
	return made
}

// dequeue removes an ask from the queue.
func (scheduler *Scheduler) dequeue(queuedAsk *queuedAsk) {
	lane := queuedAsk.flow.lane
	lane.remove(queuedAsk)
	delete(scheduler.queued, queuedAsk.ask.Request)
	scheduler.byExpiry.remove(queuedAsk)
	if lane.count == 0 && len(lane.upstreamSet.excluded) > 0 {
		scheduler.removeLane(lane)
	}
}

// removeLane removes an empty lane, and its upstream set if no other lane uses it.
func (scheduler *Scheduler) removeLane(empty *lane) {
	scheduler.lanes = slices.DeleteFunc(scheduler.lanes, func(lane *lane) bool { return lane == empty })
	used := slices.ContainsFunc(scheduler.lanes, func(lane *lane) bool { return lane.upstreamSet == empty.upstreamSet })
	if !used {
		delete(scheduler.upstreamSets, empty.upstreamSet.key)
	}
}

// queuedInOrder returns the waiting asks in the order in which they were queued.
func (scheduler *Scheduler) queuedInOrder() []*queuedAsk {
	return slices.SortedFunc(maps.Values(scheduler.queued), func(a, b *queuedAsk) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// grantsOf returns a member's grants in the order in which they were made.
func (scheduler *Scheduler) grantsOf(member definer.Member) []*grant {
	var held []*grant
	for _, grant := range scheduler.grants {
		if grant.ask.Entry == member {
			held = append(held, grant)
		}
	}
	slices.SortFunc(held, func(a, b *grant) int { return cmp.Compare(a.sequence, b.sequence) })
	return held
}

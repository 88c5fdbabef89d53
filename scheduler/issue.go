package scheduler

import (
	"fmt"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// issue grants a waiting ask a slot of the upstream.
func (scheduler *Scheduler) issue(now time.Time, entry *waiting, slots *slots) Decision {
	lane := entry.flow.lane
	scheduler.drop(entry)
	scheduler.issued++
	id := definer.GrantID(fmt.Sprintf("%s.%d.%s.%d.%d", scheduler.owner.VM, scheduler.owner.Incarnation, scheduler.shard.Pool, scheduler.shard.Index, scheduler.issued))
	made := scheduler.take(now, now, id, entry.ask, lane.class, slots, entry.cost)
	lane.class.drain(now, entry.cost)
	scheduler.rotation = slots.position
	slots.spend(now)
	slots.try(now)
	return granted(made)
}

// take enters a grant into the table and charges for it.
func (scheduler *Scheduler) take(now, since time.Time, id definer.GrantID, ask Ask, class *class, slots *slots, cost float64) *grant {
	scheduler.arrived++
	tier := scheduler.tier(scheduler.tierOf(class))
	made := &grant{
		id:          id,
		ask:         ask,
		class:       class,
		tier:        tier,
		account:     tier.account(scheduler.customer(ask), ask.Weight),
		slots:       slots,
		since:       since,
		cost:        cost,
		sequence:    scheduler.arrived,
		preemptible: class.definition.Preemptible() && scheduler.pauses(),
		protected:   scheduler.guards(class),
	}
	made.pin(now)
	made.priority = scheduler.urgency(made)
	class.turn = scheduler.arrived
	made.account.grants++
	tier.charge(made.account, cost)
	slots.cost += cost
	scheduler.activate(now, made)
	scheduler.grants[id] = made
	scheduler.held[ask.Request] = append(scheduler.held[ask.Request], made)
	return made
}

// urgency returns the priority that the engine is told, between those of the
// tiers: a grant that is part of its class's floor ranks after the protected
// classes above it and before all else, so that only those have it paused.
func (scheduler *Scheduler) urgency(grant *grant) int {
	if !grant.pinned {
		return priorityOf(grant.class.tier())
	}
	last := noTier
	for _, class := range scheduler.order {
		if scheduler.guards(class) && class.tier() < grant.class.tier() {
			last = class.tier()
		}
	}
	return priorityOf(last) + 1
}

// priorityOf returns the priority of a tier's usual work.
func priorityOf(tier int) int { return 2*tier + 1 }

// activate counts a grant as running.
func (scheduler *Scheduler) activate(now time.Time, grant *grant) {
	slots := grant.slots
	slots.active++
	if !grant.protected {
		slots.ordinaryActive++
	}
	grant.class.accrue(now)
	grant.class.active++
	if grant.pinned {
		grant.class.pinned++
	}
	if grant.preemptible {
		grant.class.pausable++
		slots.preemptible = insertGrant(slots.preemptible, grant)
	}
}

// deactivate counts a grant as not running.
func (scheduler *Scheduler) deactivate(now time.Time, grant *grant) {
	slots := grant.slots
	slots.active--
	if !grant.protected {
		slots.ordinaryActive--
	}
	grant.class.accrue(now)
	grant.class.active--
	if grant.pinned {
		grant.class.pinned--
	}
	if grant.preemptible {
		grant.class.pausable--
		slots.preemptible = deleteGrant(slots.preemptible, grant)
	}
}

// pause takes the slot from a grant; the engine keeps its tokens.
func (scheduler *Scheduler) pause(now time.Time, grant *grant) {
	scheduler.deactivate(now, grant)
	grant.paused = true
	grant.pausedAt = now
	grant.slots.paused = insertGrant(grant.slots.paused, grant)
}

// resume gives a paused grant a slot again.
func (scheduler *Scheduler) resume(now time.Time, grant *grant) {
	grant.slots.paused = deleteGrant(grant.slots.paused, grant)
	grant.paused = false
	grant.pausedFor += now.Sub(grant.pausedAt)
	grant.pin(now)
	scheduler.arrived++
	grant.class.turn = scheduler.arrived
	scheduler.activate(now, grant)
}

// free takes a grant out of the table and corrects what was charged for it.
func (scheduler *Scheduler) free(now time.Time, grant *grant, observation messenger.Observation) {
	busy := now.Sub(grant.since) - grant.pausedFor
	if grant.paused {
		busy -= now.Sub(grant.pausedAt)
		grant.slots.paused = deleteGrant(grant.slots.paused, grant)
	} else {
		scheduler.deactivate(now, grant)
	}
	delete(scheduler.grants, grant.id)
	request := grant.ask.Request
	scheduler.held[request] = slices.DeleteFunc(scheduler.held[request], isGrant(grant))
	if len(scheduler.held[request]) == 0 {
		delete(scheduler.held, request)
	}
	used := scheduler.learn(now, grant, busy, observation)
	grant.slots.cost -= grant.cost
	grant.account.grants--
	grant.tier.charge(grant.account, used-grant.cost)
}

func (scheduler *Scheduler) freeAll(now time.Time, grants []*grant) {
	for _, grant := range slices.Clone(grants) {
		scheduler.free(now, grant, messenger.Observation{})
	}
}

func granted(grant *grant) Decision {
	return Decision{
		Ask:         grant.ask,
		Grant:       grant.id,
		Upstream:    grant.slots.name,
		Priority:    grant.priority,
		Preemptible: grant.preemptible,
	}
}

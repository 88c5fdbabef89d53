package scheduler

import (
	"fmt"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// issue grants a waiting ask a slot of the upstream.
func (scheduler *Scheduler) issue(now time.Time, queuedAsk *queuedAsk, upstream *upstream) Decision {
	lane := queuedAsk.flow.lane
	scheduler.dequeue(queuedAsk)
	scheduler.issued++
	id := definer.GrantID(fmt.Sprintf("%s.%d.%s.%d.%d", scheduler.owner.VM, scheduler.owner.Incarnation, scheduler.shard.Pool, scheduler.shard.Index, scheduler.issued))
	made := scheduler.addGrant(now, now, id, queuedAsk.ask, lane.class, upstream, queuedAsk.cost)
	lane.class.recordWork(now, queuedAsk.cost)
	scheduler.rotation = upstream.position
	upstream.consumePermit(now)
	upstream.startTrial(now)
	return grantDecision(made)
}

// addGrant records a grant and charges its cost to the organisation's account.
func (scheduler *Scheduler) addGrant(now, since time.Time, id definer.GrantID, ask Ask, class *class, upstream *upstream, cost float64) *grant {
	scheduler.lastSequence++
	tier := scheduler.tier(scheduler.tierOf(class))
	made := &grant{
		id:          id,
		ask:         ask,
		class:       class,
		tier:        tier,
		account:     tier.account(scheduler.accountName(ask), ask.Weight),
		upstream:    upstream,
		startedAt:   since,
		cost:        cost,
		sequence:    scheduler.lastSequence,
		preemptible: class.definition.Preemptible() && scheduler.canPreempt(),
		protected:   scheduler.isProtected(class),
	}
	made.pin(now)
	made.priority = scheduler.enginePriority(made)
	class.lastGrant = scheduler.lastSequence
	made.account.grants++
	tier.charge(made.account, cost)
	upstream.cost += cost
	scheduler.activate(now, made)
	scheduler.grants[id] = made
	scheduler.grantsByRequest[ask.Request] = append(scheduler.grantsByRequest[ask.Request], made)
	return made
}

// enginePriority returns the priority sent to the engine. A grant within the floor of
// its class gets a priority between those of two tiers: less urgent than the protected
// classes of higher tiers and more urgent than all other work, so that only those
// protected classes cause it to be paused.
func (scheduler *Scheduler) enginePriority(grant *grant) int {
	if !grant.pinned {
		return tierPriority(grant.class.tier())
	}
	last := noTier
	for _, class := range scheduler.classesByTier {
		if scheduler.isProtected(class) && class.tier() < grant.class.tier() {
			last = class.tier()
		}
	}
	return tierPriority(last) + 1
}

// tierPriority returns the priority of the work of a tier that is not within a floor.
func tierPriority(tier int) int { return 2*tier + 1 }

// activate counts a grant as running.
func (scheduler *Scheduler) activate(now time.Time, grant *grant) {
	upstream := grant.upstream
	upstream.active++
	if !grant.protected {
		upstream.unprotectedActive++
	}
	grant.class.accrue(now)
	grant.class.active++
	if grant.pinned {
		grant.class.pinned++
	}
	if grant.preemptible {
		grant.class.preemptibleActive++
		upstream.preemptible = insertGrant(upstream.preemptible, grant)
	}
}

// deactivate counts a grant as not running.
func (scheduler *Scheduler) deactivate(now time.Time, grant *grant) {
	upstream := grant.upstream
	upstream.active--
	if !grant.protected {
		upstream.unprotectedActive--
	}
	grant.class.accrue(now)
	grant.class.active--
	if grant.pinned {
		grant.class.pinned--
	}
	if grant.preemptible {
		grant.class.preemptibleActive--
		upstream.preemptible = deleteGrant(upstream.preemptible, grant)
	}
}

// pause takes the slot from a grant; the engine keeps the tokens computed so far.
func (scheduler *Scheduler) pause(now time.Time, grant *grant) {
	scheduler.deactivate(now, grant)
	grant.paused = true
	grant.pausedAt = now
	grant.upstream.paused = insertGrant(grant.upstream.paused, grant)
}

// resume gives a slot to a paused grant.
func (scheduler *Scheduler) resume(now time.Time, grant *grant) {
	grant.upstream.paused = deleteGrant(grant.upstream.paused, grant)
	grant.paused = false
	grant.pausedFor += now.Sub(grant.pausedAt)
	grant.pin(now)
	scheduler.lastSequence++
	grant.class.lastGrant = scheduler.lastSequence
	scheduler.activate(now, grant)
}

// free removes a grant and corrects the cost charged for it to the work done.
func (scheduler *Scheduler) free(now time.Time, grant *grant, observation messenger.Observation) {
	busy := now.Sub(grant.startedAt) - grant.pausedFor
	if grant.paused {
		busy -= now.Sub(grant.pausedAt)
		grant.upstream.paused = deleteGrant(grant.upstream.paused, grant)
	} else {
		scheduler.deactivate(now, grant)
	}
	delete(scheduler.grants, grant.id)
	request := grant.ask.Request
	scheduler.grantsByRequest[request] = slices.DeleteFunc(scheduler.grantsByRequest[request], isGrant(grant))
	if len(scheduler.grantsByRequest[request]) == 0 {
		delete(scheduler.grantsByRequest, request)
	}
	used := scheduler.learn(now, grant, busy, observation)
	grant.upstream.cost -= grant.cost
	grant.account.grants--
	grant.tier.charge(grant.account, used-grant.cost)
}

func (scheduler *Scheduler) freeAll(now time.Time, grants []*grant) {
	for _, grant := range slices.Clone(grants) {
		scheduler.free(now, grant, messenger.Observation{})
	}
}

func grantDecision(grant *grant) Decision {
	return Decision{
		Ask:         grant.ask,
		Grant:       grant.id,
		Upstream:    grant.upstream.name,
		Priority:    grant.priority,
		Preemptible: grant.preemptible,
	}
}

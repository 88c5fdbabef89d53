package scheduler

import (
	"cmp"
	"time"

	"limpetcleat/messenger"
)

// Bands order the candidates of one tier for a free slot.
const (
	protectedBand = iota
	floorBand
	ordinaryBand
)

// noTier sorts before every tier.
const noTier = -1

// candidate is a candidate for a free slot: the first ask of a lane, or a paused
// grant.
type candidate struct {
	// Candidates are ordered by tier and band, and within the floor band by floorUse
	// and lastGrant.
	tier int
	band int
	// floorUse is the part of its floor that the class uses.
	floorUse float64
	// lastGrant is the sequence number of the class's last grant.
	lastGrant uint64
	// lane is nil for a paused grant; grant is nil for a waiting ask.
	lane  *lane
	grant *grant
}

// before reports whether the candidate gets a slot that both could use.
func (candidate candidate) before(other candidate) bool {
	order := cmp.Or(cmp.Compare(candidate.tier, other.tier), cmp.Compare(candidate.band, other.band))
	if order == 0 && candidate.band == floorBand {
		order = cmp.Or(cmp.Compare(candidate.floorUse, other.floorUse), cmp.Compare(candidate.lastGrant, other.lastGrant))
	}
	if order != 0 {
		return order < 0
	}
	if candidate.grant != nil || other.grant != nil {
		return other.grant == nil || candidate.grant != nil && compareGrants(candidate.grant, other.grant) < 0
	}
	return candidate.lane.flows.first().before(other.lane.flows.first())
}

// decide fills the free slots, pauses lower work for the asks that still wait, refuses
// the asks that have then expired, and returns the decisions. An ask that has reached
// its longest wait still gets a slot that is free now; an ask past its deadline does
// not.
func (scheduler *Scheduler) decide(now time.Time) []Decision {
	decisions := scheduler.pending
	scheduler.pending = nil
	for _, upstream := range scheduler.upstreams {
		upstream.breaker.update(now)
		upstream.updateRate(now)
		upstream.updateBackoff(now)
	}
	for {
		next, ok := scheduler.next(now)
		if !ok {
			break
		}
		if next.grant != nil {
			scheduler.resume(now, next.grant)
			continue
		}
		if head := next.lane.head(); head.deadlinePassed(now) {
			decisions = append(decisions, scheduler.refuse(now, head, messenger.DeadlineMissed))
			continue
		}
		decisions = append(decisions, scheduler.issue(now, next.lane.head(), scheduler.choose(next.lane)))
	}
	decisions = append(decisions, scheduler.preempt(now)...)
	decisions = append(decisions, scheduler.refuseOverdue(now)...)
	return decisions
}

// refuseOverdue refuses the asks whose longest wait or deadline has passed.
func (scheduler *Scheduler) refuseOverdue(now time.Time) []Decision {
	var decisions []Decision
	for scheduler.byExpiry.len() > 0 && scheduler.byExpiry.first().expiresAt.Before(now) {
		queuedAsk := scheduler.byExpiry.first()
		decisions = append(decisions, scheduler.refuse(now, queuedAsk, queuedAsk.reason))
	}
	return decisions
}

// findRoom updates the masks of upstreams with room and reports whether there are any.
func (scheduler *Scheduler) findRoom() (any bool) {
	clear(scheduler.unprotectedRoom)
	clear(scheduler.protectedRoom)
	for _, upstream := range scheduler.upstreams {
		if !upstream.hasRoom(true) {
			continue
		}
		any = true
		word, bit := upstream.position/wordBits, uint64(1)<<(upstream.position%wordBits)
		scheduler.protectedRoom[word] |= bit
		if upstream.hasRoom(false) {
			scheduler.unprotectedRoom[word] |= bit
		}
	}
	return any
}

// roomFor returns the mask of upstreams with room for the class, as of the last call
// of findRoom.
func (scheduler *Scheduler) roomFor(class *class) []uint64 {
	if class.protected() && scheduler.features.protection {
		return scheduler.protectedRoom
	}
	return scheduler.unprotectedRoom
}

// next returns the first candidate for which an upstream has room.
func (scheduler *Scheduler) next(now time.Time) (candidate, bool) {
	var best candidate
	if !scheduler.findRoom() {
		return best, false
	}
	found := false
	consider := func(other candidate) {
		if !found || other.before(best) {
			best, found = other, true
		}
	}
	for _, lane := range scheduler.lanes {
		if lane.count > 0 && lane.upstreamSet.intersects(scheduler.roomFor(lane.class)) {
			consider(scheduler.rank(now, lane.class, candidate{lane: lane}))
		}
	}
	for _, upstream := range scheduler.upstreams {
		if upstream.resumable() {
			for _, grant := range upstream.paused {
				consider(scheduler.rank(now, grant.class, candidate{grant: grant}))
			}
		}
	}
	return best, found
}

// rank sets the tier and band of a candidate. Protected classes come first in their
// tier. A class below its floor comes right after the lowest tier, down to its own, in
// which a protected ask waits, or before all tiers if there is none. All other classes
// are ordered by tier.
func (scheduler *Scheduler) rank(now time.Time, class *class, candidate candidate) candidate {
	candidate.tier = scheduler.tierOf(class)
	candidate.band = ordinaryBand
	if scheduler.features.protection && class.protected() {
		candidate.band = protectedBand
		return candidate
	}
	class.accrue(now)
	if !scheduler.features.floors || !class.belowFloor() {
		return candidate
	}
	candidate.band = floorBand
	candidate.floorUse = float64(class.active) / class.floor
	candidate.lastGrant = class.lastGrant
	candidate.tier = scheduler.lowestProtectedTier(candidate.tier)
	return candidate
}

// lowestProtectedTier returns the lowest tier, down to the given one, in which a
// protected ask waits, or noTier.
func (scheduler *Scheduler) lowestProtectedTier(tier int) int {
	last := noTier
	if !scheduler.features.protection {
		return last
	}
	for _, class := range scheduler.classesByTier {
		if class.waiting > 0 && class.protected() && class.tier() <= tier {
			last = class.tier()
		}
	}
	return last
}

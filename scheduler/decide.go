package scheduler

import (
	"cmp"
	"time"

	"limpetcleat/messenger"
)

// Bands order what may take a free slot within one tier.
const (
	protectedBand = iota
	floorBand
	ordinaryBand
)

// noTier ranks before every tier.
const noTier = -1

// candidate is what may take a free slot next: the head of a lane, or a paused
// grant.
type candidate struct {
	// tier and band come first; in the floor band, turn and use decide next.
	tier int
	band int
	// use is the part of its floor that the class uses.
	use float64
	// turn is the number of the class's last grant.
	turn uint64
	// lane is nil for a paused grant, grant for a waiting ask.
	lane  *lane
	grant *grant
}

// before tells whether the candidate gets a slot that both could use.
func (candidate candidate) before(other candidate) bool {
	order := cmp.Or(cmp.Compare(candidate.tier, other.tier), cmp.Compare(candidate.band, other.band))
	if order == 0 && candidate.band == floorBand {
		order = cmp.Or(cmp.Compare(candidate.use, other.use), cmp.Compare(candidate.turn, other.turn))
	}
	if order != 0 {
		return order < 0
	}
	if candidate.grant != nil || other.grant != nil {
		return other.grant == nil || candidate.grant != nil && compareGrants(candidate.grant, other.grant) < 0
	}
	return candidate.lane.flows.first().before(other.lane.flows.first())
}

// decide fills the free slots, pauses lower work for what still waits, refuses
// what is then due, and returns the decisions. An ask at its longest wait still
// gets a slot that is free by now; one past its deadline does not.
func (scheduler *Scheduler) decide(now time.Time) []Decision {
	decisions := scheduler.pending
	scheduler.pending = nil
	for _, slots := range scheduler.table {
		slots.breaker.wake(now)
		slots.refill(now)
		slots.wake(now)
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
		if head := next.lane.head(); head.hopeless(now) {
			decisions = append(decisions, scheduler.refuse(now, head, messenger.DeadlineMissed))
			continue
		}
		decisions = append(decisions, scheduler.issue(now, next.lane.head(), scheduler.choose(next.lane)))
	}
	decisions = append(decisions, scheduler.preempt(now)...)
	decisions = append(decisions, scheduler.overdue(now)...)
	return decisions
}

// overdue refuses the asks whose longest wait or deadline has come.
func (scheduler *Scheduler) overdue(now time.Time) []Decision {
	var decisions []Decision
	for scheduler.due.len() > 0 && scheduler.due.first().due.Before(now) {
		entry := scheduler.due.first()
		decisions = append(decisions, scheduler.refuse(now, entry, entry.reason))
	}
	return decisions
}

// survey finds the upstreams with room.
func (scheduler *Scheduler) survey() (any bool) {
	clear(scheduler.ordinaryRoom)
	clear(scheduler.protectedRoom)
	for _, slots := range scheduler.table {
		if !slots.room(true) {
			continue
		}
		any = true
		word, bit := slots.position/wordBits, uint64(1)<<(slots.position%wordBits)
		scheduler.protectedRoom[word] |= bit
		if slots.room(false) {
			scheduler.ordinaryRoom[word] |= bit
		}
	}
	return any
}

// roomFor returns the upstreams with room for the class, as of the last survey.
func (scheduler *Scheduler) roomFor(class *class) []uint64 {
	if class.protected() && scheduler.traits.protection {
		return scheduler.protectedRoom
	}
	return scheduler.ordinaryRoom
}

// next returns the first candidate that some upstream has room for.
func (scheduler *Scheduler) next(now time.Time) (candidate, bool) {
	var best candidate
	if !scheduler.survey() {
		return best, false
	}
	found := false
	consider := func(other candidate) {
		if !found || other.before(best) {
			best, found = other, true
		}
	}
	for _, lane := range scheduler.lanes {
		if lane.count > 0 && lane.shape.meets(scheduler.roomFor(lane.class)) {
			consider(scheduler.rank(now, lane.class, candidate{lane: lane}))
		}
	}
	for _, slots := range scheduler.table {
		if slots.resumable() {
			for _, grant := range slots.paused {
				consider(scheduler.rank(now, grant.class, candidate{grant: grant}))
			}
		}
	}
	return best, found
}

// rank places a candidate: protected classes first in their tier; a class below
// its floor ahead of all tiers that no protected ask of its own tier or a
// higher one waits in; the others by tier.
func (scheduler *Scheduler) rank(now time.Time, class *class, candidate candidate) candidate {
	candidate.tier = scheduler.tierOf(class)
	candidate.band = ordinaryBand
	if scheduler.traits.protection && class.protected() {
		candidate.band = protectedBand
		return candidate
	}
	class.accrue(now)
	if !scheduler.traits.floors || !class.belowFloor() {
		return candidate
	}
	candidate.band = floorBand
	candidate.use = float64(class.active) / class.floor
	candidate.turn = class.turn
	candidate.tier = scheduler.lastProtected(candidate.tier)
	return candidate
}

// lastProtected returns the lowest tier down to the given one in which a
// protected ask waits, or noTier.
func (scheduler *Scheduler) lastProtected(tier int) int {
	last := noTier
	if !scheduler.traits.protection {
		return last
	}
	for _, class := range scheduler.order {
		if class.waiting > 0 && class.protected() && class.tier() <= tier {
			last = class.tier()
		}
	}
	return last
}

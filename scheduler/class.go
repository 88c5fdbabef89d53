package scheduler

import (
	"math"
	"time"

	"limpetcleat/definer"
)

// debtShare bounds the debt of a class that used more than its floor: the debt is
// repaid within this part of the class's longest wait.
const debtShare = 0.25

// rateTimeConstant is the time constant of the exponentially decayed rate of work
// granted to a class.
const rateTimeConstant = 10 * time.Second

// class holds the scheduling state of one service class.
type class struct {
	// definition is the class as last configured.
	definition *definer.Class
	// active counts the grants that run and are not paused.
	active int
	// waiting counts the asks in the queue; cost is their expected work in tokens.
	waiting int
	cost    float64
	// floor is the number of slots reserved for the class; it may be fractional.
	floor float64
	// credit accounts for the fractional part of the floor, in slot-seconds. It is at
	// most 0; a negative credit is debt from use above the floor.
	credit float64
	// accruedAt is the time up to which credit is computed.
	accruedAt time.Time
	// lastGrant is the sequence number of the last grant; it orders classes below
	// their floor.
	lastGrant uint64
	// preemptibleActive counts the active grants that may be paused.
	preemptibleActive int
	// pinned counts the active grants that belong to the floor.
	pinned int
	// meter measures the speed at which slots do the work of the class.
	meter meter
	// recentWork is the exponentially decayed sum of granted work, in tokens.
	recentWork float64
	// recentWorkAt is the time up to which recentWork is decayed.
	recentWorkAt time.Time
}

func (class *class) tier() int { return class.definition.Tier() }

func (class *class) protected() bool { return class.definition.Protected() }

// accrue updates the credit to now. It must be called before each change of active or
// floor.
func (class *class) accrue(now time.Time) {
	elapsed := now.Sub(class.accruedAt).Seconds()
	if class.accruedAt.IsZero() || elapsed <= 0 {
		class.accruedAt = later(class.accruedAt, now)
		return
	}
	class.accruedAt = now
	whole, part := math.Modf(class.floor)
	if part == 0 {
		class.credit = 0
		return
	}
	if class.active > int(whole) {
		part--
	}
	class.credit = min(0, max(class.minCredit(), class.credit+part*elapsed))
}

// belowFloor reports whether the floor of the class entitles it to the next free slot.
// accrue must have been called for the current time.
func (class *class) belowFloor() bool {
	if class.floor <= 0 || class.protected() {
		return false
	}
	if float64(class.active)+1 <= class.floor {
		return true
	}
	return float64(class.active) < class.floor && class.credit >= 0
}

// mayPin reports whether the next grant belongs to the floor, so that it is not paused
// for unprotected classes. accrue must have been called for the current time.
func (class *class) mayPin() bool {
	if float64(class.pinned)+1 <= class.floor {
		return true
	}
	return float64(class.pinned) < class.floor && class.credit >= 0
}

// minCredit returns the lower bound of the credit.
func (class *class) minCredit() float64 {
	return -class.floor * debtShare * class.definition.LongestWait().Seconds()
}

// starving reports whether at most one ask of the class waits and fewer requests run
// than its floor (or than 1, if the floor is smaller).
func (class *class) starving() bool {
	return class.waiting <= 1 && float64(class.active) < max(class.floor, 1)
}

// recordWork adds granted work, in tokens.
func (class *class) recordWork(now time.Time, cost float64) {
	class.decay(now)
	class.recentWork += cost
}

func (class *class) decay(now time.Time) {
	elapsed := now.Sub(class.recentWorkAt)
	if elapsed <= 0 {
		return
	}
	class.recentWork *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
	class.recentWorkAt = now
}

// rate returns the recently granted work, in tokens per second.
func (class *class) rate(now time.Time) float64 {
	class.decay(now)
	return class.recentWork / rateTimeConstant.Seconds()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

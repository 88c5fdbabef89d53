package scheduler

import (
	"math"
	"time"

	"limpetcleat/definer"
)

// debtShare is the part of a class's longest wait within which a class that
// used more than its floor is back at it.
const debtShare = 0.25

// drainTime is the time constant of the observed rate of a class.
const drainTime = 10 * time.Second

// class is what the scheduler counts of one class.
type class struct {
	// definition is the class as last configured.
	definition *definer.Class
	// active counts the grants that run and are not paused.
	active int
	// waiting counts the asks in the queue, cost their work in tokens.
	waiting int
	cost    float64
	// floor is the class's floor in slots; it need not be whole.
	floor float64
	// credit is the part of a slot, times seconds, that the class may still use
	// on top of the whole slots of its floor; it is at most 0.
	credit float64
	// counted is the instant up to which credit is worked out.
	counted time.Time
	// turn is the number of the last grant; it orders classes below their floor.
	turn uint64
	// pausable counts the active grants that may be paused.
	pausable int
	// pinned counts the active grants that are part of the floor.
	pinned int
	// meter observes how fast slots do the class's work.
	meter meter
	// drained is the decayed sum of granted work, in tokens.
	drained float64
	// drainedAt is the instant up to which drained is decayed.
	drainedAt time.Time
}

func (class *class) tier() int { return class.definition.Tier() }

func (class *class) protected() bool { return class.definition.Protected() }

// accrue brings the floor's credit up to now. It must be called before each
// change of active or floor.
func (class *class) accrue(now time.Time) {
	elapsed := now.Sub(class.counted).Seconds()
	if class.counted.IsZero() || elapsed <= 0 {
		class.counted = later(class.counted, now)
		return
	}
	class.counted = now
	whole, part := math.Modf(class.floor)
	if part == 0 {
		class.credit = 0
		return
	}
	if class.active > int(whole) {
		part--
	}
	class.credit = min(0, max(class.lowest(), class.credit+part*elapsed))
}

// belowFloor tells whether the class may claim the next free slot. It must
// have been accrued up to now.
func (class *class) belowFloor() bool {
	if class.floor <= 0 || class.protected() {
		return false
	}
	if float64(class.active)+1 <= class.floor {
		return true
	}
	return float64(class.active) < class.floor && class.credit >= 0
}

// mayPin tells whether the next grant is part of the floor, and so is not
// paused for unprotected classes. It must have been accrued up to now.
func (class *class) mayPin() bool {
	if float64(class.pinned)+1 <= class.floor {
		return true
	}
	return float64(class.pinned) < class.floor && class.credit >= 0
}

// lowest returns the bound of the credit.
func (class *class) lowest() float64 {
	return -class.floor * debtShare * class.definition.LongestWait().Seconds()
}

// starving tells whether the class has next to nothing: none but one ask waits
// and less than its floor runs.
func (class *class) starving() bool {
	return class.waiting <= 1 && float64(class.active) < max(class.floor, 1)
}

// drain counts granted work.
func (class *class) drain(now time.Time, cost float64) {
	class.decay(now)
	class.drained += cost
}

func (class *class) decay(now time.Time) {
	elapsed := now.Sub(class.drainedAt)
	if elapsed <= 0 {
		return
	}
	class.drained *= math.Exp(-elapsed.Seconds() / drainTime.Seconds())
	class.drainedAt = now
}

// rate returns the work granted a second of late.
func (class *class) rate(now time.Time) float64 {
	class.decay(now)
	return class.drained / drainTime.Seconds()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

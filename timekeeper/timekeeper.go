// Package timekeeper knows the true time of day as well as a node can: by its VM's clock,
// by the steady clock where that one jumps, and by the clocks of peers.
package timekeeper

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
)

const (
	// largestAdjustment is how far the VM's clock may be from what the steady clock makes
	// of it to count as adjusted. Beyond, it has jumped, and is not followed.
	largestAdjustment = 100 * time.Millisecond
	// jumpPatience is how long a jump lasts until it is taken for a correction.
	jumpPatience = 10 * time.Minute
	// readingLife is how long a peer's clock counts after it was heard. Within that the
	// reading that was least late on its way counts.
	readingLife = 10 * time.Second
	// guidanceLife is how long a node goes by its aggregator's time.
	guidanceLife = 5 * time.Second
)

// reading is what a peer's clock showed.
type reading struct {
	// ahead is how far it was before the VM's own clock, less its time on the way.
	ahead time.Duration
	// heardAt is when it was heard, by the steady clock.
	heardAt time.Duration
	// set tells a reading from none.
	set bool
}

// fresh tells whether it counts at a steady time.
func (reading reading) fresh(steady, life time.Duration) bool {
	return reading.set && steady-reading.heardAt < life
}

// Clock returns a VM's time of day, and a steady time since any moment.
type Clock func() (shown time.Time, steady time.Duration)

// System returns the clock of this VM.
func System() Clock {
	began := time.Now()
	return func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(began)
	}
}

// Timekeeper knows the time. It is safe for concurrent use.
type Timekeeper struct {
	clock Clock

	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// anchor is the latest reading of the VM's clock that is followed, anchoredAt when that
	// was by the steady clock.
	anchor     time.Time
	anchoredAt time.Duration
	// jumped is set while the clock shows another time, since jumpedAt.
	jumped   bool
	jumpedAt time.Duration
	// readings are those of peers' own clocks; guidance is that of this node's aggregator,
	// which has compared several.
	readings map[definer.VM]reading
	guidance reading
}

// New returns a Timekeeper over the VM's clock.
func New(clock Clock) *Timekeeper {
	timekeeper := &Timekeeper{clock: clock, readings: make(map[definer.VM]reading)}
	timekeeper.follow(clock())
	return timekeeper
}

// follow goes by the clock from now on; mutex is held.
func (timekeeper *Timekeeper) follow(shown time.Time, steady time.Duration) {
	timekeeper.anchor, timekeeper.anchoredAt, timekeeper.jumped = shown, steady, false
}

// Own returns the time by this VM's clock alone, without its jumps.
func (timekeeper *Timekeeper) Own() time.Time {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	own, _ := timekeeper.own()
	return own
}

// own looks at the VM's clock and returns the time by it, and the steady time; mutex is held.
func (timekeeper *Timekeeper) own() (own time.Time, steady time.Duration) {
	shown, steady := timekeeper.clock()
	expected := timekeeper.anchor.Add(steady - timekeeper.anchoredAt)
	if shown.Sub(expected).Abs() <= largestAdjustment {
		timekeeper.follow(shown, steady)
		return shown, steady
	}
	if !timekeeper.jumped {
		timekeeper.jumped, timekeeper.jumpedAt = true, steady
	}
	if steady-timekeeper.jumpedAt > jumpPatience {
		timekeeper.follow(shown, steady)
		return shown, steady
	}
	return expected, steady
}

// Now returns what is taken for the true time: that of the aggregator if it tells, else
// the median of this VM's clock and those of the peers heard.
func (timekeeper *Timekeeper) Now() time.Time {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	own, steady := timekeeper.own()
	return own.Add(timekeeper.behind(steady))
}

// behind returns how far this VM's clock is behind the true time; mutex is held.
func (timekeeper *Timekeeper) behind(steady time.Duration) time.Duration {
	if timekeeper.guidance.fresh(steady, guidanceLife) {
		return timekeeper.guidance.ahead
	}
	differences := []time.Duration{0}
	for vm, reading := range timekeeper.readings {
		if !reading.fresh(steady, readingLife) {
			delete(timekeeper.readings, vm)
			continue
		}
		differences = append(differences, reading.ahead)
	}
	slices.Sort(differences)
	middle := len(differences) / 2
	if len(differences)%2 == 1 {
		return differences[middle]
	}
	return (differences[middle-1] + differences[middle]) / 2
}

// Hear takes in what a peer's own clock shows.
func (timekeeper *Timekeeper) Hear(from definer.VM, shown time.Time) {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	timekeeper.readings[from] = timekeeper.better(timekeeper.readings[from], shown, readingLife)
	timekeeper.guidance = reading{} // Peers report to this node: it compares by itself.
}

// Follow takes in what this node's aggregator takes for the true time.
func (timekeeper *Timekeeper) Follow(told time.Time) {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	timekeeper.guidance = timekeeper.better(timekeeper.guidance, told, guidanceLife)
}

// better returns the later one of two readings, or the earlier one while that counts and
// was less late; mutex is held.
func (timekeeper *Timekeeper) better(known reading, shown time.Time, life time.Duration) reading {
	own, steady := timekeeper.own()
	ahead := shown.Sub(own)
	if known.fresh(steady, life) && known.ahead > ahead {
		return known
	}
	return reading{ahead: ahead, heardAt: steady, set: true}
}

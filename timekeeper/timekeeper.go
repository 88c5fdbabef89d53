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
	at    time.Time
}

// Timekeeper knows the time. It is safe for concurrent use.
type Timekeeper struct {
	// clock returns the VM's time of day with the steady time, as time.Now does.
	clock func() time.Time

	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// anchor is the latest reading of the VM's clock that is followed.
	anchor time.Time
	// jumpedAt is since when the clock has shown another time; zero while it does not.
	jumpedAt time.Time
	// readings are those of peers' own clocks; guidance is that of this node's aggregator,
	// which has compared several.
	readings map[definer.VM]reading
	guidance reading
}

// New returns a Timekeeper over the VM's clock.
func New(clock func() time.Time) *Timekeeper {
	return &Timekeeper{clock: clock, anchor: clock(), readings: make(map[definer.VM]reading)}
}

// Own returns the time by this VM's clock alone, without its jumps.
func (timekeeper *Timekeeper) Own() time.Time {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	return timekeeper.own(timekeeper.clock())
}

// own follows the VM's clock; mutex is held.
func (timekeeper *Timekeeper) own(now time.Time) time.Time {
	steady := timekeeper.anchor.Add(now.Sub(timekeeper.anchor)).Round(0)
	shown := now.Round(0)
	if shown.Sub(steady).Abs() <= largestAdjustment {
		timekeeper.anchor, timekeeper.jumpedAt = now, time.Time{}
		return shown
	}
	if timekeeper.jumpedAt.IsZero() {
		timekeeper.jumpedAt = now
	}
	if now.Sub(timekeeper.jumpedAt) > jumpPatience {
		timekeeper.anchor, timekeeper.jumpedAt = now, time.Time{}
		return shown
	}
	return steady
}

// Now returns what is taken for the true time: that of the aggregator if it tells, else
// the median of this VM's clock and those of the peers heard.
func (timekeeper *Timekeeper) Now() time.Time {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	now := timekeeper.clock()
	return timekeeper.own(now).Add(timekeeper.behind(now))
}

// behind returns how far this VM's clock is behind the true time; mutex is held.
func (timekeeper *Timekeeper) behind(now time.Time) time.Duration {
	if !timekeeper.guidance.at.IsZero() && now.Sub(timekeeper.guidance.at) < guidanceLife {
		return timekeeper.guidance.ahead
	}
	differences := []time.Duration{0}
	for vm, reading := range timekeeper.readings {
		if now.Sub(reading.at) > readingLife {
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
	now := timekeeper.clock()
	timekeeper.readings[from] = timekeeper.better(now, timekeeper.readings[from], shown, readingLife)
	timekeeper.guidance = reading{} // Peers report to this node: it compares by itself.
}

// Follow takes in what this node's aggregator takes for the true time.
func (timekeeper *Timekeeper) Follow(told time.Time) {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	timekeeper.guidance = timekeeper.better(timekeeper.clock(), timekeeper.guidance, told, guidanceLife)
}

// better returns the later one of two readings, or the earlier one while that counts and
// was less late; mutex is held.
func (timekeeper *Timekeeper) better(now time.Time, known reading, shown time.Time, life time.Duration) reading {
	ahead := shown.Sub(timekeeper.own(now))
	if !known.at.IsZero() && now.Sub(known.at) < life && known.ahead > ahead {
		return known
	}
	return reading{ahead: ahead, at: now}
}

// Package timekeeper estimates the time of day. It combines the clock of the node's VM,
// the monotonic clock, which replaces it while it has jumped, and the clocks of peers.
package timekeeper

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
)

const (
	// maxAdjustment is the largest difference between the VM's clock and the time
	// expected by the monotonic clock that counts as an adjustment. A larger difference
	// is a jump, which is not followed at first.
	maxAdjustment = 100 * time.Millisecond
	// jumpAcceptDelay is how long a jump must last to be accepted as a correction.
	jumpAcceptDelay = 10 * time.Minute
	// readingLifetime is how long a reading of a peer's clock is used. Among the readings
	// within this time the one with the least delay on its way is used.
	readingLifetime = 10 * time.Second
	// aggregatorReadingLifetime is how long a node uses its aggregator's time.
	aggregatorReadingLifetime = 5 * time.Second
)

// reading is a received time, compared with the VM's own clock.
type reading struct {
	// offset is how far the received time was ahead of the VM's own clock; the delay on
	// its way reduces it.
	offset time.Duration
	// receivedAt is when it was received, by the monotonic clock.
	receivedAt time.Duration
	// valid is false for the zero value, which stands for no reading.
	valid bool
}

// isFresh reports whether the reading may still be used at a monotonic time, given its
// lifetime.
func (reading reading) isFresh(monotonic, life time.Duration) bool {
	return reading.valid && monotonic-reading.receivedAt < life
}

// Clock returns the time of day by a VM's clock, and a monotonic time since an arbitrary
// moment.
type Clock func() (shown time.Time, monotonic time.Duration)

// SystemClock returns the clock of this VM.
func SystemClock() Clock {
	began := time.Now()
	return func() (time.Time, time.Duration) {
		now := time.Now()
		return now.Round(0), now.Sub(began)
	}
}

// Timekeeper estimates the time of day. It is safe for concurrent use.
type Timekeeper struct {
	clock Clock

	// mutex guards the fields below. No other lock is acquired while it is held.
	mutex sync.Mutex
	// anchor is the last reading of the VM's clock that was accepted, anchoredAt its
	// monotonic time.
	anchor     time.Time
	anchoredAt time.Duration
	// jumped is set while the VM's clock differs from the expected time, jumpedAt is
	// since when.
	jumped   bool
	jumpedAt time.Duration
	// readings holds the readings of peers' own clocks. aggregatorReading is the time as
	// estimated by this node's aggregator, which compares several clocks.
	readings          map[definer.VM]reading
	aggregatorReading reading
}

// New returns a Timekeeper that uses the VM's clock.
func New(clock Clock) *Timekeeper {
	timekeeper := &Timekeeper{clock: clock, readings: make(map[definer.VM]reading)}
	timekeeper.setAnchor(clock())
	return timekeeper
}

// setAnchor accepts a reading of the VM's clock; later times are expected relative to it.
// The mutex is held.
func (timekeeper *Timekeeper) setAnchor(shown time.Time, monotonic time.Duration) {
	timekeeper.anchor, timekeeper.anchoredAt, timekeeper.jumped = shown, monotonic, false
}

// VMTime returns the time by this VM's clock alone, without jumps.
func (timekeeper *Timekeeper) VMTime() time.Time {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	own, _ := timekeeper.readClock()
	return own
}

// readClock reads the VM's clock and returns the time by it, without jumps, and the
// monotonic time. The mutex is held.
func (timekeeper *Timekeeper) readClock() (own time.Time, monotonic time.Duration) {
	shown, monotonic := timekeeper.clock()
	expected := timekeeper.anchor.Add(monotonic - timekeeper.anchoredAt)
	if shown.Sub(expected).Abs() <= maxAdjustment {
		timekeeper.setAnchor(shown, monotonic)
		return shown, monotonic
	}
	if !timekeeper.jumped {
		timekeeper.jumped, timekeeper.jumpedAt = true, monotonic
	}
	if monotonic-timekeeper.jumpedAt > jumpAcceptDelay {
		timekeeper.setAnchor(shown, monotonic)
		return shown, monotonic
	}
	return expected, monotonic
}

// Now returns the estimated true time: that of the aggregator if a fresh one is known,
// otherwise the median of this VM's clock and the clocks of peers.
func (timekeeper *Timekeeper) Now() time.Time {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	own, monotonic := timekeeper.readClock()
	return own.Add(timekeeper.offset(monotonic))
}

// offset returns how far the estimated true time is ahead of this VM's clock. The mutex
// is held.
func (timekeeper *Timekeeper) offset(monotonic time.Duration) time.Duration {
	if timekeeper.aggregatorReading.isFresh(monotonic, aggregatorReadingLifetime) {
		return timekeeper.aggregatorReading.offset
	}
	differences := []time.Duration{0}
	for vm, reading := range timekeeper.readings {
		if !reading.isFresh(monotonic, readingLifetime) {
			delete(timekeeper.readings, vm)
			continue
		}
		differences = append(differences, reading.offset)
	}
	slices.Sort(differences)
	middle := len(differences) / 2
	if len(differences)%2 == 1 {
		return differences[middle]
	}
	return (differences[middle-1] + differences[middle]) / 2
}

// RecordPeerClock stores a reading of a peer's own clock.
func (timekeeper *Timekeeper) RecordPeerClock(from definer.VM, shown time.Time) {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	timekeeper.readings[from] = timekeeper.betterReading(timekeeper.readings[from], shown, readingLifetime)
	timekeeper.aggregatorReading = reading{} // A node that receives reports of peers' clocks is an aggregator itself.
}

// RecordAggregatorTime stores the time as estimated by this node's aggregator.
func (timekeeper *Timekeeper) RecordAggregatorTime(estimated time.Time) {
	timekeeper.mutex.Lock()
	defer timekeeper.mutex.Unlock()
	timekeeper.aggregatorReading = timekeeper.betterReading(timekeeper.aggregatorReading, estimated, aggregatorReadingLifetime)
}

// betterReading returns a reading of the time shown, or the known reading while that is
// fresh and was delayed less. The mutex is held.
func (timekeeper *Timekeeper) betterReading(known reading, shown time.Time, life time.Duration) reading {
	own, monotonic := timekeeper.readClock()
	offset := shown.Sub(own)
	if known.isFresh(monotonic, life) && known.offset > offset {
		return known
	}
	return reading{offset: offset, receivedAt: monotonic, valid: true}
}

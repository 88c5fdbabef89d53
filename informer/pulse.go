package informer

import (
	"sync"
	"time"
)

const (
	// pauseLimit is the time between two beats from which on the process counts as paused: suspended, or
	// without processor time.
	pauseLimit = 500 * time.Millisecond
	// newsTime is how long after a pause the news that arrived meanwhile take to be read, and the next report of
	// a peer to come.
	newsTime = 150 * time.Millisecond
)

// pulse notices pauses of the process. It is safe for concurrent use.
type pulse struct {
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex sync.Mutex
	// beatAt is when the process was last known to run, resumedAt when a pause last ended; zero for never.
	beatAt    time.Time
	resumedAt time.Time
}

// beat records that the process runs, and returns how long it was paused since the last call; 0 if it was not.
// It is to be called every tickInterval.
func (pulse *pulse) beat(now time.Time) (paused time.Duration) {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	if pulse.pausedAt(now) {
		pulse.resumedAt = now
		paused = now.Sub(pulse.beatAt)
	}
	pulse.beatAt = now
	return paused
}

// pausedAt reports whether the process has just been paused. The mutex is held.
func (pulse *pulse) pausedAt(now time.Time) bool {
	return !pulse.beatAt.IsZero() && now.Sub(pulse.beatAt) >= pauseLimit
}

// runsSince returns since when the process has run without a pause, zero if it always has.
func (pulse *pulse) runsSince(now time.Time) time.Time {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	if pulse.pausedAt(now) {
		return now
	}
	return pulse.resumedAt
}

// settled reports whether the news that arrived during a pause have been read.
func (pulse *pulse) settled(now time.Time) bool {
	pulse.mutex.Lock()
	defer pulse.mutex.Unlock()
	return !pulse.pausedAt(now) && (pulse.resumedAt.IsZero() || now.Sub(pulse.resumedAt) >= newsTime)
}

// Settled reports whether the node's copy of the store's data holds what arrived while the process was paused.
func (informer *Informer) Settled(now time.Time) bool { return informer.pulse.settled(now) }

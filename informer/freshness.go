package informer

import (
	"sync"
	"time"
)

// freshness keeps up to when a node's entries of upstreams and evacuations are known to be
// complete, by the word of peers. It is safe for concurrent use.
type freshness struct {
	// mutex guards completeByPeers; no other lock is acquired while it is held.
	mutex           sync.Mutex
	completeByPeers time.Time
}

// byPeers returns the latest time up to which peers have confirmed the entries.
func (freshness *freshness) byPeers() time.Time {
	freshness.mutex.Lock()
	defer freshness.mutex.Unlock()
	return freshness.completeByPeers
}

// learn records that peers confirmed the entries up to a time.
func (freshness *freshness) learn(at time.Time) {
	freshness.mutex.Lock()
	defer freshness.mutex.Unlock()
	if at.After(freshness.completeByPeers) {
		freshness.completeByPeers = at
	}
}

// EntriesComplete returns the latest time up to which this node's entries of upstreams and
// evacuations are known to be complete, zero if it never was known.
func (informer *Informer) EntriesComplete() time.Time {
	return latest(informer.freshness.byPeers(), informer.completeByStore())
}

// EntriesAge returns for how long it has not been known that this node's entries of upstreams
// and evacuations are complete; 0 before they were first read.
func (informer *Informer) EntriesAge(now time.Time) time.Duration {
	complete := informer.EntriesComplete()
	if complete.IsZero() {
		return 0
	}
	return max(now.Sub(complete), 0)
}

// completeByStore returns the time up to which the store itself has answered this node's calls
// for all of these entries.
func (informer *Informer) completeByStore() time.Time {
	complete := informer.upstreams.Answered()
	if informer.evacuations == nil {
		return complete
	}
	if evacuations := informer.evacuations.Answered(); evacuations.Before(complete) {
		return evacuations
	}
	return complete
}

// latest returns the later of two times.
func latest(left, right time.Time) time.Time {
	if right.After(left) {
		return right
	}
	return left
}

// Complete returns up to when the entries are known to be complete, and up to which revisions
// they are known.
func (knowledge *knowledge) Complete() (at time.Time, upstreams, evacuations uint64) {
	// The time is read before the revisions: what becomes known in between is newer.
	at = knowledge.complete()
	return at, knowledge.knownUpstreams(), knowledge.knownEvacuations()
}

// LearnComplete records a peer's word that a node which knows the entries up to the revisions
// had all of them at the time. It is ignored while this node knows less.
func (knowledge *knowledge) LearnComplete(at time.Time, upstreams, evacuations uint64) {
	if knowledge.knownUpstreams() < upstreams || knowledge.knownEvacuations() < evacuations {
		return
	}
	if now := time.Now(); at.After(now) {
		at = now // A node cannot know more than the present; the clock of a peer may run faster.
	}
	knowledge.learnComplete(at)
}

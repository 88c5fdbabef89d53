package informer

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/follower"
)

// staleInterruptAge is how long a watch must have been waiting before it is ended because
// the copy is too old. The short watch that follows shows whether the store answers.
const staleInterruptAge = 100 * time.Millisecond

const (
	// pollTime is what a node that reads the store for itself only needs to notice that a watch fails, to
	// check that with a second one, and to list.
	pollTime = 800 * time.Millisecond
	// callTime is how long a call takes that the store answers at once.
	callTime = 50 * time.Millisecond
	// minWatchAge is the least time for which a watch waits, where bounds leave less.
	minWatchAge = 200 * time.Millisecond
)

// freshness keeps up to when peers have confirmed that a node's copy of the store's data is current.
// It is safe for concurrent use.
type freshness struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex          sync.Mutex
	currentByPeers time.Time
}

// byPeers returns the latest time up to which peers have confirmed the copy.
func (freshness *freshness) byPeers() time.Time {
	freshness.mutex.Lock()
	defer freshness.mutex.Unlock()
	return freshness.currentByPeers
}

// learn records that peers confirmed the copy up to a time.
func (freshness *freshness) learn(at time.Time) {
	freshness.mutex.Lock()
	defer freshness.mutex.Unlock()
	if at.After(freshness.currentByPeers) {
		freshness.currentByPeers = at
	}
}

// CopyCurrent returns the latest time at which the store had answered, to this node or to a peer
// whose entries this node has, for all that nodes follow; zero if it never did.
func (informer *Informer) CopyCurrent() time.Time {
	byPeers, byStore := informer.freshness.byPeers(), informer.currentByStore()
	if byPeers.After(byStore) {
		return byPeers
	}
	return byStore
}

// CopyAge returns the time since the copy was last known to be current; 0 before it was first read.
func (informer *Informer) CopyAge(now time.Time) time.Duration {
	current := informer.CopyCurrent()
	if current.IsZero() {
		return 0
	}
	return max(now.Sub(current), 0)
}

// currentByStore returns the latest time at which the store itself had answered this node's calls
// for all that nodes follow, zero if it never did. Answers about data with a longer bound than the
// shortest count for longer, by the difference.
func (informer *Informer) currentByStore() time.Time {
	bounds := informer.bounds
	answers := []time.Time{
		counted(informer.configurations.Answered(), bounds.Slack(bounds.Application)),
		counted(informer.upstreams.Answered(), bounds.Slack(bounds.Leaving)),
	}
	if informer.evacuations != nil && bounds.Evacuation > 0 {
		answers = append(answers, counted(informer.evacuations.Answered(), bounds.Slack(bounds.Evacuation)))
	}
	return slices.MinFunc(answers, time.Time.Compare)
}

// counted returns the time of an answer that counts for longer by the slack, or zero for none.
func counted(answered time.Time, slack time.Duration) time.Time {
	if answered.IsZero() {
		return answered
	}
	return answered.Add(slack)
}

// copyWait returns how long a watch on entries waits for a change. wait is that of a node which need
// not keep the copy fresh, and bound the time within which a change has to be known, 0 for any.
func (informer *Informer) copyWait(wait, bound time.Duration) time.Duration {
	switch {
	case bound == 0:
		return wait
	case informer.delegator == nil:
		return min(wait, watchAge(bound)-callTime)
	case informer.keepsFresh.Load():
		return min(wait, informer.delegator.CopyWatchWait()+informer.bounds.Slack(bound))
	}
	return wait
}

// watchAge returns how long a watch may wait on a node that reads the store for itself only, for a change to be
// known within the bound if the watch fails.
func watchAge(bound time.Duration) time.Duration { return max(bound-pollTime, minWatchAge) }

// maxConfirmationAge returns the age of the peers' confirmation from which a node that reads the store for itself
// only asks for configurations.
func (informer *Informer) maxConfirmationAge() time.Duration {
	if bound := informer.bounds.Application; bound > 0 {
		return min(maxConfirmationAge, watchAge(bound))
	}
	return maxConfirmationAge
}

// auditEvery returns the interval at which this node checks its copy by a list; 0 while another node does.
func (informer *Informer) auditEvery(interval time.Duration) func() time.Duration {
	return func() time.Duration {
		if informer.delegator != nil && !informer.keepsFresh.Load() {
			return 0
		}
		return interval
	}
}

// gatherPause returns how long changes are gathered, at most the given time: on a node that keeps the
// copy fresh, half of the wait of its watches. A node that receives changes from another one gathers them until it reads
// again what the answer may lack.
func (informer *Informer) gatherPause(limit time.Duration) time.Duration {
	switch {
	case informer.delegator == nil:
		return limit
	case !informer.keepsFresh.Load():
		return follower.SettleDelay
	case informer.delegator.CopyWatchWait() == 0:
		return limit
	}
	return min(limit, informer.delegator.CopyWatchWait()/2)
}

// endStaleWatches ends long watches when the configuration or the copy has not been confirmed for too
// long, so that the next calls to the store do so.
func (informer *Informer) endStaleWatches(now time.Time) {
	age := now.Sub(informer.confirmer.Confirmed())
	if informer.delegator == nil {
		informer.endOldWatches(age)
		return
	}
	if !informer.keepsFresh.Load() {
		return
	}
	if age >= informer.delegator.MaxAge() {
		informer.configurations.InterruptWatch(minInterruptAge)
	}
	if limit := informer.delegator.MaxCopyAge(); limit > 0 && informer.CopyAge(now) >= limit {
		informer.interruptWatches(staleInterruptAge)
	}
}

// endOldWatches ends the watches that have been waiting for so long that they must have failed, on a node that
// reads the store for itself only. age is that of the configuration's confirmation.
func (informer *Informer) endOldWatches(age time.Duration) {
	if age >= informer.maxConfirmationAge() {
		informer.configurations.InterruptWatch(minInterruptAge)
	}
	if bound := informer.bounds.Leaving; bound > 0 {
		informer.upstreams.InterruptWatch(watchAge(bound))
	}
	if bound := informer.bounds.Evacuation; bound > 0 && informer.evacuations != nil {
		informer.evacuations.InterruptWatch(watchAge(bound))
	}
}

// interruptWatches ends the watches on all that the copy holds.
func (informer *Informer) interruptWatches(minAge time.Duration) {
	informer.configurations.InterruptWatch(minAge)
	informer.upstreams.InterruptWatch(minAge)
	if informer.evacuations != nil {
		informer.evacuations.InterruptWatch(minAge)
	}
	if informer.versions != nil {
		informer.versions.InterruptWatch(minAge)
	}
}

// Current returns up to when the copy was current, and what it holds of the entries.
func (knowledge *knowledge) Current() (at time.Time, upstreams, evacuations chronicler.Holding) {
	// The time is read before the holdings: what becomes known in between is newer.
	at = knowledge.current()
	return at, knowledge.upstreams.chronicler.Holding(), knowledge.evacuations.chronicler.Holding()
}

// LearnCurrent records a peer's word that a copy with the holdings and the version of the configuration was current at
// the time. It is ignored while this node holds less.
func (knowledge *knowledge) LearnCurrent(at time.Time, version uint64, upstreams, evacuations chronicler.Holding) {
	if knowledge.version() < version || !knowledge.upstreams.chronicler.Holding().Includes(upstreams) || !knowledge.evacuations.chronicler.Holding().Includes(evacuations) {
		return
	}
	knowledge.upstreams.chronicler.ConfirmListed(upstreams)
	knowledge.evacuations.chronicler.ConfirmListed(evacuations)
	knowledge.learnCurrent(notAfter(at, time.Now()))
}

// Answered returns when the store last answered any node, as far as is known; zero if it never did.
func (knowledge *knowledge) Answered() time.Time { return knowledge.answered() }

// LearnAnswered records a peer's word that the store answered a node at the time.
func (knowledge *knowledge) LearnAnswered(at time.Time) {
	knowledge.learnAnswered(notAfter(at, time.Now()))
}

// notAfter returns the time that a peer has told, or now if that is earlier: the clock of a peer may run faster.
func notAfter(at, now time.Time) time.Time {
	if at.After(now) {
		return now
	}
	return at
}

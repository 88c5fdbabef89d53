package follower

import "time"

// Confirmed returns the time up to which the contents of the sink are known to have been
// the newest in the store. A list, or a watch with changes, confirms the time at which
// it was asked; a watch without a change confirms the end of its wait, less WatchLag.
func (follower *Follower[Entry, Change]) Confirmed() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.confirmed
}

// Answered returns when the store last answered a call or sent part of an answer; zero if it
// never did.
func (follower *Follower[Entry, Change]) Answered() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if arrival := follower.caller.lastArrival.Load(); arrival != nil && arrival.After(follower.answered) {
		return *arrival
	}
	return follower.answered
}

// OwedSince returns since when the store has owed this node an answer: when the first call that failed since the last
// answer was due. It is zero while no call has failed.
func (follower *Follower[Entry, Change]) OwedSince() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.owedSince
}

// setOwed records that the store owed an answer at a time and has not given it.
func (follower *Follower[Entry, Change]) setOwed(due time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.owedSince.IsZero() {
		follower.owedSince = due
	}
	follower.unansweredAt = due
}

// UnansweredAt returns when the last call was due that failed, zero if none has.
func (follower *Follower[Entry, Change]) UnansweredAt() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.unansweredAt
}

// Healthy reports whether the last call was answered.
func (follower *Follower[Entry, Change]) Healthy() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.healthy
}

// Failing reports whether the last call failed.
func (follower *Follower[Entry, Change]) Failing() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.failing
}

// recordSuccess records an answer, and up to when it confirms the contents of the sink.
func (follower *Follower[Entry, Change]) recordSuccess(confirmed time.Time) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if confirmed.After(follower.confirmed) {
		follower.confirmed = confirmed
	}
	follower.answered, follower.owedSince = follower.now(), time.Time{}
	follower.healthy, follower.failing = true, false
}

// clearHealth records that it is unknown whether the store answers.
func (follower *Follower[Entry, Change]) clearHealth() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.healthy, follower.failing, follower.owedSince = false, false, time.Time{}
}

// setFailing records that the store answers no call.
func (follower *Follower[Entry, Change]) setFailing() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.healthy, follower.failing = false, true
}

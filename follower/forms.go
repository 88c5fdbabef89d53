package follower

import "time"

// forms records which forms of call the store answers: watches, lists, both or none. The zero value
// means that nothing has failed.
type forms struct {
	// failures counts the failures since the store answered as it should, failedSince is the time of
	// the first.
	failures    int
	failedSince time.Time
	// watchFailures counts the watches that failed since one was answered.
	watchFailures int
	// away is set while neither form is answered.
	away bool
	// relist is set if the next call is a list because watches fail.
	relist bool
	// polledAt is when a list was last answered while watches fail; zero if the last list was not.
	polledAt time.Time
}

// polls reports whether lists are answered while watches fail.
func (forms *forms) polls() bool { return !forms.polledAt.IsZero() }

// noFailures returns the state in which the store answers all forms.
func noFailures() forms { return forms{} }

// recordAnswer records that the store answered a query.
func (forms *forms) recordAnswer(now time.Time, query query) {
	if !query.list || forms.watchFailures == 0 {
		*forms = noFailures()
		return
	}
	if forms.away {
		forms.failures = 0
	}
	forms.away, forms.relist, forms.polledAt = false, false, now
}

// recordFailure records that a query failed, and decides on the form of the next call. It reports whether a
// pause precedes that call.
func (forms *forms) recordFailure(now time.Time, query query) (pauses bool) {
	if query.list {
		if forms.polls() {
			forms.failures, forms.polledAt = 0, time.Time{}
		}
		forms.away, forms.relist = true, false
		forms.countFailure(now)
		return true
	}
	forms.countFailure(now)
	forms.watchFailures++
	// One watch that fails may have lost its connection alone: a short one checks that.
	checks := !forms.away && !forms.polls() && query.wait > quickWait
	forms.relist = !checks
	return checks || forms.away || forms.polls()
}

// countFailure counts a failure.
func (forms *forms) countFailure(now time.Time) {
	if forms.failures == 0 {
		forms.failedSince = now
	}
	forms.failures++
}

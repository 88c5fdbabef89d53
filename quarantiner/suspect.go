package quarantiner

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// sameFall is within what time two nodes speak of the same end of an upstream that does
	// not tell its starts: they see it within milliseconds and tell it within some hundred,
	// and an upstream takes seconds to come back.
	sameFall = time.Second
	// maxFalls bounds the ends remembered for one request. The users saw 20 under one; from
	// heldFalls on, more of them only explain what happened to others.
	maxFalls = 24
)

// scopes are the places of the counters of what is still to be told.
const (
	toAggregator = iota
	toGroups
	toMembers
	scopeCount
)

// fall is the end of an upstream with a request on it.
type fall struct {
	start definer.UpstreamStart
	at    time.Time
	// cleared is set once the request is known not to have caused it, and stays.
	cleared bool
	// toldBy is who told it first; empty for this node itself.
	toldBy definer.VM
	// tells counts the reports of each scope in which it is still to be told.
	tells [scopeCount]int
}

// is tells whether it is the end of the upstream's start at about the time.
func (fall *fall) is(start definer.UpstreamStart, at time.Time) bool {
	if fall.start != start {
		return false
	}
	return start.Incarnation > 0 || fall.at.Sub(at).Abs() < sameFall
}

// untold tells whether it is still to be told to anybody.
func (fall *fall) untold() bool { return fall.tells != [scopeCount]int{} }

// suspect is a request under which upstreams have ended.
type suspect struct {
	identity definer.RequestIdentity
	// falls are in the order in which they became known, at most maxFalls.
	falls []*fall
	// changedAt is when a fact was added or cleared last.
	changedAt time.Time
	// held is set while the request is held off, heldSince when that began.
	held      bool
	heldSince time.Time
	// refused counts the attempts that were held off here.
	refused int
}

// find returns the known fact of an end, or nil.
func (suspect *suspect) find(start definer.UpstreamStart, at time.Time) *fall {
	for _, fall := range suspect.falls {
		if fall.is(start, at) {
			return fall
		}
	}
	return nil
}

// add takes in an end; the oldest makes room.
func (suspect *suspect) add(fall *fall) {
	if len(suspect.falls) >= maxFalls {
		suspect.falls = slices.Delete(suspect.falls, 0, 1)
	}
	suspect.falls = append(suspect.falls, fall)
}

// doubts counts the ends that it may have caused.
func (suspect *suspect) doubts() int {
	count := 0
	for _, fall := range suspect.falls {
		if !fall.cleared {
			count++
		}
	}
	return count
}

// latest returns when the latest end happened that it may have caused; zero if none did.
func (suspect *suspect) latest() time.Time {
	var latest time.Time
	for _, fall := range suspect.falls {
		if !fall.cleared && fall.at.After(latest) {
			latest = fall.at
		}
	}
	return latest
}

// place returns the counter of a report's scope.
func place(scope messenger.LoadScope) int {
	switch scope {
	case messenger.MemberLoad:
		return toAggregator
	case messenger.GroupLoad, messenger.GroupAnswer:
		return toGroups
	default:
		return toMembers
	}
}

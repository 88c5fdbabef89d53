package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// heldFalls is under how many ends a request is held off that nothing else explains. The
	// users count sends from the third end on. With two, a caller whose request meets two
	// failing upstreams in a row, as in any loss of several at once, would be refused.
	heldFalls = 3
	// companyFalls is the same for one of whose ends all but one are explained by others: two
	// such requests that always run side by side would hide behind each other.
	companyFalls = 4
	// HoldFor is how long after the latest end a request is held off at the longest. Behind
	// that it is tried, and held off again at the first end.
	HoldFor = 10 * time.Minute
	// FreshRun is how long after the first part of its answer a request may still have made
	// its upstream end: one that does so does it soon after it begins. It keeps those that had
	// run for longer from being suspected, most of those that break off with a busy engine.
	FreshRun = time.Second
	// fallLife is how long an end is remembered.
	fallLife = time.Hour
)

// causes are the ends that requests which are held off have caused.
type causes map[definer.UpstreamStart][]*fall

// explain tells whether they have caused an end.
func (causes causes) explain(end *fall) bool {
	return slices.ContainsFunc(causes[end.start], func(known *fall) bool { return known.is(end.start, end.at) })
}

// add takes in the ends that a request has caused.
func (causes causes) add(guilty *suspect) {
	for _, fall := range guilty.falls {
		if !fall.cleared {
			causes[fall.start] = append(causes[fall.start], fall)
		}
	}
}

// unexplained counts the ends that a request may have caused and no other has.
func (causes causes) unexplained(suspect *suspect) int {
	count := 0
	for _, fall := range suspect.falls {
		if !fall.cleared && !causes.explain(fall) {
			count++
		}
	}
	return count
}

// isGuilty tells whether so many ends, and of them so many that nothing else explains, are
// enough.
func isGuilty(doubts, unexplained int) bool {
	return unexplained >= heldFalls || doubts >= companyFalls && unexplained > 0
}

// convict returns the requests that make upstreams end. Those under which most ended come
// first: the guilty one was on each, its company on some.
func convict(grave map[definer.RequestIdentity]*suspect) map[definer.RequestIdentity]bool {
	candidates := candidates(grave)
	guilty := make(map[definer.RequestIdentity]bool)
	known := make(causes)
	for len(candidates) > 0 {
		worst := slices.MaxFunc(candidates, func(left, right *suspect) int {
			return cmp.Or(
				cmp.Compare(known.unexplained(left), known.unexplained(right)),
				cmp.Compare(left.doubts(), right.doubts()),
			)
		})
		if !isGuilty(worst.doubts(), known.unexplained(worst)) {
			break
		}
		guilty[worst.identity] = true
		known.add(worst)
		candidates = slices.DeleteFunc(candidates, func(candidate *suspect) bool { return candidate == worst })
	}
	return guilty
}

// candidates returns the requests that may be guilty, in one order: nodes must come to the
// same verdict, in whichever order they have learnt the facts.
func candidates(grave map[definer.RequestIdentity]*suspect) []*suspect {
	var found []*suspect
	for _, suspect := range grave {
		if suspect.doubts() >= heldFalls {
			found = append(found, suspect)
		}
	}
	slices.SortFunc(found, func(left, right *suspect) int { return cmp.Compare(left.identity, right.identity) })
	return found
}

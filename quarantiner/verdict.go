package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// holdThreshold is the number of crashes under a request, attributed to no other, from which
	// on it is held off. The users count the sends from the third crash on. With two, a caller
	// whose request meets two failing upstreams in a row, as when several are lost at once, would
	// be refused.
	holdThreshold = 3
	// sharedHoldThreshold is the number of uncleared crashes from which on a request is held off
	// if at least one of them is attributed to no other request. Without it, two culprits that
	// always run side by side would exonerate each other.
	sharedHoldThreshold = 4
	// MaxHold is how long after the latest crash a request is held off at most. After that it is
	// tried again, and held off at the first crash.
	MaxHold = 10 * time.Minute
	// SuspicionPeriod is how long after the first part of its answer a request may still be
	// suspected of crashing its upstream: a culprit does so soon after it begins. This spares the
	// requests that had run for longer, which are most of those that break off with a busy engine.
	SuspicionPeriod = time.Second
	// crashRetention is how long a crash is remembered.
	crashRetention = time.Hour
)

// attributedCrashes are the crashes that were caused by requests found to be culprits.
type attributedCrashes map[definer.UpstreamStart][]*crash

// contains reports whether a crash is attributed to a culprit.
func (attributed attributedCrashes) contains(found *crash) bool {
	return slices.ContainsFunc(attributed[found.start], func(other *crash) bool { return other.matches(found.start, found.at) })
}

// add attributes all uncleared crashes of a culprit to it.
func (attributed attributedCrashes) add(culprit *suspect) {
	for _, crash := range culprit.crashes {
		if !crash.cleared {
			attributed[crash.start] = append(attributed[crash.start], crash)
		}
	}
}

// unexplained returns the number of crashes that the suspect may have caused and that are
// attributed to no other.
func (attributed attributedCrashes) unexplained(suspect *suspect) int {
	return suspect.countUncleared(func(crash *crash) bool { return !attributed.contains(crash) })
}

// isCulprit reports whether the uncleared crashes of a suspect, and those of them that are attributed
// to no other, suffice to hold it off. Parts of a prompt always run side by side, so that crashes which
// are attributed to one of them do not count against the others.
func (attributed attributedCrashes) isCulprit(suspect *suspect) bool {
	unexplained := attributed.unexplained(suspect)
	shared := !suspect.isPart() && suspect.unclearedCrashes() >= sharedHoldThreshold && unexplained > 0
	return unexplained >= holdThreshold || shared
}

// compareSpecificity orders a request behind the parts of its prompt, and these by their position: the
// more a suspect has in common with others, the less likely it is that all of them went unserved.
func compareSpecificity(left, right *suspect) int {
	if left.isPart() != right.isPart() {
		return cmp.Compare(right.depth, left.depth)
	}
	return cmp.Compare(left.depth, right.depth)
}

// findCulprits returns the suspects that crash upstreams. It takes the candidates with the most
// unexplained crashes first: the culprit was on each upstream that it crashed, the other suspects
// only on some of them.
func findCulprits(suspects map[definer.RequestIdentity]*suspect) map[definer.RequestIdentity]bool {
	candidates := sortedCandidates(suspects)
	culprits := make(map[definer.RequestIdentity]bool)
	attributed := make(attributedCrashes)
	for len(candidates) > 0 {
		worst := slices.MaxFunc(candidates, func(left, right *suspect) int {
			return cmp.Or(
				cmp.Compare(attributed.unexplained(left), attributed.unexplained(right)),
				cmp.Compare(left.unclearedCrashes(), right.unclearedCrashes()),
				compareSpecificity(left, right),
			)
		})
		if !attributed.isCulprit(worst) {
			break
		}
		culprits[worst.identity] = true
		attributed.add(worst)
		candidates = slices.DeleteFunc(candidates, func(candidate *suspect) bool { return candidate == worst })
	}
	return culprits
}

// sortedCandidates returns the suspects with at least holdThreshold uncleared crashes, sorted by
// identity: nodes must reach the same verdicts in whatever order they learned the facts.
func sortedCandidates(suspects map[definer.RequestIdentity]*suspect) []*suspect {
	var found []*suspect
	for _, suspect := range suspects {
		if suspect.unclearedCrashes() >= holdThreshold {
			found = append(found, suspect)
		}
	}
	slices.SortFunc(found, func(left, right *suspect) int { return cmp.Compare(left.identity, right.identity) })
	return found
}

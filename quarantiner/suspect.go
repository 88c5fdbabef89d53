package quarantiner

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// sameCrashWindow is the time within which two reports of crashes mean the same crash of an
	// upstream that does not announce its incarnation. Nodes see a crash within milliseconds and
	// report it within some hundred milliseconds, and an upstream takes seconds to come back.
	sameCrashWindow = time.Second
	// maxCrashes bounds the crashes remembered for one request. The users saw 20 under one
	// request. Beyond holdThreshold, further crashes only serve to clear other suspects.
	maxCrashes = 24
)

// crash is the crash of an upstream with a request on it: one fact about the request.
type crash struct {
	start definer.UpstreamStart
	at    time.Time
	// cleared is set once the request is known not to have caused the crash, and is never reset.
	cleared bool
	// reportedBy is the peer that reported the crash first; empty for this node itself.
	reportedBy definer.VM
	// pendingReports is the number of reports of each scope that are still to include the fact.
	pendingReports [messenger.ScopeCount]int
}

// matches reports whether this is a crash of the upstream process at about the time. The time
// counts only for upstreams without an incarnation.
func (crash *crash) matches(start definer.UpstreamStart, at time.Time) bool {
	if crash.start != start {
		return false
	}
	return start.Incarnation > 0 || crash.at.Sub(at).Abs() < sameCrashWindow
}

// isPending reports whether any report is still to include the fact.
func (crash *crash) isPending() bool { return crash.pendingReports != [messenger.ScopeCount]int{} }

// suspect is a request, or a part of prompts, under which upstreams have crashed.
type suspect struct {
	identity definer.RequestIdentity
	// depth is the position of a part in the prompt, from 1 on; 0 for a request.
	depth int
	// crashes are in the order in which they became known, at most maxCrashes.
	crashes []*crash
	// changedAt is when a fact was last added or cleared.
	changedAt time.Time
	// isHeld is set while the request is held off, since heldSince.
	isHeld    bool
	heldSince time.Time
	// refused is the number of attempts that this node refused.
	refused int
}

// find returns the known crash of an upstream process at about the time, or nil.
func (suspect *suspect) find(start definer.UpstreamStart, at time.Time) *crash {
	for _, crash := range suspect.crashes {
		if crash.matches(start, at) {
			return crash
		}
	}
	return nil
}

// add appends a crash; at maxCrashes it drops the one that became known first.
func (suspect *suspect) add(crash *crash) {
	if len(suspect.crashes) >= maxCrashes {
		suspect.crashes = slices.Delete(suspect.crashes, 0, 1)
	}
	suspect.crashes = append(suspect.crashes, crash)
}

// isPart reports whether the suspect is a part of prompts.
func (suspect *suspect) isPart() bool { return suspect.depth > 0 }

// unclearedCrashes returns the number of crashes that the suspect may have caused.
func (suspect *suspect) unclearedCrashes() int {
	count := 0
	for _, crash := range suspect.crashes {
		if !crash.cleared {
			count++
		}
	}
	return count
}

// occasionGap is the time within which crashes are one occasion: many upstreams that are lost at once
// have prompts with the same parts on them.
const occasionGap = 500 * time.Millisecond

// countUncleared returns the number of uncleared crashes for which the function returns true: for a part,
// the number of occasions.
func (suspect *suspect) countUncleared(counts func(*crash) bool) int {
	times := make([]time.Time, 0, maxCrashes)
	for _, crash := range suspect.crashes {
		if !crash.cleared && counts(crash) {
			times = append(times, crash.at)
		}
	}
	if !suspect.isPart() {
		return len(times)
	}
	slices.SortFunc(times, time.Time.Compare)
	occasions := 0
	var latest time.Time
	for _, at := range times {
		if occasions == 0 || at.Sub(latest) >= occasionGap {
			occasions++
			latest = at
		}
	}
	return occasions
}

// latestUnclearedCrash returns the time of the latest crash that the request may have caused, or
// the zero time if there is none.
func (suspect *suspect) latestUnclearedCrash() time.Time {
	var latest time.Time
	for _, crash := range suspect.crashes {
		if !crash.cleared && crash.at.After(latest) {
			latest = crash.at
		}
	}
	return latest
}

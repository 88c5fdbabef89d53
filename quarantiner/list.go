package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

// Suspicion describes a suspected request, or part of prompts, to operators.
type Suspicion struct {
	Identity definer.RequestIdentity
	// Part reports whether the suspect is a part of prompts and not a request.
	Part bool
	// Held reports whether the request is held off, Since is for how long it has been, and TimeLeft
	// is how much longer it will be at most.
	Held     bool
	Since    time.Duration
	TimeLeft time.Duration
	// Upstreams are the upstream processes that crashed under the request, without the crashes
	// that it is cleared of. ReportedBy are the peers that reported them, without this node.
	Upstreams  []definer.UpstreamStart
	ReportedBy []definer.VM
	// FirstCrashAgo is how long ago the first of these crashes happened.
	FirstCrashAgo time.Duration
	// Refused is the number of attempts that this node refused.
	Refused int
}

// Pairs returns the suspicion as alternating keys and values for a log event.
func (suspicion Suspicion) Pairs() []any {
	return []any{
		"identity", suspicion.Identity, "part", suspicion.Part, "ends", len(suspicion.Upstreams), "upstreams", suspicion.Upstreams, "toldBy", suspicion.ReportedBy,
		"firstAgoMs", suspicion.FirstCrashAgo.Milliseconds(), "leftMs", suspicion.TimeLeft.Milliseconds(), "refused", suspicion.Refused,
	}
}

// List returns the requests under which an upstream has crashed that they are not cleared of,
// held-off requests first.
func (quarantiner *Quarantiner) List(now time.Time) []Suspicion {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	var list []Suspicion
	for _, suspect := range quarantiner.suspects {
		if suspect.unclearedCrashes() > 0 {
			list = append(list, suspect.suspicion(now))
		}
	}
	slices.SortFunc(list, func(left, right Suspicion) int {
		return cmp.Or(cmp.Compare(right.TimeLeft, left.TimeLeft), cmp.Compare(len(right.Upstreams), len(left.Upstreams)), cmp.Compare(left.Identity, right.Identity))
	})
	return list
}

// suspicion returns the description of the suspect for operators.
func (suspect *suspect) suspicion(now time.Time) Suspicion {
	listed := Suspicion{Identity: suspect.identity, Part: suspect.isPart(), Held: suspect.isHeld, Refused: suspect.refused}
	if suspect.isHeld {
		listed.Since = now.Sub(suspect.heldSince)
		listed.TimeLeft = max(MaxHold-now.Sub(suspect.latestUnclearedCrash()), 0)
	}
	for _, crash := range suspect.crashes {
		if crash.cleared {
			continue
		}
		listed.Upstreams = append(listed.Upstreams, crash.start)
		listed.FirstCrashAgo = max(listed.FirstCrashAgo, now.Sub(crash.at))
		if crash.reportedBy != "" && !slices.Contains(listed.ReportedBy, crash.reportedBy) {
			listed.ReportedBy = append(listed.ReportedBy, crash.reportedBy)
		}
	}
	return listed
}

package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

// Suspicion describes a suspected request to operators.
type Suspicion struct {
	Identity definer.RequestIdentity
	// Held reports whether the request is held off, Since is for how long it has been, and Left
	// is how much longer it will be at most.
	Held  bool
	Since time.Duration
	Left  time.Duration
	// Upstreams are the upstream processes that crashed under the request, without the crashes
	// that it is cleared of. ToldBy are the peers that reported them, without this node.
	Upstreams []definer.UpstreamStart
	ToldBy    []definer.VM
	// FirstAgo is how long ago the first of these crashes happened.
	FirstAgo time.Duration
	// Refused is the number of attempts that this node refused.
	Refused int
}

// Pairs returns the suspicion as alternating keys and values for a log event.
func (suspicion Suspicion) Pairs() []any {
	return []any{
		"identity", suspicion.Identity, "ends", len(suspicion.Upstreams), "upstreams", suspicion.Upstreams, "toldBy", suspicion.ToldBy,
		"firstAgoMs", suspicion.FirstAgo.Milliseconds(), "leftMs", suspicion.Left.Milliseconds(), "refused", suspicion.Refused,
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
		return cmp.Or(cmp.Compare(right.Left, left.Left), cmp.Compare(len(right.Upstreams), len(left.Upstreams)), cmp.Compare(left.Identity, right.Identity))
	})
	return list
}

// suspicion returns the description of the suspect for operators.
func (suspect *suspect) suspicion(now time.Time) Suspicion {
	listed := Suspicion{Identity: suspect.identity, Held: suspect.isHeld, Refused: suspect.refused}
	if suspect.isHeld {
		listed.Since = now.Sub(suspect.heldSince)
		listed.Left = max(HoldFor-now.Sub(suspect.latestUnclearedCrash()), 0)
	}
	for _, crash := range suspect.crashes {
		if crash.cleared {
			continue
		}
		listed.Upstreams = append(listed.Upstreams, crash.start)
		listed.FirstAgo = max(listed.FirstAgo, now.Sub(crash.at))
		if crash.reportedBy != "" && !slices.Contains(listed.ToldBy, crash.reportedBy) {
			listed.ToldBy = append(listed.ToldBy, crash.reportedBy)
		}
	}
	return listed
}

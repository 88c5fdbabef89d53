package quarantiner

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

// Suspicion is what is known of one request, for operators.
type Suspicion struct {
	Identity definer.RequestIdentity
	// Held tells whether it is held off, since when, and how much longer at the most.
	Held  bool
	Since time.Duration
	Left  time.Duration
	// Upstreams are the starts that ended under it, without those it is cleared of, ToldBy
	// the nodes that told so; this node's own are among neither.
	Upstreams []definer.UpstreamStart
	ToldBy    []definer.VM
	// FirstAgo is how long ago the first of them ended.
	FirstAgo time.Duration
	// Refused counts the attempts that this node held off.
	Refused int
}

// Pairs returns names and values for a line of the log.
func (suspicion Suspicion) Pairs() []any {
	return []any{
		"identity", suspicion.Identity, "ends", len(suspicion.Upstreams), "upstreams", suspicion.Upstreams, "toldBy", suspicion.ToldBy,
		"firstAgoMs", suspicion.FirstAgo.Milliseconds(), "leftMs", suspicion.Left.Milliseconds(), "refused", suspicion.Refused,
	}
}

// List returns what is known of each request under which an upstream has ended that it is
// not cleared of; those that are held off first.
func (quarantiner *Quarantiner) List(now time.Time) []Suspicion {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	var list []Suspicion
	for _, known := range quarantiner.suspects {
		if known.doubts() > 0 {
			list = append(list, known.suspicion(now))
		}
	}
	slices.SortFunc(list, func(left, right Suspicion) int {
		return cmp.Or(cmp.Compare(right.Left, left.Left), cmp.Compare(len(right.Upstreams), len(left.Upstreams)), cmp.Compare(left.Identity, right.Identity))
	})
	return list
}

// suspicion returns what is known of the request.
func (suspect *suspect) suspicion(now time.Time) Suspicion {
	listed := Suspicion{Identity: suspect.identity, Held: suspect.held, Refused: suspect.refused}
	if suspect.held {
		listed.Since = now.Sub(suspect.heldSince)
		listed.Left = max(HoldFor-now.Sub(suspect.latest()), 0)
	}
	for _, fall := range suspect.falls {
		if fall.cleared {
			continue
		}
		listed.Upstreams = append(listed.Upstreams, fall.start)
		listed.FirstAgo = max(listed.FirstAgo, now.Sub(fall.at))
		if fall.toldBy != "" && !slices.Contains(listed.ToldBy, fall.toldBy) {
			listed.ToldBy = append(listed.ToldBy, fall.toldBy)
		}
	}
	return listed
}

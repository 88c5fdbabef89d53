package scheduler

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

// grant is one slot in use.
type grant struct {
	id        definer.GrantID
	ask       Ask
	class     *class
	tier      *tier
	account   *account
	upstream  *upstream
	startedAt time.Time
	// cost is the expected work charged for the grant, in tokens.
	cost float64
	// sequence orders grants that started at the same time.
	sequence uint64
	// priority is the priority sent to the engine; it never changes.
	priority int
	// pinned reports whether the grant belongs to the floor of its class; it is set
	// each time the grant starts or resumes. The priority shows it to the engine only
	// if the grant was pinned when it started.
	pinned bool
	// preemptible reports whether the engine may pause the grant; it never changes.
	preemptible bool
	// protected reports whether the grant may use protected slots; it never changes.
	protected bool
	// adopted reports whether another owner made the grant.
	adopted bool
	// paused reports whether a more urgent grant has taken the slot.
	paused bool
	// pausedAt is the start of the last pause; pausedFor is the total time of the
	// pauses that have ended.
	pausedAt  time.Time
	pausedFor time.Duration
}

// pin sets pinned for a grant that is about to run, if the floor of its class has
// room.
func (grant *grant) pin(now time.Time) {
	grant.class.accrue(now)
	grant.pinned = grant.preemptible && grant.class.mayPin()
}

func compareGrants(a, b *grant) int {
	return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.sequence, b.sequence))
}

func insertGrant(grants []*grant, grant *grant) []*grant {
	at, _ := slices.BinarySearchFunc(grants, grant, compareGrants)
	return slices.Insert(grants, at, grant)
}

func deleteGrant(grants []*grant, grant *grant) []*grant {
	if at, found := slices.BinarySearchFunc(grants, grant, compareGrants); found {
		return slices.Delete(grants, at, at+1)
	}
	return grants
}

// isGrant returns a predicate that matches only the wanted grant.
func isGrant(wanted *grant) func(*grant) bool {
	return func(other *grant) bool { return other == wanted }
}

// compareUrgency orders grants so that the one an engine pauses first, the youngest of
// the least urgent priority, comes last.
func compareUrgency(a, b *grant) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compareGrants(a, b))
}

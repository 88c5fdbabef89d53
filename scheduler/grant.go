package scheduler

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
)

// grant is one slot in use.
type grant struct {
	id      definer.GrantID
	ask     Ask
	class   *class
	tier    *tier
	account *account
	slots   *slots
	since   time.Time
	// cost is the expected work that was charged for it, in tokens.
	cost float64
	// sequence orders grants of one instant.
	sequence uint64
	// priority is what the engine was told; it never changes.
	priority int
	// pinned says that it is part of its class's floor; it is settled whenever
	// the grant starts or goes on. The engine knows it by the priority if it was
	// so from the start.
	pinned bool
	// preemptible says that the engine may pause it; it never changes.
	preemptible bool
	// protected says which slots it counts against; it never changes.
	protected bool
	// adopted says that another owner made it.
	adopted bool
	// paused says that a higher grant has its slot.
	paused bool
	// pausedAt is when it was paused last; pausedFor how long in all before.
	pausedAt  time.Time
	pausedFor time.Duration
}

// pin makes a grant that is about to run part of its class's floor, if that is
// not full.
func (grant *grant) pin(now time.Time) {
	grant.class.accrue(now)
	grant.pinned = grant.preemptible && grant.class.mayPin()
}

func compareGrants(a, b *grant) int {
	return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.sequence, b.sequence))
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

// isGrant returns a test for the grant.
func isGrant(wanted *grant) func(*grant) bool {
	return func(other *grant) bool { return other == wanted }
}

// compareUrgency puts what an engine pauses first last: of the least urgent
// priority, the youngest.
func compareUrgency(a, b *grant) int {
	return cmp.Or(cmp.Compare(a.priority, b.priority), compareGrants(a, b))
}

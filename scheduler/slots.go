package scheduler

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"limpetcleat/definer"
)

// slots is the slot table of one upstream.
type slots struct {
	name definer.UpstreamName
	// upstream is nil until the upstream is configured.
	upstream *definer.Upstream
	// present is false once the upstream has left the configuration.
	present bool
	// position is the upstream's bit in a shape.
	position int
	// limit is the number of requests that may run at once.
	limit int
	// ordinary is the part of limit that unprotected classes may use.
	ordinary int
	// active counts the grants that run and are not paused; ordinaryActive
	// those of them that are unprotected.
	active         int
	ordinaryActive int
	breaker        breaker
	// permits bounds the requests a second that the upstream takes; nil is no bound.
	permits *rate.Limiter
	// spent says that the bound allows none now.
	spent bool
	// backoffUntil is until when the upstream wants nothing, backingOff whether that was still to
	// come when wake was called last; unproven says that it has taken nothing since.
	backoffUntil time.Time
	backingOff   bool
	unproven     bool
	// trialUntil is until when the request that tries it behind a backoff may be turned away;
	// zero while none does.
	trialUntil time.Time
	// cost is the expected work of all its grants, in tokens.
	cost float64
	// preemptible holds the active grants that may be paused, oldest first.
	preemptible []*grant
	// paused holds the paused grants, oldest first. With the unprotected active
	// ones they number at most ordinary plus the allowance at the last grant.
	paused []*grant
}

// room tells whether a request of the kind may start now.
func (slots *slots) room(protected bool) bool {
	if slots.active >= slots.limit || !slots.present || !slots.open() {
		return false
	}
	if protected {
		return true
	}
	return slots.ordinaryActive < slots.ordinary && slots.unstretched() && slots.breaker.admits(slots.active)
}

// unstretched tells whether another unprotected grant keeps the bound on
// paused ones.
func (slots *slots) unstretched() bool {
	if len(slots.paused) == 0 {
		return true
	}
	return slots.ordinaryActive+len(slots.paused) < slots.ordinary+slots.allowance()
}

// resumable tells whether a paused grant may run again.
func (slots *slots) resumable() bool {
	if len(slots.paused) == 0 || slots.active >= slots.limit {
		return false
	}
	return slots.ordinaryActive < slots.ordinary
}

// load returns the slots in use, paused ones included, relative to the limit.
func (slots *slots) load() float64 {
	return float64(slots.active+len(slots.paused)) / float64(max(slots.limit, 1))
}

// reserve divides each upstream's limit between protected and unprotected
// classes. The protected slots add up to the share of all slots, rounded up;
// at least one slot of each upstream stays unprotected unless the share is 1.
func reserve(table []*slots, share float64) {
	wanted, given := 0.0, 0
	for _, slots := range table {
		if share >= 1 {
			slots.ordinary = 0
			continue
		}
		wanted += share * float64(slots.limit)
		part := int(math.Ceil(wanted - rounding - float64(given)))
		part = max(0, min(part, slots.limit-1))
		given += part
		slots.ordinary = slots.limit - part
	}
}

// rounding keeps errors of floating point from reserving one slot too many.
const rounding = 1e-9

// victim returns the grant that the engine would pause for work of the
// priority, or nil.
func (slots *slots) victim(priority int) *grant {
	var victim *grant
	for _, candidate := range slots.preemptible {
		if candidate.priority <= priority {
			continue
		}
		if victim == nil || compareUrgency(candidate, victim) > 0 {
			victim = candidate
		}
	}
	return victim
}

// stretches tells whether one more unprotected grant may stand above the
// slots.
func (slots *slots) stretches() bool {
	if slots.active > slots.limit || slots.ordinaryActive > slots.ordinary {
		return false
	}
	return slots.ordinaryActive+len(slots.paused) < slots.ordinary+slots.allowance()
}

// allowance is the number of paused grants up to which unprotected work may
// have others paused.
func (slots *slots) allowance() int { return slots.limit }

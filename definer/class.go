package definer

import (
	"cmp"
	"slices"
	"time"
)

// Class is a group of requests with the same latency targets and priority.
type Class struct {
	// document has passed all checks of Build.
	document ClassDocument
}

// Name returns the name of the class.
func (class *Class) Name() ClassName { return ClassName(class.document.Name) }

// Tier returns the priority of the class; 0 is the highest.
func (class *Class) Tier() int { return class.document.Tier }

// Protected reports whether requests of the class are never shed or preempted
// in favour of a lower tier.
func (class *Class) Protected() bool { return class.document.Protected }

// Preemptible reports whether a running request of the class may be paused in
// favour of a higher tier.
func (class *Class) Preemptible() bool { return class.document.Preemptible }

// FirstToken returns the target for the time to the first token; 0 means no target.
func (class *Class) FirstToken() time.Duration { return milliseconds(class.document.FirstTokenMs) }

// BetweenTokens returns the target for the mean time between tokens.
func (class *Class) BetweenTokens() time.Duration {
	return milliseconds(class.document.BetweenTokensMs)
}

// Total returns the target for the time to the complete response; 0 means no target.
func (class *Class) Total() time.Duration { return milliseconds(class.document.TotalMs) }

// Attainment returns the share of requests that must meet the targets.
func (class *Class) Attainment() float64 { return class.document.Attainment }

// FloorShare returns the minimum share of slots that the class gets while
// requests of it are queued.
func (class *Class) FloorShare() float64 { return class.document.FloorShare }

// LongestWait returns the longest time that a request may stay queued.
func (class *Class) LongestWait() time.Duration { return milliseconds(class.document.LongestWaitMs) }

// sortClasses sorts by tier, highest priority first, then by name.
func sortClasses(classes []*Class) {
	slices.SortFunc(classes, func(a, b *Class) int {
		if order := cmp.Compare(a.Tier(), b.Tier()); order != 0 {
			return order
		}
		return cmp.Compare(a.Name(), b.Name())
	})
}

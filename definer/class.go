package definer

import (
	"cmp"
	"slices"
	"time"
)

// Class is a class of requests that share targets and precedence.
type Class struct {
	// document has passed all checks of Build.
	document ClassDocument
}

// Name returns the class's name.
func (class *Class) Name() ClassName { return ClassName(class.document.Name) }

// Tier returns the precedence; 0 is the highest.
func (class *Class) Tier() int { return class.document.Tier }

// Protected tells whether the class is never shed or preempted for a lower one.
func (class *Class) Protected() bool { return class.document.Protected }

// Preemptible tells whether a running request may be paused for a higher tier.
func (class *Class) Preemptible() bool { return class.document.Preemptible }

// FirstToken returns the target for the first token; 0 is no target.
func (class *Class) FirstToken() time.Duration { return milliseconds(class.document.FirstTokenMs) }

// BetweenTokens returns the target for the mean time between tokens.
func (class *Class) BetweenTokens() time.Duration {
	return milliseconds(class.document.BetweenTokensMs)
}

// Total returns the target for the whole answer; 0 is no target.
func (class *Class) Total() time.Duration { return milliseconds(class.document.TotalMs) }

// Attainment returns the share of requests that must meet the targets.
func (class *Class) Attainment() float64 { return class.document.Attainment }

// FloorShare returns the share of slots the class gets at least when it waits.
func (class *Class) FloorShare() float64 { return class.document.FloorShare }

// LongestWait returns the bound on the time a request may queue.
func (class *Class) LongestWait() time.Duration { return milliseconds(class.document.LongestWaitMs) }

func sortClasses(classes []*Class) {
	slices.SortFunc(classes, func(a, b *Class) int {
		if order := cmp.Compare(a.Tier(), b.Tier()); order != 0 {
			return order
		}
		return cmp.Compare(a.Name(), b.Name())
	})
}

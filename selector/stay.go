package selector

import "time"

const (
	// firstStay is how long an answer is taken to last until one has ended: some
	// hundred tokens of 10 ms each.
	firstStay = time.Second
	// stayWeight is the part by which one answer moves the mean: some twenty make it.
	stayWeight = 0.05
	// stayBound is how many times the mean one answer counts as at most.
	stayBound = 5
)

// stay is the mean of how long answers take their slots, of this node's latest.
type stay struct {
	known bool
	span  time.Duration
}

func (stay *stay) mean() time.Duration {
	if !stay.known {
		return firstStay
	}
	return stay.span
}

func (stay *stay) observe(span time.Duration) {
	if !stay.known {
		stay.known, stay.span = true, span
		return
	}
	span = min(span, stayBound*stay.span+time.Millisecond)
	stay.span += time.Duration(stayWeight * float64(span-stay.span))
}

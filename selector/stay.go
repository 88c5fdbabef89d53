package selector

import "time"

const (
	// initialSlotTime is the assumed duration of an answer until one has ended: some hundred
	// tokens of 10 ms each.
	initialSlotTime = time.Second
	// slotTimeWeight is the weight of one answer in the moving average, which thus covers some
	// twenty.
	slotTimeWeight = 0.05
	// slotTimeBound is how many times the average one answer counts as at most.
	slotTimeBound = 5
)

// slotTime is the moving average of the time that answers occupy a slot, over this node's
// latest.
type slotTime struct {
	known   bool
	average time.Duration
}

func (slotTime *slotTime) mean() time.Duration {
	if !slotTime.known {
		return initialSlotTime
	}
	return slotTime.average
}

func (slotTime *slotTime) observe(span time.Duration) {
	if !slotTime.known {
		slotTime.known, slotTime.average = true, span
		return
	}
	span = min(span, slotTimeBound*slotTime.average+time.Millisecond)
	slotTime.average += time.Duration(slotTimeWeight * float64(span-slotTime.average))
}

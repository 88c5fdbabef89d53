package clock

import "time"

// step is something to be done at a time.
type step struct {
	at     time.Time
	number int
	do     func()
}

// steps is a heap for package heap.
type steps []step

// Len returns the number of steps.
func (steps steps) Len() int { return len(steps) }

// Less tells whether step i comes before step j.
func (steps steps) Less(i, j int) bool {
	if steps[i].at.Equal(steps[j].at) {
		return steps[i].number < steps[j].number
	}
	return steps[i].at.Before(steps[j].at)
}

// Swap swaps two steps.
func (steps steps) Swap(i, j int) { steps[i], steps[j] = steps[j], steps[i] }

// Push adds a step at the end.
func (steps *steps) Push(value any) {
	if added, ok := value.(step); ok {
		*steps = append(*steps, added)
	}
}

// Pop takes the last step.
func (steps *steps) Pop() any {
	last := len(*steps) - 1
	taken := (*steps)[last]
	*steps = (*steps)[:last]
	return taken
}

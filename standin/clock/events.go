package clock

import "time"

// event is an action scheduled for a time; sequence orders events of the same time.
type event struct {
	at       time.Time
	sequence int
	action   func()
}

// eventQueue implements heap.Interface.
type eventQueue []event

// Len returns the number of events.
func (queue eventQueue) Len() int { return len(queue) }

// Less reports whether event i runs before event j.
func (queue eventQueue) Less(i, j int) bool {
	if queue[i].at.Equal(queue[j].at) {
		return queue[i].sequence < queue[j].sequence
	}
	return queue[i].at.Before(queue[j].at)
}

// Swap swaps two events.
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push appends an event.
func (queue *eventQueue) Push(value any) {
	if added, ok := value.(event); ok {
		*queue = append(*queue, added)
	}
}

// Pop removes and returns the last event.
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

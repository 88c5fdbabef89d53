package timer

import "time"

// entry is one subscription.
type entry[Key comparable] struct {
	key Key
	at  time.Time
	// index is the entry's place in the queue.
	index int
}

// queue is a heap of entries, the nearest first, for package heap.
type queue[Key comparable] []*entry[Key]

// Len returns the number of entries.
func (queue queue[Key]) Len() int { return len(queue) }

// Less tells whether entry i comes before entry j.
func (queue queue[Key]) Less(i, j int) bool { return queue[i].at.Before(queue[j].at) }

// Swap swaps two entries and keeps their places.
func (queue queue[Key]) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].index = i
	queue[j].index = j
}

// Push adds an entry at the end.
func (queue *queue[Key]) Push(value any) {
	added, ok := value.(*entry[Key])
	if !ok {
		return
	}
	added.index = len(*queue)
	*queue = append(*queue, added)
}

// Pop takes the last entry.
func (queue *queue[Key]) Pop() any {
	last := len(*queue) - 1
	taken := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return taken
}

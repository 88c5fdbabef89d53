package timer

import "time"

// entry is the pending timeout of one key.
type entry[Key comparable] struct {
	key Key
	at  time.Time
	// index is the entry's position in the heap.
	index int
}

// queue is a min-heap of entries ordered by time. It implements heap.Interface.
type queue[Key comparable] []*entry[Key]

// Len returns the number of entries.
func (queue queue[Key]) Len() int { return len(queue) }

// Less reports whether entry i is due before entry j.
func (queue queue[Key]) Less(i, j int) bool { return queue[i].at.Before(queue[j].at) }

// Swap swaps two entries and updates their indexes.
func (queue queue[Key]) Swap(i, j int) {
	queue[i], queue[j] = queue[j], queue[i]
	queue[i].index = i
	queue[j].index = j
}

// Push appends an entry. It ignores values of other types.
func (queue *queue[Key]) Push(value any) {
	added, ok := value.(*entry[Key])
	if !ok {
		return
	}
	added.index = len(*queue)
	*queue = append(*queue, added)
}

// Pop removes and returns the last entry.
func (queue *queue[Key]) Pop() any {
	last := len(*queue) - 1
	taken := (*queue)[last]
	(*queue)[last] = nil
	*queue = (*queue)[:last]
	return taken
}

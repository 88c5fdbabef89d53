package scheduler

// ordered is an element of a heap. An element stands in at most one heap.
type ordered[T any] interface {
	comparable
	// before tells whether the element leaves the heap first; it must be a
	// strict total order.
	before(other T) bool
	// place is where the heap keeps the element's index.
	place() *int
}

// heap is a binary heap that can remove and move any of its elements.
type heap[T ordered[T]] struct {
	// elements satisfies the heap order; each element's place is its index.
	elements []T
}

func (heap *heap[T]) len() int { return len(heap.elements) }

// first returns the least element; the heap must not be empty.
func (heap *heap[T]) first() T { return heap.elements[0] }

func (heap *heap[T]) push(element T) {
	*element.place() = len(heap.elements)
	heap.elements = append(heap.elements, element)
	heap.up(len(heap.elements) - 1)
}

func (heap *heap[T]) remove(element T) {
	index := *element.place()
	last := len(heap.elements) - 1
	heap.swap(index, last)
	var none T
	heap.elements[last] = none
	heap.elements = heap.elements[:last]
	if index < last {
		heap.fix(heap.elements[index])
	}
}

// fix restores the order after the element's key changed.
func (heap *heap[T]) fix(element T) {
	index := *element.place()
	if !heap.down(index) {
		heap.up(index)
	}
}

func (heap *heap[T]) swap(a, b int) {
	heap.elements[a], heap.elements[b] = heap.elements[b], heap.elements[a]
	*heap.elements[a].place() = a
	*heap.elements[b].place() = b
}

func (heap *heap[T]) up(index int) {
	for index > 0 {
		parent := (index - 1) / 2
		if !heap.elements[index].before(heap.elements[parent]) {
			return
		}
		heap.swap(index, parent)
		index = parent
	}
}

func (heap *heap[T]) down(index int) bool {
	start := index
	for {
		child := 2*index + 1
		if child >= len(heap.elements) {
			return index > start
		}
		if right := child + 1; right < len(heap.elements) && heap.elements[right].before(heap.elements[child]) {
			child = right
		}
		if !heap.elements[child].before(heap.elements[index]) {
			return index > start
		}
		heap.swap(index, child)
		index = child
	}
}

package scheduler

// heapElement is an element of a heap. An element is in at most one heap.
type heapElement[T any] interface {
	comparable
	// before reports whether the element leaves the heap before the other; it must be
	// a strict total order.
	before(other T) bool
	// indexPointer returns the variable in which the heap stores the element's index.
	indexPointer() *int
}

// heap is a binary heap that can remove and move any of its elements.
type heap[T heapElement[T]] struct {
	// elements satisfies the heap order; each element stores its index in the slice.
	elements []T
}

func (heap *heap[T]) len() int { return len(heap.elements) }

// first returns the least element; the heap must not be empty.
func (heap *heap[T]) first() T { return heap.elements[0] }

func (heap *heap[T]) push(element T) {
	*element.indexPointer() = len(heap.elements)
	heap.elements = append(heap.elements, element)
	heap.up(len(heap.elements) - 1)
}

func (heap *heap[T]) remove(element T) {
	index := *element.indexPointer()
	last := len(heap.elements) - 1
	heap.swap(index, last)
	var none T
	heap.elements[last] = none
	heap.elements = heap.elements[:last]
	if index < last {
		heap.fix(heap.elements[index])
	}
}

// fix restores the heap order after the key of an element changed.
func (heap *heap[T]) fix(element T) {
	index := *element.indexPointer()
	if !heap.down(index) {
		heap.up(index)
	}
}

func (heap *heap[T]) swap(a, b int) {
	heap.elements[a], heap.elements[b] = heap.elements[b], heap.elements[a]
	*heap.elements[a].indexPointer() = a
	*heap.elements[b].indexPointer() = b
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

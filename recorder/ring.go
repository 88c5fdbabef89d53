package recorder

import "time"

// slotsPerWindow is the number of slots that a window is divided into.
const slotsPerWindow = 60

// adder is a pointer to a value that another value of its type can be added to.
type adder[Value any] interface {
	*Value
	add(other Value)
}

// slot holds the sum of the values of one part of a window.
type slot[Value any] struct {
	// number is the slot's index counted from the Unix epoch. It shows whether the value
	// is still within the window.
	number int64
	value  Value
}

// ring is a ring buffer that sums the values of a sliding window in constant memory.
type ring[Value any, Pointer adder[Value]] struct {
	// width is the duration of one slot; it is above zero.
	width time.Duration
	slots [slotsPerWindow]slot[Value]
}

// newRing returns an empty ring for a window of the given length.
func newRing[Value any, Pointer adder[Value]](length time.Duration) *ring[Value, Pointer] {
	return &ring[Value, Pointer]{width: length / slotsPerWindow}
}

func (ring *ring[Value, Pointer]) slotNumber(now time.Time) int64 {
	return now.UnixNano() / int64(ring.width)
}

// add adds a value to the slot of now.
func (ring *ring[Value, Pointer]) add(now time.Time, value Value) {
	number := ring.slotNumber(now)
	slot := &ring.slots[number%slotsPerWindow]
	if slot.number != number {
		*slot = emptySlot[Value](number)
	}
	Pointer(&slot.value).add(value)
}

// emptySlot returns a slot with the given number and the zero value.
func emptySlot[Value any](number int64) slot[Value] { return slot[Value]{number: number} }

// sum returns the sum of the values added within the window that ends at now.
func (ring *ring[Value, Pointer]) sum(now time.Time) Value {
	var sum Value
	newest := ring.slotNumber(now)
	for _, slot := range ring.slots {
		if slot.number > newest-slotsPerWindow && slot.number <= newest {
			Pointer(&sum).add(slot.value)
		}
	}
	return sum
}

// length returns the length of the window.
func (ring *ring[Value, Pointer]) length() time.Duration { return ring.width * slotsPerWindow }

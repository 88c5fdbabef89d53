package recorder

import "time"

// slotsPerWindow is the number of parts in which a window moves on.
const slotsPerWindow = 60

// adder is a value that another of its type can be added to.
type adder[Value any] interface {
	*Value
	add(other Value)
}

// slot is one part of a window.
type slot[Value any] struct {
	// number counts the parts since the epoch; it tells whether the value is
	// still within the window.
	number int64
	value  Value
}

// ring keeps the sum of the values of the last while in bounded memory.
type ring[Value any, Pointer adder[Value]] struct {
	// width is that of one slot and above zero.
	width time.Duration
	slots [slotsPerWindow]slot[Value]
}

// newRing returns a ring for a window of the length.
func newRing[Value any, Pointer adder[Value]](length time.Duration) *ring[Value, Pointer] {
	return &ring[Value, Pointer]{width: length / slotsPerWindow}
}

func (ring *ring[Value, Pointer]) number(now time.Time) int64 {
	return now.UnixNano() / int64(ring.width)
}

// put adds a value at a time.
func (ring *ring[Value, Pointer]) put(now time.Time, value Value) {
	number := ring.number(now)
	slot := &ring.slots[number%slotsPerWindow]
	if slot.number != number {
		*slot = ringSlot[Value](number)
	}
	Pointer(&slot.value).add(value)
}

// ringSlot returns an empty slot of that number.
func ringSlot[Value any](number int64) slot[Value] { return slot[Value]{number: number} }

// sum returns the sum of what was put within the window before a time.
func (ring *ring[Value, Pointer]) sum(now time.Time) Value {
	var sum Value
	newest := ring.number(now)
	for _, slot := range ring.slots {
		if slot.number > newest-slotsPerWindow && slot.number <= newest {
			Pointer(&sum).add(slot.value)
		}
	}
	return sum
}

// length returns the length of the window.
func (ring *ring[Value, Pointer]) length() time.Duration { return ring.width * slotsPerWindow }

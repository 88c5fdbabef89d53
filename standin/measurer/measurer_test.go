package measurer_test

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

func TestMeasures(t *testing.T) {
	const size = 64 << 20
	before, busy := measurer.HeapAlloc(), measurer.CPUTime()
	held := make([]byte, size)
	for index := range held {
		held[index] = byte(index)
	}
	grown := measurer.HeapAlloc() - before
	runtime.KeepAlive(held)
	assert.Assert(t, grown > size/2 && grown < 2*size, "%v", grown)
	assert.Assert(t, measurer.CPUTime() >= busy && measurer.CPUTime() > 0)

	wire := measurer.NewWire()
	count := func() int {
		wire.Reset()
		assert.NilError(t, wire.RecordExchange("a", "b", "west", &messenger.Heartbeat{Sequence: 1}))
		assert.Equal(t, wire.Bytes("a"), wire.Bytes("b"))
		assert.Equal(t, wire.Messages("b"), 1)
		return wire.Bytes("b")
	}
	first, second := count(), count()
	assert.Assert(t, second > 200 && first > second, "type descriptions must be sent only once: %d bytes, then %d", first, second)
	assert.Equal(t, count(), second)
	assert.Equal(t, wire.Bytes("c")+wire.Messages("c"), 0)
}

// TestBusiest checks the count of the fullest window, both ends included.
func TestBusiest(t *testing.T) {
	var times []time.Time
	for _, seconds := range []int{0, 10, 11, 12, 14, 15, 30} {
		times = append(times, time.Unix(int64(seconds), 0))
	}
	assert.Equal(t, measurer.MaxInWindow(nil, time.Second), 0)
	assert.Equal(t, measurer.MaxInWindow(times, time.Second), 2)
	assert.Equal(t, measurer.MaxInWindow(times, 4*time.Second), 4)
	assert.Equal(t, measurer.MaxInWindow(times, time.Hour), 7)
}

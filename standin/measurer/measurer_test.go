package measurer_test

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

func TestMeasures(t *testing.T) {
	const size = 64 << 20
	before, busy := measurer.HeapInUse(), measurer.ProcessorTime()
	held := make([]byte, size)
	for index := range held {
		held[index] = byte(index)
	}
	grown := measurer.HeapInUse() - before
	runtime.KeepAlive(held)
	assert.Assert(t, grown > size/2 && grown < 2*size, "%v", grown)
	assert.Assert(t, measurer.ProcessorTime() >= busy && measurer.ProcessorTime() > 0)

	wire := measurer.NewWire()
	count := func() int {
		wire.Reset()
		assert.NilError(t, wire.Count("a", "b", "west", &messenger.Heartbeat{Sequence: 1}))
		assert.Equal(t, wire.Bytes("a"), wire.Bytes("b"))
		assert.Equal(t, wire.Messages("b"), 1)
		return wire.Bytes("b")
	}
	first, second := count(), count()
	assert.Assert(t, second > 200 && first > second, "types are written once: %d, then %d", first, second)
	assert.Equal(t, count(), second)
	assert.Equal(t, wire.Bytes("c")+wire.Messages("c"), 0)
}

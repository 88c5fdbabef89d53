package rationer_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/rationer"
)

// TestMeterTakesMemoryBeyondItsFreeBytes checks what a meter counts, takes and frees.
func TestMeterTakesMemoryBeyondItsFreeBytes(t *testing.T) {
	const memory = 100
	cases := []struct {
		name  string
		added []int
		held  int64
		left  int64
		kind  rationer.Kind
	}{
		{"nothing", nil, 0, 40, ""},
		{"free bytes", []int{6, 4}, 0, 30, ""},
		{"bytes beyond them", []int{6, 9}, 15, 25, ""},
		{"all at once", []int{40}, 90, 0, ""},
		{"too many", []int{40, 1}, 90, -1, rationer.TooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			sut := rationer.New(memory)
			meter := sut.NewMeter(rationer.Allowance{Free: 10, Limit: 40, Cost: 3})
			var err error
			for _, bytes := range test.added {
				err = meter.Add(bytes)
			}
			assert.Equal(t, kindOf(err), test.kind)
			assert.Equal(t, sut.Held(), test.held)
			assert.Equal(t, meter.Left(), test.left)
			meter.Reset()
			assert.Equal(t, sut.Held(), int64(0))
			assert.Equal(t, meter.Left(), int64(40))
		})
	}
}

// TestMeterTakesMemoryForLines guards against short lines that take many times the memory of their bytes.
func TestMeterTakesMemoryForLines(t *testing.T) {
	sut := rationer.New(100)
	meter := sut.NewMeter(rationer.Allowance{Free: 10, Limit: 40, Cost: 1, FreeLines: 2, LineCost: 30})
	assert.NilError(t, meter.AddLines(2))
	assert.Equal(t, sut.Held(), int64(0))
	assert.NilError(t, meter.AddLines(3))
	assert.Equal(t, sut.Held(), int64(90))
	assert.Equal(t, kindOf(meter.AddLines(1)), rationer.Exhausted)
	meter.Reset()
	assert.Equal(t, sut.Held(), int64(0))
	assert.NilError(t, meter.AddLines(5))
}

// TestMetersShareTheMemory guards against senders that each stay below their limit and together exceed the memory.
func TestMetersShareTheMemory(t *testing.T) {
	const memory = 100
	sut := rationer.New(memory)
	allowance := rationer.Allowance{Free: 10, Limit: 50, Cost: 2}
	first, second := sut.NewMeter(allowance), sut.NewMeter(allowance)
	assert.NilError(t, first.Add(50))
	assert.Equal(t, kindOf(second.Add(50)), rationer.Exhausted)
	assert.Assert(t, sut.Held() <= memory)
	first.Reset()
	second.Reset()
	assert.NilError(t, second.Add(50))
	second.Reset()
	assert.Equal(t, sut.Held(), int64(0))
}

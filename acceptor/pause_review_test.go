package acceptor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSuspensionLeavesTheQueue guards against a node that takes its own suspension for the time between two
// connections being begun, and closes those that came meanwhile.
func TestSuspensionLeavesTheQueue(t *testing.T) {
	now := time.Unix(0, 0)
	controller := NewController(now, func() time.Duration { return 250 * time.Millisecond })
	for range 20 {
		assert.Equal(t, controller.Accept(now), Reason(""))
		assert.Equal(t, controller.Accept(now), Reason(""))
		now = now.Add(time.Millisecond)
		controller.Begin(now)
		now = now.Add(time.Millisecond)
		controller.Begin(now)
	}
	assert.Equal(t, controller.Accept(now), Reason(""))
	assert.Equal(t, controller.Accept(now), Reason(""))
	controller.Begin(now)
	now = now.Add(1500 * time.Millisecond) // Suspended.
	controller.Begin(now)
	closed := 0
	for range 40 {
		if controller.Accept(now) != "" {
			closed++
		}
	}
	assert.Equal(t, closed, 0, "of 40 that take 40 ms")
}

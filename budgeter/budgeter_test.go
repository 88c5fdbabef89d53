package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/budgeter"
)

func TestTakeKeepsToShareAndFloor(t *testing.T) {
	budget := budgeter.New(budgeter.Policy{Share: 0.2, Floor: 2, Window: 10 * time.Second}, time.Unix(1000, 0))
	now := time.Unix(1000, 0)
	taken := func(tries int) int {
		count := 0
		for range tries {
			if budget.Take("s", now) {
				count++
			}
		}
		return count
	}
	assert.Equal(t, taken(5), 2)
	for range 20 {
		budget.First("s", now)
	}
	assert.Equal(t, taken(10), 4)
	// What was spent comes back once the window has passed, and with it goes
	// what the first sends earned.
	now = now.Add(9 * time.Second)
	assert.Equal(t, taken(5), 0)
	now = now.Add(2 * time.Second)
	assert.Equal(t, taken(5), 2)
	// A clock set back neither panics nor earns anything.
	now = now.Add(-time.Hour)
	assert.Equal(t, taken(5), 0)
}

package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/budgeter"
)

func nodes(count int) func() int { return func() int { return count } }

func TestTakeKeepsToShareAndSlack(t *testing.T) {
	budget := budgeter.New(budgeter.Policy{Share: 0.2, Slack: 6, Nodes: nodes(3), Window: 10 * time.Second}, time.Unix(1000, 0))
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

// TestNodesKeepToTheSlackTogether holds that the nodes of a fleet of any size
// together repeat no more than the slack, without any first sends.
func TestNodesKeepToTheSlackTogether(t *testing.T) {
	for _, count := range []int{1, 8, 48, 71, 182, 390} {
		const slack = 182
		now := time.Unix(1000, 0)
		repeats := 0
		for range count {
			budget := budgeter.New(budgeter.Policy{Slack: slack, Nodes: nodes(count), Window: 10 * time.Second}, now)
			for budget.Take("s", now) {
				repeats++
			}
		}
		assert.Assert(t, repeats <= slack, "%d nodes repeat %d times", count, repeats)
	}
}

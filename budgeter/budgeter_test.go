package budgeter_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/budgeter"
)

func fixedNodes(count int) func() int { return func() int { return count } }

func TestTakeKeepsToShareAndSlack(t *testing.T) {
	budget := budgeter.New(budgeter.Policy{Share: 0.2, Slack: 6, Nodes: fixedNodes(3), Window: 10 * time.Second}, time.Unix(1000, 0))
	now := time.Unix(1000, 0)
	taken := func(tries int) int {
		count := 0
		for range tries {
			if budget.AllowRetry("s", now) {
				count++
			}
		}
		return count
	}
	assert.Equal(t, taken(5), 2)
	for range 20 {
		budget.RecordFirstSend("s", now)
	}
	assert.Equal(t, taken(10), 4)
	// Spent retries become available again once the window has passed, and the retries earned
	// by first sends in it expire.
	now = now.Add(9 * time.Second)
	assert.Equal(t, taken(5), 0)
	now = now.Add(2 * time.Second)
	assert.Equal(t, taken(5), 2)
	// A clock that is set back neither causes a panic nor allows a retry.
	now = now.Add(-time.Hour)
	assert.Equal(t, taken(5), 0)
}

// TestNodesKeepToTheSlackTogether checks that, without first sends, the retries of all nodes
// together do not exceed the slack, for fleets of any size.
func TestNodesKeepToTheSlackTogether(t *testing.T) {
	for _, count := range []int{1, 8, 48, 71, 182, 390} {
		const slack = 182
		now := time.Unix(1000, 0)
		retries := 0
		for range count {
			budget := budgeter.New(budgeter.Policy{Slack: slack, Nodes: fixedNodes(count), Window: 10 * time.Second}, now)
			for budget.AllowRetry("s", now) {
				retries++
			}
		}
		assert.Assert(t, retries <= slack, "%d nodes retry %d times", count, retries)
	}
}

// TestRoomIsNotUsedUpByLooking guards against retries that are counted although none was taken.
func TestRoomIsNotUsedUpByLooking(t *testing.T) {
	start := time.Unix(0, 0)
	budget := budgeter.New(budgeter.Policy{Slack: 1, Nodes: fixedNodes(1), Window: time.Second}, start)
	for range 3 {
		assert.Assert(t, budget.HasRoom("pool", start))
	}
	assert.Assert(t, budget.AllowRetry("pool", start))
	assert.Assert(t, !budget.HasRoom("pool", start))
	assert.Assert(t, budget.HasRoom("pool", start.Add(2*time.Second)))
}

// Guards against nodes that all start again within a window and retry as if none had retried in it.
func TestNodesThatStartAgainKeepToTheSlack(t *testing.T) {
	const slack, count = 182, 71
	now := time.Unix(1000, 0)
	retries := 0
	for range 2 {
		for range count {
			budget := budgeter.New(budgeter.Policy{Slack: slack, Nodes: fixedNodes(count), Window: 10 * time.Second}, now)
			for budget.AllowRetry("s", now) {
				retries++
			}
		}
		now = now.Add(2 * time.Second)
	}
	assert.Assert(t, retries <= slack, "%d nodes retry %d times", count, retries)
}

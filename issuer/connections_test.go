package issuer

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSplitConnections guards against nodes that together may open more connections than an upstream accepts
// less the reserve, and against an upstream that accepts some and gets none.
func TestSplitConnections(t *testing.T) {
	for _, nodes := range []int{0, 1, 2, 3, 16, 66, 295, 986, 1972} {
		for accepted := 1; accepted < 1200; accepted++ {
			allowance, pool := SplitConnections(accepted, nodes)
			all := allowance*max(nodes, 1) + pool
			most := float64(accepted) * (1 - reservedShare)
			assert.Assert(t, allowance >= 0 && pool >= 0 && all >= 1, "%d accepted, %d nodes", accepted, nodes)
			assert.Assert(t, float64(all) <= most || accepted == 1 && all == 1, "%d accepted, %d nodes: %d", accepted, nodes, all)
		}
	}
	allowance, pool := SplitConnections(math.MaxInt32, 66)
	assert.Check(t, allowance*66+pool <= math.MaxInt32*9/10, "%d, %d", allowance, pool)
}

// TestPermitsOfConnectionsOutlastSuspension guards against permits that lapse while the node that holds them
// is suspended and its connections stay open.
func TestPermitsOfConnectionsOutlastSuspension(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &Pool{}
	pool.SetSize(1)
	issuer := New(now, 1e6)
	issuer.LimitPlaces(pool, 1)
	now = now.Add(time.Second)
	for number := range uint64(5) { // Short uses, after which leases of requests are short.
		id := AskID{From: "a", Number: number}
		assert.Equal(t, issuer.Ask(now, Ask{ID: id}).Verdict, Granted)
		issuer.Return(now.Add(time.Millisecond), id, Served)
	}
	granted := issuer.Ask(now, Ask{ID: AskID{From: "a", Number: 9}})
	assert.Equal(t, granted.Verdict, Granted)
	assert.Check(t, granted.After >= 10*time.Second, "lease %v", granted.After)
	now = now.Add(granted.After - time.Millisecond)
	assert.Equal(t, issuer.Ask(now, Ask{ID: AskID{From: "b", Number: 1}}).Verdict, Denied)
	assert.Equal(t, issuer.Ask(now.Add(time.Millisecond), Ask{ID: AskID{From: "b", Number: 2}}).Verdict, Granted)
}

// TestPoolPausesAfterReset guards against permits for as many connections as were open when one was reset.
func TestPoolPausesAfterReset(t *testing.T) {
	now := time.Unix(1000, 0)
	pool := &Pool{}
	pool.SetSize(8)
	pool.RecordRejected(now, 5)
	assert.Equal(t, pool.Size(now), 5)
	assert.Assert(t, pool.ThawsAt(now).Equal(now.Add(ceilingTime)))
	now = now.Add(ceilingTime)
	assert.Equal(t, pool.Size(now), 8)
	assert.Assert(t, pool.ThawsAt(now).IsZero())
}

package announcer_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const limitedService = "desk"

// limitOf returns the rejection limit of the service at the time, as text.
func limitOf(known *announcer.Announcer, now time.Time) string {
	limit, _ := known.RejectionLimit(now, limitedService)
	return limit.Limit.String()
}

// TestRejectionLimitEndsWhenItIsNoLongerAnnounced guards against a limit that outlives its
// announcement by more than two seconds, and against one that ends while some upstreams of the
// service still announce it.
func TestRejectionLimitEndsWhenItIsNoLongerAnnounced(t *testing.T) {
	known, now := announcer.New(), time.Unix(1000, 0)
	record := func(limit definer.RateLimit) {
		known.RecordRejectionLimit(now, limitedService, now.Add(-20*time.Millisecond), limit)
	}
	record(definer.RateLimit{})
	assert.Equal(t, limitOf(known, now), "none")
	for range 10 {
		now = now.Add(100 * time.Millisecond)
		record(definer.LimitTo(6))
		now = now.Add(100 * time.Millisecond)
		record(definer.RateLimit{})
		assert.Equal(t, limitOf(known, now), "6")
	}
	record(definer.LimitTo(3))
	assert.Equal(t, limitOf(known, now), "3", "the stricter limit counts at once")
	for range 12 {
		now = now.Add(100 * time.Millisecond)
		record(definer.RateLimit{})
	}
	assert.Equal(t, limitOf(known, now), "none")
}

// TestRejectionLimitsReachPeers guards against a node that sends its first request without the limit
// that its peers know, and against an old limit that a peer brings back.
func TestRejectionLimitsReachPeers(t *testing.T) {
	now := time.Unix(1000, 0)
	first, second := announcer.New(), announcer.New()
	_, informed := first.RejectionLimits(now)
	assert.Assert(t, !informed)
	now = now.Add(1100 * time.Millisecond)
	first.RecordRejectionLimit(now, limitedService, now, definer.LimitTo(6))
	stale, informed := first.RejectionLimits(now)
	assert.Assert(t, informed, "no peer has informed it in time")
	second.LearnRejectionLimits(now, "entry-1", stale, informed)
	limit, informed := second.RejectionLimit(now, limitedService)
	assert.Assert(t, limit.InForce() && informed)
	assert.Equal(t, limit.Source, announcer.Source("entry-1"))

	now = now.Add(2 * time.Second)
	second.RecordRejectionLimit(now, limitedService, now, definer.RateLimit{})
	second.LearnRejectionLimits(now.Add(10*time.Millisecond), "entry-1", []messenger.RejectionLimit{{Service: limitedService, PerSecond: 6, Limited: true, Age: 2 * time.Second, Since: 2 * time.Second}}, true)
	assert.Equal(t, limitOf(second, now), "none")
	lifted, _ := second.RejectionLimits(now)
	first.LearnRejectionLimits(now, "entry-2", lifted, true)
	assert.Equal(t, limitOf(first, now), "none")
}

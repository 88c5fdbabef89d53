package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

func buildUpstream(t *testing.T, slots, most int) (*definer.Upstream, *definer.Class) {
	configuration, err := definer.Build(1, definer.Document{
		Classes: []definer.ClassDocument{{Name: "draft", FirstTokenMs: 1000, BetweenTokensMs: 30, Attainment: 0.9, LongestWaitMs: 1000}},
		Pools: []definer.PoolDocument{{Name: "shared", Kind: "engine", Upstreams: []definer.UpstreamDocument{
			{Name: "runner", DataCentre: "skopje", Address: "127.0.0.1:1", Slots: slots, MaxSlots: most},
		}}},
	})
	assert.NilError(t, err)
	return configuration.Pools()[0].Upstreams()[0], configuration.Classes()[0]
}

// serve runs as many concurrent requests as the limit of the upstream allows,
// observes one every 100 ms for the given length, and returns the limit at the end.
func serve(limiter *Limiter, upstream *definer.Upstream, class *definer.Class, now *time.Time, length time.Duration, observe func(running int) messenger.Observation) int {
	for end := now.Add(length); now.Before(end); *now = now.Add(100 * time.Millisecond) {
		running := limiter.Limit(upstream)
		limiter.ObserveConcurrency(upstream, running)
		limiter.Observe(*now, upstream, class, observe(running))
	}
	return limiter.Limit(upstream)
}

// engineObservation returns the observation of an engine whose time between tokens
// is the given time for each running request.
func engineObservation(each time.Duration) func(int) messenger.Observation {
	return func(running int) messenger.Observation {
		return messenger.Observation{Tokens: 100, FirstToken: 100 * time.Millisecond, BetweenTokens: time.Duration(running) * each}
	}
}

func TestLimitFollowsTheUpstream(t *testing.T) {
	failing := func(int) messenger.Observation { return messenger.Observation{Failed: true} }
	fullBatch := func(running int) messenger.Observation {
		return messenger.Observation{Tokens: 100, BetweenTokens: time.Millisecond, FirstToken: 200 * time.Millisecond * time.Duration(max(running-8, 1))}
	}
	service := func(running int) messenger.Observation {
		return messenger.Observation{Total: 20 * time.Millisecond * time.Duration(max(running-10, 1))}
	}
	for _, test := range []struct {
		name        string
		observe     func(int) messenger.Observation
		least, most int
	}{
		{"fast enough for all", engineObservation(time.Millisecond / 2), 32, 32},
		{"target met up to ten", engineObservation(3 * time.Millisecond), 7, 11},
		{"full batch seen by the first token", fullBatch, 8, 14},
		{"straggler", engineObservation(50 * time.Millisecond), 1, 1},
		{"failing", failing, 1, 1},
		{"service queueing from twelve on", service, 8, 14},
		{"nothing known", func(int) messenger.Observation { return messenger.Observation{} }, 8, 8},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstream, class := buildUpstream(t, 8, 32)
			limiter, now := New(), time.Unix(0, 0)
			limit := serve(limiter, upstream, class, &now, 10*time.Minute, test.observe)
			assert.Assert(t, limit >= test.least && limit <= test.most, "limit is %d", limit)
		})
	}
}

// TestStragglerGetsItsShareBack checks that an upstream whose limit fell to 1 gets a higher
// limit again once it is fast.
func TestStragglerGetsItsShareBack(t *testing.T) {
	upstream, class := buildUpstream(t, 8, 16)
	limiter, now := New(), time.Unix(0, 0)
	assert.Equal(t, serve(limiter, upstream, class, &now, time.Minute, engineObservation(50*time.Millisecond)), 1)
	assert.Assert(t, serve(limiter, upstream, class, &now, time.Minute, engineObservation(time.Millisecond)) >= 8)
	limiter.Retain(nil)
	assert.Equal(t, limiter.Limit(upstream), 8)
}

// TestLimitIsNotRaisedWhileItIsNotUsed guards against raising a limit without evidence:
// good latencies at 2 of 8 slots say nothing about more than 8.
func TestLimitIsNotRaisedWhileItIsNotUsed(t *testing.T) {
	upstream, class := buildUpstream(t, 8, 16)
	limiter, now := New(), time.Unix(0, 0)
	for range 1000 {
		limiter.ObserveConcurrency(upstream, 2)
		limiter.Observe(now, upstream, class, engineObservation(time.Millisecond)(2))
	}
	assert.Equal(t, limiter.Limit(upstream), 8)
}

func buildOrganisations(t *testing.T, count int, perSecond float64) []*definer.Organisation {
	document := definer.Document{}
	for index := range count {
		document.Organisations = append(document.Organisations, definer.OrganisationDocument{Name: fmt.Sprint("o", index), RequestsPerSecond: perSecond})
	}
	configuration, err := definer.Build(1, document)
	assert.NilError(t, err)
	var built []*definer.Organisation
	for index := range count {
		organisation, _ := configuration.Organisation(definer.OrganisationName(fmt.Sprint("o", index)))
		built = append(built, organisation)
	}
	return built
}

func TestRateBoundsAnOrganisation(t *testing.T) {
	for _, test := range []struct {
		perSecond float64
		allowed   int
	}{{0, 1000}, {0.5, 6}, {5, 55}, {20, 220}} {
		organisation := buildOrganisations(t, 1, test.perSecond)[0]
		rateLimiter, now, allowed := NewRate(), time.Unix(0, 0), 0
		for range 1000 {
			ok, wait := rateLimiter.Allow(now, organisation)
			if ok {
				allowed++
			}
			assert.Equal(t, ok, wait == 0)
			now = now.Add(10 * time.Millisecond)
		}
		assert.Assert(t, allowed >= test.allowed-1 && allowed <= test.allowed+1, "%v requests per second: %d were allowed", test.perSecond, allowed)
	}
}

// TestRateKeepsOnlyBusyOrganisations checks that buckets of idle organisations are dropped.
func TestRateKeepsOnlyBusyOrganisations(t *testing.T) {
	rateLimiter, now := NewRate(), time.Unix(0, 0)
	for _, organisation := range buildOrganisations(t, 1900, 2) {
		rateLimiter.Allow(now, organisation)
		now = now.Add(10 * time.Millisecond)
	}
	assert.Assert(t, len(rateLimiter.buckets) < 600, "%d buckets are kept", len(rateLimiter.buckets))
}

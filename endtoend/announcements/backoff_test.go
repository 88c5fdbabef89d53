package announcements_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// backoffGrace is the time after a response with Retry-After from which the node that received
	// it must respect the backoff; allowedInBackoff is the number of its requests that may still
	// reach the upstream until the backoff ends. Both are the users' bounds.
	backoffGrace     = 500 * time.Millisecond
	allowedInBackoff = 2
)

// refuseWithBackoff returns a script that refuses each request with a Retry-After header.
func refuseWithBackoff(backoff time.Duration) tester.Script {
	return func(header http.Header) (announces, refuses bool) {
		header.Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		return true, true
	}
}

// mostInBackoff returns the largest number of requests that reached the upstream from one node
// during one backoff that the upstream had announced to that node.
func mostInBackoff(upstream *tester.ScriptedUpstream, backoff time.Duration) int {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	most := 0
	for _, announcement := range upstream.Announcements {
		count := 0
		for _, arrival := range upstream.Arrivals {
			within := arrival.At.After(announcement.At.Add(backoffGrace)) && arrival.At.Before(announcement.At.Add(backoff))
			if within && arrival.Node == announcement.Node {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestUpstreamIsNotAskedWithinItsRetryAfter lets one of four upstreams, or all of them, refuse
// requests with Retry-After and accept requests again later.
//
// It guards against nodes that ignore Retry-After: when a refusal only raised the upstream's
// selection cost, 142 to 145 requests from one node reached the upstream within its backoff.
func TestUpstreamIsNotAskedWithinItsRetryAfter(t *testing.T) {
	t.Run("one of four", func(t *testing.T) { oneBacksOff(t, tester.NewFleet(t)) })
	t.Run("all", func(t *testing.T) { tester.WithAndWithoutDelegation(t, allBackOff) })
}

func oneBacksOff(t *testing.T, fleet *tester.Fleet) {
	const backoff = 3 * time.Second
	upstreams := tester.StartAllScripted(fleet, 4)
	nodes := tester.StartSafeNodes(t, fleet, 4)
	tester.SendLoad(nodes, 150, time.Second)
	upstreams[0].SetScript(refuseWithBackoff(backoff))
	replies := tester.SendLoad(nodes, 150, 2*backoff)
	t.Logf("at most %d requests from a node within its backoff, %d in all", mostInBackoff(upstreams[0], backoff), len(upstreams[0].Announcements))
	assert.Check(t, mostInBackoff(upstreams[0], backoff) <= allowedInBackoff, "%d", mostInBackoff(upstreams[0], backoff))
	_, refused := tester.CountOutcomes(t, replies)
	assert.Equal(t, refused, 0, "the other upstreams could serve all requests")
	checkUsedAgain(t, nodes, backoff, upstreams[0])
}

func allBackOff(t *testing.T, fleet *tester.Fleet) {
	const backoff = 2500 * time.Millisecond
	upstreams := tester.StartAllScripted(fleet, 4)
	nodes := tester.StartSafeNodes(t, fleet, 4)
	tester.SendLoad(nodes, 150, time.Second)
	for _, upstream := range upstreams {
		upstream.SetScript(refuseWithBackoff(backoff))
	}
	replies := tester.SendLoad(nodes, 150, 2*backoff)
	for _, upstream := range upstreams {
		t.Logf("%s: at most %d requests from a node within its backoff, %d in all", upstream.Name, mostInBackoff(upstream, backoff), len(upstream.Announcements))
		assert.Check(t, mostInBackoff(upstream, backoff) <= allowedInBackoff, "%d", mostInBackoff(upstream, backoff))
	}
	_, refused := tester.CountOutcomes(t, replies)
	assert.Check(t, refused > len(replies)*9/10, "%d of %d were refused", refused, len(replies))
	checkUsedAgain(t, nodes, backoff, upstreams...)
}

// checkUsedAgain lets the upstreams accept requests again and checks that each receives some once
// its backoff has ended, and that callers are served.
func checkUsedAgain(t *testing.T, nodes []*tester.Node, backoff time.Duration, upstreams ...*tester.ScriptedUpstream) {
	t.Helper()
	resumedAt := time.Now()
	for _, upstream := range upstreams {
		upstream.SetScript(nil)
	}
	tester.SendLoad(nodes, 150, backoff)
	_, refused := tester.CountOutcomes(t, tester.SendLoad(nodes, 150, time.Second))
	assert.Check(t, refused == 0, "%d were refused after the backoff", refused)
	for _, upstream := range upstreams {
		assert.Check(t, upstream.ArrivalsSince(resumedAt) > 0, "%s is no longer used", upstream.Name)
	}
}

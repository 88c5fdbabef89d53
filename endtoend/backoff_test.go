package endtoend_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// backoffGrace is the time after a response with Retry-After from which the node that received
	// it must respect the backoff; allowedInBackoff is the number of its requests that may still
	// reach the upstream until the backoff ends. Both are the users' bounds.
	backoffGrace     = 500 * time.Millisecond
	allowedInBackoff = 2
)

// refuseWithBackoff returns a script that refuses each request with a Retry-After header.
func refuseWithBackoff(backoff time.Duration) script {
	return func(header http.Header) (announces, refuses bool) {
		header.Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		return true, true
	}
}

// mostInBackoff returns the largest number of requests that reached the upstream from one node
// during one backoff that the upstream had announced to that node.
func (upstream *scriptedUpstream) mostInBackoff(backoff time.Duration) int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	most := 0
	for _, announcement := range upstream.announcements {
		count := 0
		for _, arrival := range upstream.arrivals {
			within := arrival.at.After(announcement.at.Add(backoffGrace)) && arrival.at.Before(announcement.at.Add(backoff))
			if within && arrival.node == announcement.node {
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
	t.Run("one of four", func(t *testing.T) { oneBacksOff(t, newFleet(t)) })
	t.Run("all", func(t *testing.T) { withAndWithoutDelegation(t, allBackOff) })
}

func oneBacksOff(t *testing.T, fleet *fleet) {
	const backoff = 3 * time.Second
	upstreams := startAllScripted(fleet, 4)
	nodes := startSafeNodes(t, fleet, 4)
	sendLoad(nodes, 150, time.Second)
	upstreams[0].setScript(refuseWithBackoff(backoff))
	replies := sendLoad(nodes, 150, 2*backoff)
	t.Logf("at most %d requests from a node within its backoff, %d in all", upstreams[0].mostInBackoff(backoff), len(upstreams[0].announcements))
	assert.Check(t, upstreams[0].mostInBackoff(backoff) <= allowedInBackoff, "%d", upstreams[0].mostInBackoff(backoff))
	_, refused := countOutcomes(t, replies)
	assert.Equal(t, refused, 0, "the other upstreams could serve all requests")
	checkUsedAgain(t, nodes, backoff, upstreams[0])
}

func allBackOff(t *testing.T, fleet *fleet) {
	const backoff = 2500 * time.Millisecond
	upstreams := startAllScripted(fleet, 4)
	nodes := startSafeNodes(t, fleet, 4)
	sendLoad(nodes, 150, time.Second)
	for _, upstream := range upstreams {
		upstream.setScript(refuseWithBackoff(backoff))
	}
	replies := sendLoad(nodes, 150, 2*backoff)
	for _, upstream := range upstreams {
		t.Logf("%s: at most %d requests from a node within its backoff, %d in all", upstream.name, upstream.mostInBackoff(backoff), len(upstream.announcements))
		assert.Check(t, upstream.mostInBackoff(backoff) <= allowedInBackoff, "%d", upstream.mostInBackoff(backoff))
	}
	_, refused := countOutcomes(t, replies)
	assert.Check(t, refused > len(replies)*9/10, "%d of %d were refused", refused, len(replies))
	checkUsedAgain(t, nodes, backoff, upstreams...)
}

// checkUsedAgain lets the upstreams accept requests again and checks that each receives some once
// its backoff has ended, and that callers are served.
func checkUsedAgain(t *testing.T, nodes []*node, backoff time.Duration, upstreams ...*scriptedUpstream) {
	t.Helper()
	resumedAt := time.Now()
	for _, upstream := range upstreams {
		upstream.setScript(nil)
	}
	sendLoad(nodes, 150, backoff)
	_, refused := countOutcomes(t, sendLoad(nodes, 150, time.Second))
	assert.Check(t, refused == 0, "%d were refused after the backoff", refused)
	for _, upstream := range upstreams {
		assert.Check(t, upstream.arrivalsSince(resumedAt) > 0, "%s is no longer used", upstream.name)
	}
}

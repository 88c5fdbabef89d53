package endtoend_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// backoffKnown is how long after a refusal with a backoff the backoff counts for the node that got
	// it, and backoffAllowed how many of its requests may reach the upstream until its end: the
	// users' bound.
	backoffKnown   = 500 * time.Millisecond
	backoffAllowed = 2
)

// turnsAway has an upstream turn requests away and ask for a backoff.
func turnsAway(backoff time.Duration) says {
	return func(header http.Header) (said, refuses bool) {
		header.Set("Retry-After", strconv.FormatFloat(backoff.Seconds(), 'f', -1, 64))
		return true, true
	}
}

// disturbed returns the most requests that reached the upstream from a node while it had asked
// that node for one.
func (talker *talker) disturbed(backoff time.Duration) int {
	talker.mutex.Lock()
	defer talker.mutex.Unlock()
	most := 0
	for _, asked := range talker.said {
		count := 0
		for _, arrival := range talker.arrivals {
			within := arrival.at.After(asked.at.Add(backoffKnown)) && arrival.at.Before(asked.at.Add(backoff))
			if within && arrival.node == asked.node {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestUpstreamIsNotAskedWithinItsRetryAfter has upstreams turn requests away and ask for a
// backoff, one of four and all of them, and then take requests again.
//
// Seen: 142 to 145 requests from one node to one of the four within its backoff. A refusal only
// made an upstream dearer, and the time that it named was not read.
func TestUpstreamIsNotAskedWithinItsRetryAfter(t *testing.T) {
	t.Run("one of four", func(t *testing.T) { oneBacksOff(t, newFleet(t)) })
	t.Run("all", func(t *testing.T) { inBothWays(t, allBackOff) })
}

func oneBacksOff(t *testing.T, fleet *fleet) {
	const backoff = 3 * time.Second
	upstreams := startTalkers(fleet, 4)
	nodes := startAsked(t, fleet, 4)
	ask(nodes, 150, time.Second)
	upstreams[0].say(turnsAway(backoff))
	replies := ask(nodes, 150, 2*backoff)
	t.Logf("at most %d requests from a node within its backoff, %d in all", upstreams[0].disturbed(backoff), len(upstreams[0].said))
	assert.Check(t, upstreams[0].disturbed(backoff) <= backoffAllowed, "%d", upstreams[0].disturbed(backoff))
	_, refused := count(t, replies)
	assert.Equal(t, refused, 0, "the others could serve all")
	checkUsedAgain(t, nodes, backoff, upstreams[0])
}

func allBackOff(t *testing.T, fleet *fleet) {
	const backoff = 2500 * time.Millisecond
	upstreams := startTalkers(fleet, 4)
	nodes := startAsked(t, fleet, 4)
	ask(nodes, 150, time.Second)
	for _, upstream := range upstreams {
		upstream.say(turnsAway(backoff))
	}
	replies := ask(nodes, 150, 2*backoff)
	for _, upstream := range upstreams {
		t.Logf("%s: at most %d requests from a node within its backoff, %d in all", upstream.name, upstream.disturbed(backoff), len(upstream.said))
		assert.Check(t, upstream.disturbed(backoff) <= backoffAllowed, "%d", upstream.disturbed(backoff))
	}
	_, refused := count(t, replies)
	assert.Check(t, refused > len(replies)*9/10, "%d of %d were refused", refused, len(replies))
	checkUsedAgain(t, nodes, backoff, upstreams...)
}

// checkUsedAgain has upstreams take requests again, and holds that each gets some once its backoff
// is over, and that callers are served.
func checkUsedAgain(t *testing.T, nodes []*node, backoff time.Duration, upstreams ...*talker) {
	t.Helper()
	from := time.Now()
	for _, upstream := range upstreams {
		upstream.say(nil)
	}
	ask(nodes, 150, backoff)
	_, refused := count(t, ask(nodes, 150, time.Second))
	assert.Check(t, refused == 0, "%d were refused behind the backoff", refused)
	for _, upstream := range upstreams {
		assert.Check(t, upstream.since(from) > 0, "%s is not used any more", upstream.name)
	}
}

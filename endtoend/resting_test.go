package endtoend_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// restKnown is how long after a refusal with a rest the rest counts for the node that got
	// it, and restAllowed how many of its requests may reach the upstream until its end: the
	// users' bound.
	restKnown   = 500 * time.Millisecond
	restAllowed = 2
)

// restsFor has an upstream turn requests away and ask for rest.
func restsFor(rest time.Duration) says {
	return func(header http.Header) (said, refuses bool) {
		header.Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		return true, true
	}
}

// disturbed returns the most requests that reached the upstream from a node while it had asked
// that node for rest.
func (talker *talker) disturbed(rest time.Duration) int {
	talker.mutex.Lock()
	defer talker.mutex.Unlock()
	most := 0
	for _, asked := range talker.said {
		count := 0
		for _, arrival := range talker.arrivals {
			within := arrival.at.After(asked.at.Add(restKnown)) && arrival.at.Before(asked.at.Add(rest))
			if within && arrival.node == asked.node {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestUpstreamThatAsksForRestGetsIt has upstreams turn requests away and ask for rest, one of
// four and all of them, and then take requests again.
//
// Seen: 142 to 145 requests from one node to one of the four within its rest. A refusal only
// made an upstream dearer, and the time that it named was not read.
func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	t.Run("one of four", func(t *testing.T) { oneRests(t, newFleet(t)) })
	t.Run("all", func(t *testing.T) { inBothWays(t, allRest) })
}

func oneRests(t *testing.T, fleet *fleet) {
	const rest = 3 * time.Second
	upstreams := startTalkers(fleet, 4)
	nodes := startAsked(t, fleet, 4)
	ask(nodes, 150, time.Second)
	upstreams[0].say(restsFor(rest))
	replies := ask(nodes, 150, 2*rest)
	t.Logf("at most %d requests from a node within its rest, %d in all", upstreams[0].disturbed(rest), len(upstreams[0].said))
	assert.Check(t, upstreams[0].disturbed(rest) <= restAllowed, "%d", upstreams[0].disturbed(rest))
	_, refused := count(t, replies)
	assert.Equal(t, refused, 0, "the others could serve all")
	checkUsedAgain(t, nodes, rest, upstreams[0])
}

func allRest(t *testing.T, fleet *fleet) {
	const rest = 2500 * time.Millisecond
	upstreams := startTalkers(fleet, 4)
	nodes := startAsked(t, fleet, 4)
	ask(nodes, 150, time.Second)
	for _, upstream := range upstreams {
		upstream.say(restsFor(rest))
	}
	replies := ask(nodes, 150, 2*rest)
	for _, upstream := range upstreams {
		t.Logf("%s: at most %d requests from a node within its rest, %d in all", upstream.name, upstream.disturbed(rest), len(upstream.said))
		assert.Check(t, upstream.disturbed(rest) <= restAllowed, "%d", upstream.disturbed(rest))
	}
	_, refused := count(t, replies)
	assert.Check(t, refused > len(replies)*9/10, "%d of %d were refused", refused, len(replies))
	checkUsedAgain(t, nodes, rest, upstreams...)
}

// checkUsedAgain has upstreams take requests again, and holds that each gets some once its rest
// is over, and that callers are served.
func checkUsedAgain(t *testing.T, nodes []*node, rest time.Duration, upstreams ...*talker) {
	t.Helper()
	from := time.Now()
	for _, upstream := range upstreams {
		upstream.say(nil)
	}
	ask(nodes, 150, rest)
	_, refused := count(t, ask(nodes, 150, time.Second))
	assert.Check(t, refused == 0, "%d were refused behind the rest", refused)
	for _, upstream := range upstreams {
		assert.Check(t, upstream.since(from) > 0, "%s is not used any more", upstream.name)
	}
}

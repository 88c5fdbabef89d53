package endtoend_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// leavingGrace is the users' bound on the time after a node has forwarded the first response
	// that announces that an upstream is leaving. Requests that the node receives later must not
	// reach the upstream.
	leavingGrace = 2 * time.Second
	// storeOutageDelay is the time from the announcement to the store's outage, which lasts for
	// storeOutageDuration.
	storeOutageDelay    = 500 * time.Millisecond
	storeOutageDuration = 3 * time.Second
)

// announceLeaving is a script that announces that the upstream is leaving.
func announceLeaving(header http.Header) (announces, refuses bool) {
	header.Set("Server-Leaving", "1")
	return true, false
}

// lateArrivals counts the requests that were sent to a node more than leavingGrace after the
// upstream had announced to that node that it is leaving.
func (upstream *scriptedUpstream) lateArrivals() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	count := 0
	for _, arrival := range upstream.arrivals {
		if announced, known := upstream.announcedAt[arrival.node]; known && arrival.sentAt.After(announced.Add(leavingGrace)) {
			count++
		}
	}
	return count
}

// TestUpstreamThatSaysItLeavesIsLeftAlone lets an upstream announce in its responses that it is
// leaving. Half a second later the store fails, and the upstream's entry in the store is unchanged.
//
// It guards against nodes that rely on the entry in the store alone: 653 requests that were sent
// more than 2 s after the announcement reached the upstream.
func TestUpstreamThatSaysItLeavesIsLeftAlone(t *testing.T) { withAndWithoutDelegation(t, oneLeaves) }

func oneLeaves(t *testing.T, fleet *fleet) {
	upstreams := startAllScripted(fleet, 4)
	nodes := startSafeNodes(t, fleet, 4)
	assert.Assert(t, len(sendLoad(nodes, 150, time.Second)) > 0)
	leaving := upstreams[0]
	assert.Assert(t, leaving.arrivalsSince(time.Time{}) > 0, "the upstream had received no requests before")
	leaving.setScript(announceLeaving)
	var outage conc.WaitGroup
	outage.Go(func() {
		<-time.After(storeOutageDelay)
		fleet.store.SetErrorStatus(http.StatusServiceUnavailable)
		<-time.After(storeOutageDuration)
		fleet.store.SetErrorStatus(0)
	})
	replies := sendLoad(nodes, 150, storeOutageDelay+storeOutageDuration+2*time.Second)
	outage.Wait()
	assert.Equal(t, leaving.lateArrivals(), 0)
	served, refused := countOutcomes(t, replies)
	t.Logf("%d announcements of the leaving upstream, %d late requests; %d served, %d refused", len(leaving.announcements), leaving.lateArrivals(), served, refused)
	for _, request := range replies {
		// Without the store, API keys are accepted for 5 s only.
		unconfirmed := strings.Contains(request.reply.text, "unconfirmed")
		assert.Check(t, request.reply.status == http.StatusOK || unconfirmed, "the other upstreams could serve all requests: %v", request.reply)
	}

	// A new upstream at the same address receives requests.
	fleet.store.Remove("servers", leaving.name)
	leaving.setScript(nil)
	fleet.listUpstream("u9", leaving.address, "ready")
	from := time.Now()
	sendLoad(nodes, 150, 3*time.Second)
	assert.Assert(t, leaving.arrivalsSince(from) > 10, "%d requests", leaving.arrivalsSince(from))
}

// TestAllUpstreamsSayTheyLeave lets all upstreams announce that they are leaving: callers are
// refused at once, as nothing has run, and served again once another upstream is listed.
func TestAllUpstreamsSayTheyLeave(t *testing.T) {
	fleet := newFleet(t)
	upstreams := startAllScripted(fleet, 2)
	nodes := startSafeNodes(t, fleet, 2)
	for _, upstream := range upstreams {
		upstream.setScript(announceLeaving)
	}
	replies := sendLoad(nodes, 40, 4*time.Second)
	for _, upstream := range upstreams {
		assert.Equal(t, upstream.lateArrivals(), 0)
	}
	_, refused := countOutcomes(t, replies)
	assert.Assert(t, refused > 40, "%d of %d were refused", refused, len(replies))
	startScripted(fleet, "u9")
	eventually(t, startTimeout, "the new upstream is used", func() bool {
		return newClient(t).send(nodes[0].request("/safe/")).status == http.StatusOK
	})
}

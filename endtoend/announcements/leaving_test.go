package announcements_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
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
func lateArrivals(upstream *tester.ScriptedUpstream) int {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	count := 0
	for _, arrival := range upstream.Arrivals {
		if announced, known := upstream.AnnouncedAt[arrival.Node]; known && arrival.SentAt.After(announced.Add(leavingGrace)) {
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
func TestUpstreamThatSaysItLeavesIsLeftAlone(t *testing.T) {
	tester.WithAndWithoutDelegation(t, oneLeaves)
}

func oneLeaves(t *testing.T, fleet *tester.Fleet) {
	upstreams := tester.StartAllScripted(fleet, 4)
	nodes := tester.StartSafeNodes(t, fleet, 4)
	assert.Assert(t, len(tester.SendLoad(nodes, 150, time.Second)) > 0)
	leaving := upstreams[0]
	assert.Assert(t, leaving.ArrivalsSince(time.Time{}) > 0, "the upstream had received no requests before")
	leaving.SetScript(announceLeaving)
	var outage conc.WaitGroup
	outage.Go(func() {
		<-time.After(storeOutageDelay)
		fleet.Store.SetErrorStatus(http.StatusServiceUnavailable)
		<-time.After(storeOutageDuration)
		fleet.Store.SetErrorStatus(0)
	})
	replies := tester.SendLoad(nodes, 150, storeOutageDelay+storeOutageDuration+2*time.Second)
	outage.Wait()
	assert.Equal(t, lateArrivals(leaving), 0)
	served, refused := tester.CountOutcomes(t, replies)
	t.Logf("%d announcements of the leaving upstream, %d late requests; %d served, %d refused", len(leaving.Announcements), lateArrivals(leaving), served, refused)
	for _, request := range replies {
		// Without the store, API keys are accepted for 5 s only.
		unconfirmed := strings.Contains(request.Reply.Text, "unconfirmed")
		assert.Check(t, request.Reply.Status == http.StatusOK || unconfirmed, "the other upstreams could serve all requests: %v", request.Reply)
	}

	// A new upstream at the same address receives requests.
	fleet.Store.Remove("servers", leaving.Name)
	leaving.SetScript(nil)
	fleet.ListUpstream("u9", leaving.Address, "ready")
	from := time.Now()
	tester.SendLoad(nodes, 150, 3*time.Second)
	assert.Assert(t, leaving.ArrivalsSince(from) > 10, "%d requests", leaving.ArrivalsSince(from))
}

// TestAllUpstreamsSayTheyLeave lets all upstreams announce that they are leaving: callers are
// refused at once, as nothing has run, and served again once another upstream is listed.
func TestAllUpstreamsSayTheyLeave(t *testing.T) {
	fleet := tester.NewFleet(t)
	upstreams := tester.StartAllScripted(fleet, 2)
	nodes := tester.StartSafeNodes(t, fleet, 2)
	for _, upstream := range upstreams {
		upstream.SetScript(announceLeaving)
	}
	replies := tester.SendLoad(nodes, 40, 4*time.Second)
	for _, upstream := range upstreams {
		assert.Equal(t, lateArrivals(upstream), 0)
	}
	_, refused := tester.CountOutcomes(t, replies)
	assert.Assert(t, refused > 40, "%d of %d were refused", refused, len(replies))
	tester.StartScripted(fleet, "u9")
	tester.Eventually(t, tester.StartTimeout, "the new upstream is used", func() bool {
		return tester.NewClient(t).Send(nodes[0].Request("/safe/")).Status == http.StatusOK
	})
}

package announcements_test

import (
	"fmt"
	"math"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/measurer"
	"limpetcleat/standin/tester"
)

const (
	// limitWindow, limitFactor and limitSlack define the users' bound on the requests that reach an
	// upstream with a limit. The bound holds from limitSettleTime after the first announcement of
	// the limit, for nodes that received an announcement at least limitGrace before.
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitSettleTime = 3 * time.Second
	limitGrace      = 500 * time.Millisecond
	// limitLoadDuration is the time for which callers send requests.
	limitLoadDuration = 9 * time.Second
	// minLimitUse is the share of an upstream's limit that must be used while demand exceeds the
	// limit.
	minLimitUse = 0.6
)

// limitedUpstream is an upstream that announces a limit, or none if the limit is 0.
type limitedUpstream struct {
	*tester.ScriptedUpstream
	perSecond float64
}

// startLimited starts and lists upstreams with the given limits.
func startLimited(fleet *tester.Fleet, perSecond ...float64) []limitedUpstream {
	var upstreams []limitedUpstream
	for number, rate := range perSecond {
		upstream := limitedUpstream{ScriptedUpstream: tester.StartScripted(fleet, fmt.Sprintf("u%d", number)), perSecond: rate}
		if rate > 0 {
			upstream.SetScript(func(header http.Header) (announces, refuses bool) {
				header.Set("Server-Limit", strconv.FormatFloat(rate, 'f', -1, 64))
				return true, false
			})
		}
		upstreams = append(upstreams, upstream)
	}
	return upstreams
}

// mostInWindow returns the largest number of requests that reached the upstream within a window
// from nodes that had received its limit.
func (upstream limitedUpstream) mostInWindow() int {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	if len(upstream.Announcements) == 0 {
		return 0
	}
	firstAnnounced := upstream.Announcements[0].At
	var times []time.Time
	for _, arrival := range upstream.Arrivals {
		announced, known := upstream.AnnouncedAt[arrival.Node]
		if known && arrival.At.After(announced.Add(limitGrace)) && arrival.At.After(firstAnnounced.Add(limitSettleTime)) {
			times = append(times, arrival.At)
		}
	}
	return measurer.MaxInWindow(times, limitWindow)
}

// TestLimitOfAnUpstreamIsKept lets upstreams announce the number of requests a second that they
// accept from all nodes together, in two cases: one upstream of six, so that the others can serve
// all callers, and all six, with limits below the demand.
//
// It guards against nodes that ignore the limit: an upstream that accepted 18 requests in 4 s
// received 232, and all callers of the second case were served.
func TestLimitOfAnUpstreamIsKept(t *testing.T) {
	t.Run("one of six", func(t *testing.T) { tester.WithAndWithoutDelegation(t, oneIsLimited) })
	t.Run("all", func(t *testing.T) { allAreLimited(t, tester.NewFleet(t)) })
}

func oneIsLimited(t *testing.T, fleet *tester.Fleet) {
	upstreams := startLimited(fleet, 2.2, 0, 0, 0, 0, 0)
	nodes := tester.StartSafeNodes(t, fleet, 4)
	startedAt := time.Now()
	replies := tester.SendLoad(nodes, 150, limitLoadDuration)
	checkLimits(t, upstreams, startedAt)
	for _, request := range replies {
		assert.Check(t, request.Reply.Status == http.StatusOK, "%v", request.Reply)
	}
	issuers, outputs := 0, ""
	for _, node := range nodes {
		output, err := exec.Command(tester.Binary(), "announced", "-nodes", node.OperatorAddress).CombinedOutput()
		assert.NilError(t, err, string(output))
		assert.Check(t, strings.Contains(string(output), "2.2/s") && strings.Contains(string(output), "u0"), string(output))
		issuers += strings.Count(string(output), "0 nodes before")
		outputs += string(output)
	}
	assert.Equal(t, issuers, 1, outputs)
}

func allAreLimited(t *testing.T, fleet *tester.Fleet) {
	upstreams := startLimited(fleet, 0.5, 2.2, 3, 4, 5.3, 6)
	nodes := tester.StartSafeNodes(t, fleet, 4)
	startedAt := time.Now()
	replies := tester.SendLoad(nodes, 110, limitLoadDuration)
	checkLimits(t, upstreams, startedAt)
	served, refused := tester.CountOutcomes(t, replies)
	t.Logf("%d served, %d refused", served, refused)
}

// checkLimits checks that the requests to each upstream stay within its bound and use enough of its
// limit.
func checkLimits(t *testing.T, upstreams []limitedUpstream, startedAt time.Time) {
	t.Helper()
	from := startedAt.Add(limitSettleTime)
	for _, upstream := range upstreams {
		received := upstream.ArrivalsSince(from)
		t.Logf("%s: limit %v, %d requests in %v, at most %d in %v", upstream.Name, upstream.perSecond, received, time.Since(from), upstream.mostInWindow(), limitWindow)
		if upstream.perSecond == 0 {
			continue
		}
		allowed := int(math.Floor(limitFactor*upstream.perSecond*limitWindow.Seconds())) + limitSlack
		assert.Check(t, upstream.mostInWindow() <= allowed, "%s received %d requests in %v; the limit is %d", upstream.Name, upstream.mostInWindow(), limitWindow, allowed)
		wanted := math.Floor(minLimitUse * upstream.perSecond * time.Since(from).Seconds())
		assert.Check(t, float64(received) >= wanted, "%s received %d requests, want at least %.0f", upstream.Name, received, wanted)
	}
}

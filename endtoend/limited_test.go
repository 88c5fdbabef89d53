package endtoend_test

import (
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/measurer"
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
	// refusalTimeout is the time within which a request must be refused if no limit has capacity
	// for it; the request itself may take 2 s.
	refusalTimeout = time.Second
	// sentAtHeader holds the time at which a caller sent its request.
	sentAtHeader = "X-Sent-At"
)

// limitedUpstream is an upstream that announces a limit, or none if the limit is 0.
type limitedUpstream struct {
	*scriptedUpstream
	perSecond float64
}

// startLimited starts and lists upstreams with the given limits.
func startLimited(fleet *fleet, perSecond ...float64) []limitedUpstream {
	var upstreams []limitedUpstream
	for number, rate := range perSecond {
		upstream := limitedUpstream{scriptedUpstream: startScripted(fleet, fmt.Sprintf("u%d", number)), perSecond: rate}
		if rate > 0 {
			upstream.setScript(func(header http.Header) (announces, refuses bool) {
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
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if len(upstream.announcements) == 0 {
		return 0
	}
	firstAnnounced := upstream.announcements[0].at
	var times []time.Time
	for _, arrival := range upstream.arrivals {
		announced, known := upstream.announcedAt[arrival.node]
		if known && arrival.at.After(announced.Add(limitGrace)) && arrival.at.After(firstAnnounced.Add(limitSettleTime)) {
			times = append(times, arrival.at)
		}
	}
	return measurer.MaxInWindow(times, limitWindow)
}

// sendLoad sends requests at the given rate, evenly distributed over the nodes, and returns the
// exchanges.
func sendLoad(nodes []*node, perSecond float64, duration time.Duration) []exchange {
	const callers = 16
	byClient := make([][]exchange, callers)
	startedAt, interval := time.Now(), time.Duration(callers/perSecond*float64(time.Second))
	var group conc.WaitGroup
	for number := range callers {
		group.Go(func() {
			client := newClient(nodes[0].t)
			dueAt := startedAt.Add(interval * time.Duration(number) / callers)
			for count := 0; dueAt.Before(startedAt.Add(duration)); count++ {
				<-time.After(time.Until(dueAt))
				at := time.Now()
				request := nodes[(number+count)%len(nodes)].request("/safe/")
				request.Header.Set(sentAtHeader, at.Format(time.RFC3339Nano))
				byClient[number] = append(byClient[number], exchange{sentAt: at, reply: client.send(request)})
				dueAt = dueAt.Add(interval)
			}
		})
	}
	group.Wait()
	var exchanges []exchange
	for _, clientExchanges := range byClient {
		exchanges = append(exchanges, clientExchanges...)
	}
	return exchanges
}

// startSafeNodes starts nodes with a rule whose requests may be repeated.
func startSafeNodes(t *testing.T, fleet *fleet, count int) []*node {
	t.Helper()
	rule := unsafeRule("/safe/")
	rule["route_type"], rule["max_attempts"] = "safe", 2
	fleet.configure(rule)
	var nodes []*node
	for number := range count {
		nodes = append(nodes, fleet.startNode(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range nodes {
		node.awaitReady()
	}
	return nodes
}

// TestLimitOfAnUpstreamIsKept lets upstreams announce the number of requests a second that they
// accept from all nodes together, in two cases: one upstream of six, so that the others can serve
// all callers, and all six, with limits below the demand.
//
// It guards against nodes that ignore the limit: an upstream that accepted 18 requests in 4 s
// received 232, and all callers of the second case were served.
func TestLimitOfAnUpstreamIsKept(t *testing.T) {
	t.Run("one of six", func(t *testing.T) { withAndWithoutDelegation(t, oneIsLimited) })
	t.Run("all", func(t *testing.T) { allAreLimited(t, newFleet(t)) })
}

func oneIsLimited(t *testing.T, fleet *fleet) {
	upstreams := startLimited(fleet, 2.2, 0, 0, 0, 0, 0)
	nodes := startSafeNodes(t, fleet, 4)
	startedAt := time.Now()
	replies := sendLoad(nodes, 150, limitLoadDuration)
	checkLimits(t, upstreams, startedAt)
	for _, request := range replies {
		assert.Check(t, request.reply.status == http.StatusOK, "%v", request.reply)
	}
	issuers, outputs := 0, ""
	for _, node := range nodes {
		output, err := exec.Command(os.Getenv(binaryVariable), "announced", "-nodes", node.operatorAddress).CombinedOutput()
		assert.NilError(t, err, string(output))
		assert.Check(t, strings.Contains(string(output), "2.2/s") && strings.Contains(string(output), "u0"), string(output))
		issuers += strings.Count(string(output), "0 nodes before")
		outputs += string(output)
	}
	assert.Equal(t, issuers, 1, outputs)
}

func allAreLimited(t *testing.T, fleet *fleet) {
	upstreams := startLimited(fleet, 0.5, 2.2, 3, 4, 5.3, 6)
	nodes := startSafeNodes(t, fleet, 4)
	startedAt := time.Now()
	replies := sendLoad(nodes, 110, limitLoadDuration)
	checkLimits(t, upstreams, startedAt)
	served, refused := countOutcomes(t, replies)
	t.Logf("%d served, %d refused", served, refused)
}

// countOutcomes counts the served and the refused callers. It checks that refusals are fast and
// have a retry delay, and that there is no other outcome.
func countOutcomes(t *testing.T, replies []exchange) (served, refused int) {
	t.Helper()
	for _, request := range replies {
		switch request.reply.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			assert.Check(t, request.reply.retryAfter > 0 && request.reply.took < refusalTimeout, "%v", request.reply)
		default:
			t.Errorf("unexpected reply %v", request.reply)
		}
	}
	return served, refused
}

// checkLimits checks that the requests to each upstream stay within its bound and use enough of its
// limit.
func checkLimits(t *testing.T, upstreams []limitedUpstream, startedAt time.Time) {
	t.Helper()
	from := startedAt.Add(limitSettleTime)
	for _, upstream := range upstreams {
		received := upstream.arrivalsSince(from)
		t.Logf("%s: limit %v, %d requests in %v, at most %d in %v", upstream.name, upstream.perSecond, received, time.Since(from), upstream.mostInWindow(), limitWindow)
		if upstream.perSecond == 0 {
			continue
		}
		allowed := int(math.Floor(limitFactor*upstream.perSecond*limitWindow.Seconds())) + limitSlack
		assert.Check(t, upstream.mostInWindow() <= allowed, "%s received %d requests in %v; the limit is %d", upstream.name, upstream.mostInWindow(), limitWindow, allowed)
		wanted := math.Floor(minLimitUse * upstream.perSecond * time.Since(from).Seconds())
		assert.Check(t, float64(received) >= wanted, "%s received %d requests, want at least %.0f", upstream.name, received, wanted)
	}
}

package crashes_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// crashNodes and crashUpstreams are the numbers of nodes and upstreams. A third of the
	// upstreams is down at any moment while the crashing request is being forwarded.
	crashNodes     = 4
	crashUpstreams = 12
	// crashingBody is the body of the request that crashes each upstream that runs it, after
	// crashDelay; the upstream restarts after restartDelay.
	crashingBody = "crashing"
	crashDelay   = 40 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	// crashingInterval is the time between two sends of the crashing request, which go to the nodes
	// in turn.
	crashingInterval = 150 * time.Millisecond
	// crashingDuration is the total time for which the crashing request is sent.
	crashingDuration = 9 * time.Second
	// After crashesUntilDetection upstreams have crashed and detectionTimeout has passed, at most
	// allowedLateSends more sends may reach an upstream. All three are the users' bounds.
	crashesUntilDetection = 3
	detectionTimeout      = 3 * time.Second
	allowedLateSends      = 3
	// otherCallers callers send other requests at the same time, each with a pause of otherInterval
	// between requests; an upstream needs otherWork for each.
	otherCallers  = 6
	otherInterval = 10 * time.Millisecond
	otherWork     = 50 * time.Millisecond
	// otherServedShare is the share of the other requests that must be served after the detection
	// timeout; it is the target of the users' order desk.
	otherServedShare = 0.99
)

// sendBesideCrashing sends requests of other callers to all nodes until the given time and returns
// the exchanges. Half of the callers repeat the same body.
func sendBesideCrashing(nodes []*tester.Node, until time.Time) []tester.Exchange {
	byClient := make([][]tester.Exchange, otherCallers)
	var callers conc.WaitGroup
	for number := range otherCallers {
		callers.Go(func() {
			client := tester.NewClient(nodes[0].T)
			for count := 0; time.Now().Before(until); count++ {
				body := "one that is asked often"
				if number%2 == 0 {
					body = fmt.Sprintf("%d of caller %d", count, number)
				}
				at := time.Now()
				reply := client.Send(withBody(nodes[(number+count)%len(nodes)].Request("/safe/"), body))
				byClient[number] = append(byClient[number], tester.Exchange{SentAt: at, Reply: reply})
				<-time.After(otherInterval)
			}
		})
	}
	callers.Wait()
	var exchanges []tester.Exchange
	for _, clientExchanges := range byClient {
		exchanges = append(exchanges, clientExchanges...)
	}
	return exchanges
}

// withBody returns the request with a body.
func withBody(request *http.Request, body string) *http.Request {
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return request
}

// TestRequestThatEndsItsUpstreams sends a request that crashes each upstream that runs it. Its
// caller retries after each failure, at each node in turn.
//
// It guards against nodes that attribute each crash to the upstream and keep no record of the
// request, either across a node's attempts or between nodes. Every retry then reached another
// upstream: 20 upstreams crashed within half a minute, and a quarter of the other callers'
// responses from them were cut off. The log showed the same request identity for all sends, and
// after each send its upstream refused connections.
func TestRequestThatEndsItsUpstreams(t *testing.T) {
	tester.WithAndWithoutDelegation(t, requestThatCrashesUpstreams)
}

func requestThatCrashesUpstreams(t *testing.T, fleet *tester.Fleet) {
	rule := tester.UnsafeRule("/safe/")
	rule["route_type"], rule["max_attempts"] = "safe", 2
	fleet.Configure(rule)
	isCrashing := func(_ *http.Request, body string) bool { return body == crashingBody }
	upstreams := startCrashingUpstreams(t, fleet, isCrashing, respondAfterWork)
	nodes := fleet.StartNodes(crashNodes)

	until := time.Now().Add(crashingDuration)
	var crashing []tester.Reply
	var callers conc.WaitGroup
	callers.Go(func() {
		client := tester.NewClient(t)
		for count := 0; time.Now().Before(until); count++ {
			crashing = append(crashing, client.Send(withBody(nodes[count%len(nodes)].Request("/safe/"), crashingBody)))
			<-time.After(crashingInterval)
		}
	})
	others := sendBesideCrashing(nodes, until)
	callers.Wait()

	from, late := upstreams.lateSends(crashesUntilDetection)
	assert.Assert(t, !from.IsZero(), "only %d upstreams crashed", len(upstreams.crashes))
	assert.Check(t, late <= allowedLateSends, "%d upstreams crashed; %d later sends", len(upstreams.crashes), late)
	counted, served := 0, 0
	for _, request := range others {
		assert.Check(t, !strings.Contains(request.Reply.Text, "heldOff"), "another request was quarantined: %v", request.Reply)
		if request.SentAt.Before(from) {
			continue
		}
		counted++
		if request.Reply.Status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d sends, %d crashes, %d late sends; %d of %d other requests served after the detection timeout", len(upstreams.sends), len(upstreams.crashes), late, served, counted)
	assert.Check(t, float64(served) >= otherServedShare*float64(counted), "%d of %d other requests were served", served, counted)
	for _, reply := range crashing {
		assert.Check(t, reply.Status == http.StatusBadGateway || reply.Status == http.StatusServiceUnavailable, "%v", reply)
	}
	last := crashing[len(crashing)-1]
	assert.Check(t, last.Status == http.StatusServiceUnavailable && last.RetryAfter > 0, "the last reply is %v", last)
	upstreams.checkLift(nodes, last)
}

// checkLift lifts the request's quarantine at one node with the operator's command, after the
// request has become harmless, and checks that all nodes forward the request again.
func (upstreams *crashingUpstreams) checkLift(nodes []*tester.Node, refused tester.Reply) {
	t := upstreams.fleet.T
	t.Helper()
	upstreams.harmless.Store(true)
	var refusal struct{ Identity string }
	assert.NilError(t, json.Unmarshal([]byte(refused.Text), &refusal), refused.Text)
	for _, arguments := range [][]string{{}, {"-lift", refusal.Identity}} {
		output, err := exec.Command(tester.Binary(), append([]string{"heldOff", "-nodes", nodes[0].OperatorAddress}, arguments...)...).CombinedOutput()
		assert.NilError(t, err, string(output))
		assert.Assert(t, strings.Contains(string(output), refusal.Identity), string(output))
	}
	for _, node := range nodes {
		tester.Eventually(t, detectionTimeout, node.Name+" forwards the request again", func() bool {
			return tester.NewClient(t).Send(withBody(node.Request("/safe/"), crashingBody)).Status == http.StatusOK
		})
	}
}

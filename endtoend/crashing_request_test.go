package endtoend_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// crashNodes and crashUpstreams are those of the test; a third of the upstreams is away
	// at any moment while the crashing request gets through.
	crashNodes     = 4
	crashUpstreams = 12
	// crashingBody is the request that ends each upstream that runs it, crashAfter later;
	// the upstream is back after crashedFor.
	crashingBody = "crashing"
	crashAfter   = 40 * time.Millisecond
	crashedFor   = 1500 * time.Millisecond
	// crashingEvery is the time between two of its attempts, at each node in turn.
	crashingEvery = 150 * time.Millisecond
	// crashingSpan is how long it comes.
	crashingSpan = 9 * time.Second
	// crashedEnough is from which upstream on, and knownWithin how much later, it counts
	// that more sends follow, of which sendsAllowed are allowed: the users' bounds.
	crashedEnough = 3
	knownWithin   = 3 * time.Second
	sendsAllowed  = 3
	// othersCallers ask beside it, each othersEvery, with work of otherWork.
	othersCallers = 6
	othersEvery   = 10 * time.Millisecond
	otherWork     = 50 * time.Millisecond
	// othersServed is the part of their requests that is served from knownWithin behind the
	// third end on: the aim of the users' order desk.
	othersServed = 0.99
)

// asked is one request of another caller.
type asked struct {
	at  time.Time
	got reply
}

// askBeside has callers ask at all nodes until the time, half of them always the same, and
// returns what came of each request.
func askBeside(nodes []*node, until time.Time) []asked {
	replies := make([][]asked, othersCallers)
	var callers conc.WaitGroup
	for number := range othersCallers {
		callers.Go(func() {
			client := newClient(nodes[0].t)
			for count := 0; time.Now().Before(until); count++ {
				body := "one that is asked often"
				if number%2 == 0 {
					body = fmt.Sprintf("%d of caller %d", count, number)
				}
				at := time.Now()
				got := client.send(withBody(nodes[(number+count)%len(nodes)].request("/safe/"), body))
				replies[number] = append(replies[number], asked{at: at, got: got})
				<-time.After(othersEvery)
			}
		})
	}
	callers.Wait()
	var all []asked
	for _, each := range replies {
		all = append(all, each...)
	}
	return all
}

// withBody returns the request with a body.
func withBody(request *http.Request, body string) *http.Request {
	request.Body, request.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	return request
}

// TestRequestThatEndsItsUpstreams has one request end each upstream that runs it. Its caller
// sends it again and again, at each node in turn, as clients do after a failure.
//
// Seen: it was sent to an upstream each time, 20 ended in half a minute, and a quarter of the
// other callers' answers on them broke off. Every node took each end for that upstream's own
// failure: nothing remembered the request itself, neither at a node across its attempts nor
// between nodes. That the identity in the log was the same for all sends, and each send found
// its upstream refusing connections, proved it.
func TestRequestThatEndsItsUpstreams(t *testing.T) { inBothWays(t, requestThatEndsItsUpstreams) }

func requestThatEndsItsUpstreams(t *testing.T, fleet *fleet) {
	rule := unsafeRule("/safe/")
	rule["route_type"], rule["max_attempts"] = "safe", 2
	fleet.configure(rule)
	fragile := startFragile(t, fleet)
	var nodes []*node
	for number := range crashNodes {
		nodes = append(nodes, fleet.join(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range nodes {
		node.awaitReady()
	}

	until := time.Now().Add(crashingSpan)
	var crashing []reply
	var callers conc.WaitGroup
	callers.Go(func() {
		client := newClient(t)
		for count := 0; time.Now().Before(until); count++ {
			crashing = append(crashing, client.send(withBody(nodes[count%len(nodes)].request("/safe/"), crashingBody)))
			<-time.After(crashingEvery)
		}
	})
	others := askBeside(nodes, until)
	callers.Wait()

	from, late := fragile.known()
	assert.Assert(t, !from.IsZero(), "only %d upstreams ended", len(fragile.ends))
	assert.Check(t, late <= sendsAllowed, "%d upstreams ended; %d more sends", len(fragile.ends), late)
	counted, served := 0, 0
	for _, request := range others {
		assert.Check(t, !strings.Contains(request.got.text, "heldOff"), "another request was held off: %v", request.got)
		if request.at.Before(from) {
			continue
		}
		counted++
		if request.got.status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d sends, %d ends, %d late; %d of %d others served from then on", len(fragile.sends), len(fragile.ends), late, served, counted)
	assert.Check(t, float64(served) >= othersServed*float64(counted), "%d of %d others were served", served, counted)
	for _, got := range crashing {
		assert.Check(t, got.status == http.StatusBadGateway || got.status == http.StatusServiceUnavailable, "%v", got)
	}
	last := crashing[len(crashing)-1]
	assert.Check(t, last.status == http.StatusServiceUnavailable && last.pause > 0, "the last answer is %v", last)
	fragile.lift(nodes, last)
}

// lift has an operator lift the request at one node, after the upstreams were mended: all
// nodes send it again.
func (fragile *fragile) lift(nodes []*node, refused reply) {
	t := fragile.fleet.t
	t.Helper()
	fragile.mended.Store(true)
	var told struct{ Identity string }
	assert.NilError(t, json.Unmarshal([]byte(refused.text), &told), refused.text)
	for _, shown := range [][]string{{}, {"-lift", told.Identity}} {
		output, err := exec.Command(os.Getenv(binaryVariable), append([]string{"heldOff", "-nodes", nodes[0].operators}, shown...)...).CombinedOutput()
		assert.NilError(t, err, string(output))
		assert.Assert(t, strings.Contains(string(output), told.Identity), string(output))
	}
	for _, node := range nodes {
		eventually(t, knownWithin, node.name+" sends the request again", func() bool {
			return newClient(t).send(withBody(node.request("/safe/"), crashingBody)).status == http.StatusOK
		})
	}
}

package overload_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/operator"
	"limpetcleat/standin/tester"
)

const (
	// stableWindow is the time after the first announcement of a limit of rejections from which
	// upstreams may have less room.
	stableWindow = 3 * time.Second
	// burstServedShare and calmServedShare are the shares of what upstreams that never crash serve
	// of the same load, in a burst and at the usual load after it.
	burstServedShare = 0.95
	calmServedShare  = 0.97
	// allowedFalls and allowedFallShare define the users' bound on how often the upstreams of a
	// service crash: a number, and a share of their number.
	allowedFalls     = 2
	allowedFallShare = 0.1
	// limitEndTimeout is the users' bound on how long a limit may stay in force after it is no longer
	// announced.
	limitEndTimeout = 2 * time.Second
)

// overloadCase is a fleet whose upstreams get less room than they had, and then a burst.
type overloadCase struct {
	nodes     int
	upstreams int
	// tolerated is the number of rejections per second above which an upstream crashes, places the
	// number of requests that may wait from stableWindow on.
	tolerated int
	places    int
	// usual and burst are loads as shares of what the slots can run.
	usual float64
	burst float64
	// crash ends one upstream when the burst begins.
	crash bool
}

// servedCounts are the requests sent and served in each phase of an overloadCase.
type servedCounts struct {
	sent   [3]int
	served [3]int
}

// TestRejectionsDoNotCrashUpstreams lets upstreams announce how many rejections per second they
// tolerate before they crash, and then accept fewer requests than before.
//
// It guards against nodes that each discover by rejections that an upstream is full: 32 crashes in
// 20 s, and no caller was served in a burst of twice the capacity.
func TestRejectionsDoNotCrashUpstreams(t *testing.T) {
	cases := map[string]overloadCase{
		"burst":               {nodes: 6, upstreams: 8, tolerated: 6, places: 2, usual: 0.7, burst: 2},
		"one of four crashes": {nodes: 14, upstreams: 4, tolerated: 3, places: 1, usual: 0.6, burst: 1, crash: true},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			var sound, fragile servedCounts
			t.Run("sound", func(t *testing.T) { sound = test.run(t, false) })
			t.Run("crashing", func(t *testing.T) { fragile = test.run(t, true) })
			t.Logf("sent %v, served %v, by sound upstreams %v", fragile.sent, fragile.served, sound.served)
			for phase, share := range []float64{calmServedShare, burstServedShare, calmServedShare} {
				assert.Check(t, float64(fragile.served[phase]) >= share*float64(sound.served[phase]), "phase %d: %d served, %d by sound upstreams", phase, fragile.served[phase], sound.served[phase])
			}
		})
	}
}

// run plays the case, with upstreams that announce a limit and crash above it, or with others, and
// checks the crashes.
func (test overloadCase) run(t *testing.T, crashes bool) servedCounts {
	t.Helper()
	const calmDuration, burstDuration, afterDuration = 3 * time.Second, 5 * time.Second, 6 * time.Second
	overload := tester.Overload{Slots: 4, Places: 8, Work: 120 * time.Millisecond, Downtime: 3 * time.Second}
	capacity := float64(test.upstreams*overload.Slots) / overload.Work.Seconds()
	fleet := tester.NewFleet(t)
	var upstreams []*tester.OverloadUpstream
	for number := range test.upstreams {
		upstreams = append(upstreams, tester.StartOverloadUpstream(fleet, fmt.Sprintf("u%d", number), overload))
	}
	nodes := tester.StartSafeNodes(t, fleet, test.nodes)
	sendOpenLoad(nodes, test.usual*capacity, 2*time.Second)
	for _, upstream := range upstreams {
		if crashes {
			upstream.Announce(test.tolerated)
		}
	}
	sendOpenLoad(nodes, test.usual*capacity, stableWindow)
	for _, upstream := range upstreams {
		upstream.SetPlaces(test.places)
	}
	var counts servedCounts
	counts.add(0, sendOpenLoad(nodes, test.usual*capacity, calmDuration))
	if test.crash {
		upstreams[0].Crash()
	}
	counts.add(1, sendOpenLoad(nodes, test.burst*capacity, burstDuration))
	counts.add(2, sendOpenLoad(nodes, test.usual*capacity, afterDuration))
	if crashes {
		test.checkUpstreams(t, upstreams)
		checkLimitEnds(t, nodes, upstreams)
	}
	return counts
}

// checkLimitEnds checks that all nodes show the limit, and that it is gone limitEndTimeout after no
// upstream announces it any more.
func checkLimitEnds(t *testing.T, nodes []*tester.Node, upstreams []*tester.OverloadUpstream) {
	t.Helper()
	issued := 0
	for _, node := range nodes {
		places := listPlaces(t, node)
		assert.Check(t, len(places.Services) == 1 && places.Services[0].Service == "desk", "%s: %v", node.Name, places)
		issued += len(places.Upstreams)
	}
	assert.Check(t, issued >= len(upstreams), "permits of %d upstreams are issued", issued)
	for _, upstream := range upstreams {
		upstream.Conceal()
	}
	sendOpenLoad(nodes, 100, limitEndTimeout)
	for _, node := range nodes {
		places := listPlaces(t, node)
		assert.Check(t, len(places.Services) == 0, "%s: %v", node.Name, places)
	}
}

// listPlaces returns what the operators' command places shows of a node.
func listPlaces(t *testing.T, node *tester.Node) operator.Places {
	t.Helper()
	answers := operator.NewClient([]string{node.OperatorAddress}, "").Places(t.Context())
	assert.NilError(t, answers[0].Failure())
	return answers[0].Value()
}

// checkUpstreams checks the crashes, and the rejections of each upstream.
func (test overloadCase) checkUpstreams(t *testing.T, upstreams []*tester.OverloadUpstream) {
	t.Helper()
	falls, rejected := 0, 0
	for _, upstream := range upstreams {
		all, most := upstream.Rejections()
		falls, rejected = falls+upstream.Falls(), rejected+all
		assert.Check(t, most < test.tolerated, "%s rejected %d requests in a second; it tolerates %d", upstream.Name, most, test.tolerated)
	}
	t.Logf("%d falls, %d rejections", falls, rejected)
	allowed := allowedFalls + int(allowedFallShare*float64(len(upstreams)))
	assert.Check(t, falls <= allowed, "upstreams crashed %d times; allowed are %d", falls, allowed)
}

// add counts the exchanges of a phase.
func (counts *servedCounts) add(phase int, exchanges []tester.Exchange) {
	counts.sent[phase] = len(exchanges)
	for _, exchange := range exchanges {
		if exchange.Reply.Status == http.StatusOK {
			counts.served[phase]++
		}
	}
}

// sendOpenLoad sends requests at the rate, whether or not earlier ones were answered, evenly
// distributed over the nodes, and returns the exchanges.
func sendOpenLoad(nodes []*tester.Node, perSecond float64, duration time.Duration) []tester.Exchange {
	client := tester.NewClient(nodes[0].T)
	exchanges := make([]tester.Exchange, int(perSecond*duration.Seconds()))
	startedAt := time.Now()
	var group conc.WaitGroup
	for number := range exchanges {
		<-time.After(time.Until(startedAt.Add(time.Duration(float64(number) / perSecond * float64(time.Second)))))
		group.Go(func() {
			at := time.Now()
			exchanges[number] = tester.Exchange{SentAt: at, Reply: client.Send(nodes[number%len(nodes)].Request("/safe/"))}
		})
	}
	group.Wait()
	return exchanges
}

package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/copier"
	"limpetcleat/standin/tester"
)

const (
	// copySoakDefault is the play of TestSoakOfCopies without soakVariable.
	copySoakDefault = "1 10s 2"
	// copyingUpstreams is the number of addresses, copyCallers that of callers of a node.
	copyingUpstreams = 2
	copyCallers      = 6
	// shortestListing and longestListing bound how long two processes are listed at one address.
	shortestListing = 20 * time.Millisecond
	longestListing  = 400 * time.Millisecond
	// copyWork is the time that an upstream works on a request.
	copyWork = 10 * time.Millisecond
	// mostRepeats is how often a caller repeats a refused request under its id.
	mostRepeats = 2
	// mostCut is the largest number of bytes that a copy lacks.
	mostCut = 200
)

// copyPlay is a play of surplus answers.
type copyPlay struct {
	fleet  *tester.Fleet
	ledger *tester.Ledger

	// mutex guards random.
	mutex  sync.Mutex
	random *rand.Rand
}

// draw returns a random number below the bound.
func (copyPlay *copyPlay) draw(bound int) int {
	copyPlay.mutex.Lock()
	defer copyPlay.mutex.Unlock()
	return copyPlay.random.IntN(bound)
}

// status draws the status of an answer; one in three is a refusal or a failure.
func (copyPlay *copyPlay) status() int {
	statuses := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusInternalServerError}
	if drawn := copyPlay.draw(3 * len(statuses)); drawn < len(statuses) {
		return statuses[drawn]
	}
	return http.StatusOK
}

// copies draws the copies of an answer: none of half of them, up to three of the others, of which few are cut short.
func (copyPlay *copyPlay) copies(*http.Response) []copier.Copy {
	delays := []time.Duration{0, 2 * time.Millisecond, 15 * time.Millisecond, 60 * time.Millisecond}
	moments := []copier.Moment{copier.BeforeNext, copier.BeforeSameID, copier.After}
	var copies []copier.Copy
	for range max(0, copyPlay.draw(7)-3) {
		planned := copier.Copy{Moment: moments[copyPlay.draw(len(moments))], Delay: delays[copyPlay.draw(len(delays))]}
		if copyPlay.draw(20) == 0 {
			planned.CutBytes = copyPlay.draw(mostCut)
		}
		copies = append(copies, planned)
	}
	return copies
}

// live replaces the process at an address after drawn times until the context ends. The next process is listed before or
// after the one before has ended, whose entry is removed later.
func (copyPlay *copyPlay) live(ctx context.Context, number int) {
	upstream := tester.StartCopying(copyPlay.fleet, copyPlay.ledger, copyWork, copyPlay.status, copyPlay.copies)
	before := ""
	for start := 0; ctx.Err() == nil; start++ {
		name := fmt.Sprintf("u%d-%d", number, start)
		list := func() { copyPlay.fleet.ListUpstream(name, upstream.Address, "ready") }
		replace := func() { upstream.Replace(name) }
		steps := []func(){list, replace}
		if copyPlay.draw(2) == 0 {
			steps = []func(){replace, list}
		}
		for _, step := range steps {
			step()
			pause(ctx, shortestListing+time.Duration(copyPlay.draw(int(longestListing-shortestListing))))
		}
		if before != "" {
			copyPlay.fleet.Store.Remove("servers", before)
		}
		before = name
		pause(ctx, time.Duration(copyPlay.draw(int(time.Second))))
	}
}

// call sends requests with ids of their own to a node, and repeats those that are refused, until the context ends.
func (copyPlay *copyPlay) call(ctx context.Context, node *tester.Node, caller int) {
	client := tester.NewClient(node.T)
	for number := 0; ctx.Err() == nil; number++ {
		request := node.Request("/book/")
		id := fmt.Sprintf("%s-%d-%d", node.Name, caller, number)
		request.Header.Set(copier.IDHeader, id)
		for sends := 0; copyPlay.ledger.Record(id, client.Send(request)) && sends < mostRepeats; sends++ {
			pause(ctx, callInterval)
		}
		pause(ctx, callInterval)
	}
}

// TestSoakOfCopies guards against copies of answers to earlier sends that are taken for the answer to a later one: of
// requests that may not be repeated, none runs twice, none runs though its caller was told that it did not, and each
// answer is its caller's own.
func TestSoakOfCopies(t *testing.T) {
	seed, span, count := parsePlay(t, cmp.Or(os.Getenv(soakVariable), copySoakDefault))
	play := &copyPlay{fleet: tester.NewFleet(t), ledger: tester.NewLedger(), random: rand.New(rand.NewPCG(seed, 3))}
	rule := tester.UnsafeRule("/book/")
	rule["max_attempts"] = 4
	play.fleet.Configure(rule)
	nodes := play.fleet.StartNodes(count)
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	var group conc.WaitGroup
	for number := range copyingUpstreams {
		group.Go(func() { play.live(ctx, number) })
	}
	for _, node := range nodes {
		for caller := range copyCallers {
			group.Go(func() { play.call(ctx, node, caller) })
		}
	}
	group.Wait()
	broken := play.ledger.Broken()
	t.Logf("seed %d: %v, %d broken", seed, play.ledger, len(broken))
	for _, line := range broken {
		t.Error(line)
	}
	assert.Check(t, play.ledger.Served() > 0)
}

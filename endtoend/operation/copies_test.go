package operation_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/copier"
	"limpetcleat/standin/tester"
)

const (
	// copiesTime is the length of a play.
	copiesTime  = 3 * time.Second
	listedEarly = 150 * time.Millisecond
	removedLate = 250 * time.Millisecond
	// copiesCallers callers wait for copiesPause after each reply, which leaves room in the retry budget.
	copiesCallers = 8
	copiesPause   = 25 * time.Millisecond
)

// replaceUpstreams replaces the processes at the addresses again and again until the context ends. The entry of the next
// process is listed early, that of the one before removed late.
func replaceUpstreams(ctx context.Context, fleet *tester.Fleet, upstreams []*tester.CopyingUpstream) {
	for number := 0; ctx.Err() == nil; number++ {
		for index, upstream := range upstreams {
			fleet.ListUpstream(fmt.Sprintf("u%d-%d", index, number), upstream.Address, "ready")
		}
		time.Sleep(listedEarly)
		for index, upstream := range upstreams {
			upstream.Replace(fmt.Sprintf("u%d-%d", index, number))
		}
		time.Sleep(removedLate)
		for index := range upstreams {
			fleet.Store.Remove("servers", fmt.Sprintf("u%d-%d", index, number-1))
		}
	}
}

// callWithIDs sends requests with ids of their own until the context ends.
func callWithIDs(ctx context.Context, node *tester.Node, ledger *tester.Ledger, caller int) {
	client := tester.NewClient(node.T)
	for number := 0; ctx.Err() == nil; number++ {
		request := node.Request("/book/")
		id := fmt.Sprintf("%d-%d", caller, number)
		request.Header.Set(copier.IDHeader, id)
		ledger.Record(id, client.Send(request))
		time.Sleep(copiesPause)
	}
}

// TestCopiesOfRefusalsAreNotBelieved guards against a copy of the refusal of a request by one process that is taken for
// the answer of the next process at its address: the request was refused as not run, and ran, or ran twice.
func TestCopiesOfRefusalsAreNotBelieved(t *testing.T) {
	for _, moment := range []copier.Moment{copier.BeforeSameID, copier.BeforeNext} {
		for count := 1; count <= 2; count++ {
			t.Run(fmt.Sprintf("%s, %d upstreams", moment, count), func(t *testing.T) {
				fleet := tester.NewFleet(t)
				rule := tester.UnsafeRule("/book/")
				rule["max_attempts"] = 3
				fleet.Configure(rule)
				ledger := tester.NewLedger()
				var upstreams []*tester.CopyingUpstream
				for range count {
					upstreams = append(upstreams, tester.StartCopying(fleet, ledger, 2*time.Millisecond,
						func() int { return http.StatusOK }, func(*http.Response) []copier.Copy { return []copier.Copy{{Moment: moment}} }))
				}
				node := fleet.StartNodes(1)[0]
				ctx, cancel := context.WithTimeout(t.Context(), copiesTime)
				defer cancel()
				var group conc.WaitGroup
				group.Go(func() { replaceUpstreams(ctx, fleet, upstreams) })
				for caller := range copiesCallers {
					group.Go(func() { callWithIDs(ctx, node, ledger, caller) })
				}
				group.Wait()
				wrong := 0
				for _, upstream := range upstreams {
					wrong += upstream.Wrong()
				}
				t.Logf("%v, %d sent to another process", ledger, wrong)
				for _, line := range ledger.Broken() {
					t.Error(line)
				}
				assert.Check(t, ledger.Served() > 0 && wrong > 0)
			})
		}
	}
}

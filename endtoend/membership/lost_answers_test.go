package membership_test

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
	"limpetcleat/standin/tester"
)

// TestLeavingIsKnownAfterALostAnswer guards against requests that reach an upstream long after it was
// listed as draining, because the watch of the node that reads the store lost its answer while it was
// younger than the watch that shows the loss.
func TestLeavingIsKnownAfterALostAnswer(t *testing.T) {
	link := store.NewLink(0)
	fleet := tester.NewFleetWithLink(t, link)
	recorder := newBookingRecorder()
	fleet.Configure(tester.UnsafeRule("/book/"))
	leaving := fleet.StartUpstream("u1", recorder.serve("u1"))
	fleet.StartUpstream("u2", recorder.serve("u2"))
	nodes := fleet.StartNodes(6)
	stop := make(chan struct{})
	var callers conc.WaitGroup
	for _, node := range nodes {
		client := tester.NewClient(t)
		callers.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(tester.PollInterval):
					client.Send(node.Request("/book/"))
				}
			}
		})
	}
	<-time.After(3 * time.Second)
	fleet.Configure(tester.UnsafeRule("/book/"))
	<-time.After(500 * time.Millisecond)
	fleet.StartUpstream("u3", recorder.serve("u3"))
	<-time.After(800 * time.Millisecond)
	link.LoseAnswers()
	drainingSince := time.Now()
	fleet.ListUpstream("u1", leaving.Listener.Addr().String(), "draining")
	<-time.After(tester.LeavingTimeout + time.Second)
	close(stop)
	callers.Wait()
	for _, node := range nodes {
		last := recorder.lastByNode["u1"][node.Name].Sub(drainingSince)
		t.Logf("%s used the upstream until %v after it was listed as draining", node.Name, last)
		assert.Check(t, last < tester.LeavingTimeout, "%s used the upstream %v after it was listed as draining", node.Name, last)
	}
}

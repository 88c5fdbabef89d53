package membership_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
	"limpetcleat/standin/tester"
)

// leavingBounds are the users' bounds for their small deployments, as nodes' settings state them.
const leavingBounds = ", drain_ms: 2000, config_apply_ms: 2000"

// departure is a fleet whose nodes get a request each PollInterval, and an upstream that leaves it.
type departure struct {
	*tester.Fleet
	recorder *bookingRecorder
	nodes    []*tester.Node
	// addresses are those of the upstreams u1, which leaves, and u2.
	addresses map[string]string
	// left is set once u1 has left.
	left atomic.Bool
	// leftAt is when the store accepted that the upstream leaves.
	leftAt  time.Time
	stop    chan struct{}
	callers conc.WaitGroup
}

// callersPerNode is enough for requests to overlap, so that both upstreams are used.
const callersPerNode = 3

// newDeparture returns a fleet with the nodes of the data centres, and callers that call them.
func newDeparture(fleet *tester.Fleet, dataCentres ...string) *departure {
	return newDepartureOf(fleet, func(recorder *bookingRecorder, _ *atomic.Bool) map[string]http.HandlerFunc {
		return map[string]http.HandlerFunc{"u1": recorder.serve("u1"), "u2": recorder.serve("u2")}
	}, dataCentres...)
}

// newDepartureOf does the same with the handlers of u1 and u2, which are told when u1 has left.
func newDepartureOf(fleet *tester.Fleet, handlers func(recorder *bookingRecorder, left *atomic.Bool) map[string]http.HandlerFunc, dataCentres ...string) *departure {
	departure := &departure{Fleet: fleet, recorder: newBookingRecorder(), addresses: make(map[string]string), stop: make(chan struct{})}
	fleet.Configure(tester.UnsafeRule("/book/"))
	for name, handler := range handlers(departure.recorder, &departure.left) {
		departure.addresses[name] = fleet.StartUpstream(name, handler).Listener.Addr().String()
	}
	for number, dataCentre := range dataCentres {
		departure.nodes = append(departure.nodes, fleet.StartNodeIn(dataCentre, fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range departure.nodes {
		node.AwaitReady()
		for range callersPerNode {
			departure.callers.Go(func() { departure.call(node) })
		}
	}
	return departure
}

// call calls a node until the departure is checked.
func (departure *departure) call(node *tester.Node) {
	client := tester.NewClient(departure.T)
	for {
		select {
		case <-departure.stop:
			return
		case <-time.After(tester.PollInterval):
			client.Send(node.Request("/book/"))
		}
	}
}

// drain lists the upstream as draining.
func (departure *departure) drain() {
	departure.ListUpstream("u1", departure.addresses["u1"], "draining")
	departure.left.Store(true)
	departure.leftAt = time.Now()
}

// remove removes the entry of the upstream.
func (departure *departure) remove() {
	departure.Store.Remove("servers", "u1")
	departure.left.Store(true)
	departure.leftAt = time.Now()
}

// list lists an upstream as ready.
func (departure *departure) list(name string) {
	departure.ListUpstream(name, departure.addresses[name], "ready")
}

// check ends the callers and checks that no node used the upstream for LeavingTimeout after it left, and that
// all nodes served callers with the other one until the end.
func (departure *departure) check() {
	endedAt := time.Now()
	close(departure.stop)
	departure.callers.Wait()
	for _, node := range departure.nodes {
		idle := endedAt.Sub(departure.recorder.lastByNode["u2"][node.Name])
		assert.Check(departure.T, idle < time.Second, "%s has served nobody for %v", node.Name, idle)
		last := departure.recorder.lastByNode["u1"][node.Name].Sub(departure.leftAt)
		departure.T.Logf("%s used the upstream until %v after it left", node.Name, last)
		assert.Check(departure.T, last < tester.LeavingTimeout, "%s used the upstream until %v after it left", node.Name, last)
	}
}

// TestLeavingIsKnownAfterALostAnswer guards against requests that reach an upstream long after it was
// listed as draining, because the watch of the node that reads the store lost its answer while it was
// younger than the watch that shows the loss.
func TestLeavingIsKnownAfterALostAnswer(t *testing.T) {
	link := store.NewLink(0)
	fleet := tester.NewFleetWithLink(t, link)
	departure := newDeparture(fleet, tester.West, tester.West, tester.West, tester.West, tester.West, tester.West)
	<-time.After(3 * time.Second)
	fleet.Configure(tester.UnsafeRule("/book/"))
	<-time.After(500 * time.Millisecond)
	fleet.StartUpstream("u3", departure.recorder.serve("u3"))
	<-time.After(800 * time.Millisecond)
	link.LoseAnswers()
	departure.drain()
	<-time.After(tester.LeavingTimeout + time.Second)
	departure.check()
}

// TestLeavingIsKnownWhileWatchesFail guards against requests that reach an upstream after it left, because
// nodes whose watches fail do not read the store in another way, or take that for an outage of the store.
func TestLeavingIsKnownWhileWatchesFail(t *testing.T) {
	for name, fault := range map[string]store.WatchFault{"cut": store.WatchesCut, "hang": store.WatchesHang} {
		t.Run(name, func(t *testing.T) {
			tester.WithAndWithoutDelegation(t, func(_ *testing.T, fleet *tester.Fleet) {
				fleet.DutyBoundSettings = leavingBounds
				departure := newDeparture(fleet, tester.West, tester.West, tester.East, tester.East)
				<-time.After(2 * time.Second)
				fleet.Store.SetWatchFault(fault)
				<-time.After(500 * time.Millisecond)
				departure.remove()
				<-time.After(tester.LeavingTimeout + time.Second)
				departure.check()
			})
		})
	}
}

// TestRemovalIsNotDoubtedAfterAShortSilence guards against requests that reach an upstream after it left, because nodes
// take its removal for a lapse in a silence of the store in which no entry can have lapsed.
func TestRemovalIsNotDoubtedAfterAShortSilence(t *testing.T) {
	shapes := map[string]func(departure *departure, link *store.Link){
		"silent": func(departure *departure, link *store.Link) {
			link.BeSilent(1400 * time.Millisecond)
			departure.remove()
		},
		"history dropped": func(departure *departure, link *store.Link) {
			departure.Store.SetWatchFault(store.WatchesHang)
			<-time.After(700 * time.Millisecond)
			departure.remove()
			<-time.After(300 * time.Millisecond)
			departure.Store.Compact()
			departure.Store.SetWatchFault(store.WatchesServed)
			link.BeSilent(900 * time.Millisecond)
		},
	}
	for name, disturb := range shapes {
		t.Run(name, func(t *testing.T) {
			link := store.NewLink(0)
			fleet := tester.NewFleetWithLink(t, link)
			fleet.DutyBoundSettings = leavingBounds
			departure := newDeparture(fleet, tester.West, tester.West, tester.West, tester.West, tester.East, tester.East, "south", "south")
			<-time.After(3 * time.Second)
			disturb(departure, link)
			<-time.After(tester.LeavingTimeout + time.Second)
			departure.check()
			for _, node := range departure.nodes {
				output, err := node.Output()
				assert.NilError(t, err)
				assert.Check(t, !strings.Contains(output, "eventName=upstreamMissing"), "%s doubts the removal", node.Name)
			}
		})
	}
}

// TestLeavingIsKnownBehindALaggingWatch guards against requests that reach an upstream for good after it left, because a
// watch that lagged named the change without holding it, and its reader went on behind it.
func TestLeavingIsKnownBehindALaggingWatch(t *testing.T) {
	leave := map[string]func(departure *departure){"draining": (*departure).drain, "removed": (*departure).remove}
	for name, leaves := range leave {
		t.Run(name, func(t *testing.T) {
			tester.WithAndWithoutDelegation(t, func(_ *testing.T, fleet *tester.Fleet) {
				fleet.DutyBoundSettings = leavingBounds
				departure := newDeparture(fleet, tester.West, tester.West, tester.East, tester.East)
				changed := fleet.StartUpstream("u3", departure.recorder.serve("u3")).Listener.Addr().String()
				<-time.After(2 * time.Second)
				departure.ListUpstream("u3", changed, "draining")
				<-time.After(100 * time.Millisecond)
				departure.ListUpstream("u3", changed, "ready")
				departure.Store.LagWatches(time.Second, "servers", "config")
				<-time.After(5 * time.Millisecond)
				leaves(departure)
				<-time.After(tester.LeavingTimeout + time.Second)
				departure.check()
			})
		})
	}
}

// TestLateHeartbeatDoesNotBringAnUpstreamBack guards against requests that reach an upstream after it left, because
// the store executes a heartbeat late that the upstream had sent before.
func TestLateHeartbeatDoesNotBringAnUpstreamBack(t *testing.T) {
	tester.WithAndWithoutDelegation(t, func(_ *testing.T, fleet *tester.Fleet) {
		fleet.DutyBoundSettings = leavingBounds
		departure := newDeparture(fleet, tester.West, tester.West, tester.East, tester.East)
		<-time.After(time.Second)
		departure.beatLate(1500 * time.Millisecond)
		departure.remove()
		<-time.After(tester.LeavingTimeout + time.Second)
		departure.check()
	})
}

// beatLate sends a heartbeat of the upstream that the store executes after the delay, without an answer.
func (departure *departure) beatLate(delay time.Duration) {
	t := departure.T
	departure.Store.SetWriteFates(func(_, kind, _ string) store.Fate {
		if kind == "servers" {
			return store.Fate{Executions: []time.Duration{delay}}
		}
		return store.Fate{Executions: []time.Duration{0}, Answered: true}
	})
	body := fmt.Sprintf(`{"metadata":{"name":"u1"},"spec":{"service":"desk","address":%q,"zone":"west","state":"ready","sequence":7}}`, departure.addresses["u1"])
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+departure.StoreAddress+"/objects/servers", strings.NewReader(body))
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

// TestOddEntryStopsNobody guards against nodes that never become ready, or learn nothing more, since one entry among
// those of the upstreams is nested so deeply that the answer which holds it can't be decoded as a whole.
func TestOddEntryStopsNobody(t *testing.T) {
	tester.WithAndWithoutDelegation(t, func(_ *testing.T, fleet *tester.Fleet) {
		const depth = 9999
		odd := json.RawMessage(`{"models":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`)
		fleet.DutyBoundSettings = leavingBounds
		assert.NilError(fleet.T, fleet.Store.Put("servers", "odd-before", odd))
		departure := newDeparture(fleet, tester.West, tester.East)
		assert.NilError(fleet.T, fleet.Store.Put("servers", "odd-meanwhile", odd))
		fleet.StartUpstream("u3", departure.recorder.serve("u3"))
		<-time.After(2 * time.Second)
		departure.remove()
		<-time.After(tester.LeavingTimeout + time.Second)
		departure.check()
		for _, node := range departure.nodes {
			assert.Check(fleet.T, !departure.recorder.lastByNode["u3"][node.Name].IsZero(), "%s has not used the upstream that was added", node.Name)
		}
	})
}

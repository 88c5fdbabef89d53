package announcements_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/measurer"
	"limpetcleat/standin/tester"
)

const (
	// evacuationBound is the users' bound on how long after its acknowledgement an evacuation may
	// not be in force yet.
	evacuationBound = 3 * time.Second
	// coldSpan is how long an upstream is cold after its start; coldPerSecond, coldFactor and
	// coldSlack define the users' bound on the requests that it gets then within coldWindow.
	coldSpan      = 3 * time.Second
	coldPerSecond = 5
	coldFactor    = 1.5
	coldSlack     = 5
	coldWindow    = time.Second
	// placesLoad is the rate of the callers' requests.
	placesLoad = 120
)

// newPlacesFleet returns a fleet whose operators may order evacuations and whose upstreams are cold
// after a start.
func newPlacesFleet(t *testing.T, fleet *tester.Fleet) []*tester.Node {
	t.Helper()
	fleet.PlaceSettings = "zones: {west: mainland, east: mainland}\ncontracts: [base, places]\n"
	fleet.ServiceFields = map[string]any{"cold_start_s": coldSpan.Seconds(), "cold_per_s": coldPerSecond}
	return tester.StartSafeNodes(t, fleet, 4)
}

// startScriptedIn starts and lists an upstream in a data centre.
func startScriptedIn(fleet *tester.Fleet, dataCentre, name string, cold time.Duration) *tester.ScriptedUpstream {
	upstream := tester.StartScripted(fleet, name)
	fleet.ListUpstreamIn(dataCentre, name, upstream.Address, "ready", cold)
	return upstream
}

// arrivalsBetween returns the times of the requests that reached the upstream.
func arrivalsBetween(upstream *tester.ScriptedUpstream, from, to time.Time) []time.Time {
	upstream.Mutex.Lock()
	defer upstream.Mutex.Unlock()
	var times []time.Time
	for _, arrival := range upstream.Arrivals {
		if !arrival.At.Before(from) && arrival.At.Before(to) {
			times = append(times, arrival.At)
		}
	}
	return times
}

// checkServed checks that all callers were served.
func checkServed(t *testing.T, exchanges []tester.Exchange) {
	t.Helper()
	for _, exchange := range exchanges {
		assert.Assert(t, exchange.Reply.Status == http.StatusOK, "%d %s", exchange.Reply.Status, exchange.Reply.Text)
	}
}

// TestEvacuatedDataCentreIsLeftAlone evacuates a data centre under load: nothing is sent there
// once the bound has passed, all callers are served elsewhere, and when the evacuation ends the
// upstreams there are used again, as cold ones.
func TestEvacuatedDataCentreIsLeftAlone(t *testing.T) {
	tester.WithAndWithoutDelegation(t, evacuatedDataCentreIsLeftAlone)
}

func evacuatedDataCentreIsLeftAlone(t *testing.T, fleet *tester.Fleet) {
	near, far := startScriptedIn(fleet, tester.West, "u0", 0), startScriptedIn(fleet, tester.East, "u1", 0)
	nodes := newPlacesFleet(t, fleet)
	checkServed(t, tester.SendLoad(nodes, placesLoad, time.Second))
	assert.Assert(t, len(arrivalsBetween(near, time.Time{}, time.Now())) > 0)

	assert.NilError(t, fleet.Store.Put("evacuations", tester.West, map[string]any{}))
	evacuatedAt := time.Now()
	checkServed(t, tester.SendLoad(nodes, placesLoad, evacuationBound+time.Second))
	late := arrivalsBetween(near, evacuatedAt.Add(evacuationBound), time.Now())
	assert.Equal(t, len(late), 0)
	assert.Assert(t, len(arrivalsBetween(far, evacuatedAt, time.Now())) > placesLoad)

	fleet.Store.Remove("evacuations", tester.West)
	liftedAt := time.Now()
	checkServed(t, tester.SendLoad(nodes, placesLoad, coldSpan+evacuationBound+time.Second))
	cold := arrivalsBetween(near, liftedAt, liftedAt.Add(coldSpan))
	checkCold(t, cold)
	warm := arrivalsBetween(near, liftedAt.Add(evacuationBound+coldSpan), time.Now())
	assert.Assert(t, len(warm) > placesLoad/4, "%d requests", len(warm))
}

// checkCold checks requests to a cold upstream against the users' bound.
func checkCold(t *testing.T, arrivals []time.Time) {
	t.Helper()
	most := measurer.MaxInWindow(arrivals, coldWindow)
	t.Logf("at most %d of %d requests within %v", most, len(arrivals), coldWindow)
	assert.Assert(t, float64(most) <= coldFactor*coldPerSecond*coldWindow.Seconds()+coldSlack, "%d requests within %v", most, coldWindow)
}

// TestUpstreamThatStartsColdIsSpared starts an upstream under a load that would give it half of all
// requests: it gets no more than a cold one accepts until it is warm, then its share, and all
// callers are served.
func TestUpstreamThatStartsColdIsSpared(t *testing.T) {
	fleet := tester.NewFleet(t)
	startScriptedIn(fleet, tester.West, "u0", 0)
	nodes := newPlacesFleet(t, fleet)
	checkServed(t, tester.SendLoad(nodes, placesLoad, 2*time.Second))
	fresh := &tester.ScriptedUpstream{Name: "u1", AnnouncedAt: make(map[string]time.Time)}
	address := fleet.StartUnlisted(fresh.Serve).Listener.Addr().String()
	startedAt := time.Now()
	fleet.ListUpstreamIn(tester.West, "u1", address, "ready", coldSpan)
	checkServed(t, tester.SendLoad(nodes, placesLoad, coldSpan+3*time.Second))
	cold := arrivalsBetween(fresh, startedAt, startedAt.Add(coldSpan))
	checkCold(t, cold)
	assert.Assert(t, len(cold) > 0)
	warm := arrivalsBetween(fresh, startedAt.Add(coldSpan+time.Second), time.Now())
	assert.Assert(t, len(warm) > placesLoad/4, "%d requests", len(warm))
}

package endtoend_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/measurer"
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
func newPlacesFleet(t *testing.T, fleet *fleet) []*node {
	t.Helper()
	fleet.placeSettings = "zones: {west: mainland, east: mainland}\ncontracts: [base, places]\n"
	fleet.warmUp = map[string]any{"cold_start_s": coldSpan.Seconds(), "cold_per_s": coldPerSecond}
	return startSafeNodes(t, fleet, 4)
}

// startScriptedIn starts and lists an upstream in a data centre.
func startScriptedIn(fleet *fleet, dataCentre, name string, cold time.Duration) *scriptedUpstream {
	upstream := startScripted(fleet, name)
	fleet.listUpstreamIn(dataCentre, name, upstream.address, "ready", cold)
	return upstream
}

// arrivalsBetween returns the times of the requests that reached the upstream.
func (upstream *scriptedUpstream) arrivalsBetween(from, to time.Time) []time.Time {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	var times []time.Time
	for _, arrival := range upstream.arrivals {
		if !arrival.at.Before(from) && arrival.at.Before(to) {
			times = append(times, arrival.at)
		}
	}
	return times
}

// checkServed checks that all callers were served.
func checkServed(t *testing.T, exchanges []exchange) {
	t.Helper()
	for _, exchange := range exchanges {
		assert.Assert(t, exchange.reply.status == http.StatusOK, "%d %s", exchange.reply.status, exchange.reply.text)
	}
}

// TestEvacuatedDataCentreIsLeftAlone evacuates a data centre under load: nothing is sent there
// once the bound has passed, all callers are served elsewhere, and when the evacuation ends the
// upstreams there are used again, as cold ones.
func TestEvacuatedDataCentreIsLeftAlone(t *testing.T) {
	withAndWithoutDelegation(t, evacuatedDataCentreIsLeftAlone)
}

func evacuatedDataCentreIsLeftAlone(t *testing.T, fleet *fleet) {
	near, far := startScriptedIn(fleet, west, "u0", 0), startScriptedIn(fleet, east, "u1", 0)
	nodes := newPlacesFleet(t, fleet)
	checkServed(t, sendLoad(nodes, placesLoad, time.Second))
	assert.Assert(t, len(near.arrivalsBetween(time.Time{}, time.Now())) > 0)

	assert.NilError(t, fleet.store.Put("evacuations", west, map[string]any{}))
	evacuatedAt := time.Now()
	checkServed(t, sendLoad(nodes, placesLoad, evacuationBound+time.Second))
	late := near.arrivalsBetween(evacuatedAt.Add(evacuationBound), time.Now())
	assert.Equal(t, len(late), 0)
	assert.Assert(t, len(far.arrivalsBetween(evacuatedAt, time.Now())) > placesLoad)

	fleet.store.Remove("evacuations", west)
	liftedAt := time.Now()
	checkServed(t, sendLoad(nodes, placesLoad, coldSpan+evacuationBound+time.Second))
	cold := near.arrivalsBetween(liftedAt, liftedAt.Add(coldSpan))
	checkCold(t, cold)
	warm := near.arrivalsBetween(liftedAt.Add(evacuationBound+coldSpan), time.Now())
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
	fleet := newFleet(t)
	startScriptedIn(fleet, west, "u0", 0)
	nodes := newPlacesFleet(t, fleet)
	checkServed(t, sendLoad(nodes, placesLoad, 2*time.Second))
	fresh := &scriptedUpstream{name: "u1", announcedAt: make(map[string]time.Time)}
	address := fleet.startUnlisted(fresh.serve).Listener.Addr().String()
	startedAt := time.Now()
	fleet.listUpstreamIn(west, "u1", address, "ready", coldSpan)
	checkServed(t, sendLoad(nodes, placesLoad, coldSpan+3*time.Second))
	cold := fresh.arrivalsBetween(startedAt, startedAt.Add(coldSpan))
	checkCold(t, cold)
	assert.Assert(t, len(cold) > 0)
	warm := fresh.arrivalsBetween(startedAt.Add(coldSpan+time.Second), time.Now())
	assert.Assert(t, len(warm) > placesLoad/4, "%d requests", len(warm))
}

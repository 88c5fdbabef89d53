package forwarder_test

import (
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/router"
)

// TestHealthyUpstreamAmongManyThatLeftIsAsked guards against a service that is refused for as long as its upstreams are on
// probation: the same ones are asked again and again, and take the room for questions to the healthy one.
func TestHealthyUpstreamAmongManyThatLeftIsAsked(t *testing.T) {
	const left, span = 40, 4 * time.Second // Questions are repeated each 0.5 s.
	var asked, none, served atomic.Int64
	harness := newHarness(t, withHealth(states(http.StatusServiceUnavailable, "u0"), &asked, &none), withHealth(states(http.StatusOK, "u1"), &asked, &served))
	harness.configure(func(definition *router.Definition) { definition.Services[0].HealthPath = healthPath })
	harness.setDraw(rand.New(rand.NewPCG(1, 1)).Float64) // Requests are sent one at a time.
	first, healthy := harness.upstreams[0], harness.upstreams[1]
	harness.upstreams = nil
	for number := range left {
		upstream := *first
		upstream.ID = definer.UpstreamName("left" + strings.Repeat("i", number))
		harness.upstreams = append(harness.upstreams, &upstream)
	}
	healthy.DataCentre = first.DataCentre
	harness.upstreams = append(harness.upstreams, healthy)
	for _, upstream := range harness.upstreams {
		upstream.Rewritten, upstream.UsableFrom = true, time.Now().Add(time.Minute)
	}
	for began := time.Now(); served.Load() == 0 && time.Since(began) < span; time.Sleep(10 * time.Millisecond) {
		_, _, err := harness.call("/once/", "", nil)
		assert.NilError(t, err)
		<-harness.finished
	}
	assert.Check(t, served.Load() > 0, "asked %d times", asked.Load())
}

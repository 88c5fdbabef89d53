package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/forwarder"
	"limpetcleat/registrar"
	"limpetcleat/router"
)

const (
	healthPath   = "/healthz"
	healthHeader = "X-Runner-Id"
)

// withHealth puts an upstream's handler of questions for its health before that of requests, and counts both.
func withHealth(health http.HandlerFunc, asked, served *atomic.Int64) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == healthPath {
			asked.Add(1)
			health(writer, request)
			return
		}
		served.Add(1)
		answer(http.StatusOK, "a")(writer, request)
	}
}

// states returns a handler that answers with the status under the name of a start.
func states(status int, name string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(healthHeader, name)
		writer.WriteHeader(status)
	}
}

// Guards against requests to an upstream that has left and whose entry was written again after its removal, while its
// service has no other: an upstream on probation that refuses its health is sent nothing.
func TestUpstreamsOnProbationMustBeHealthy(t *testing.T) {
	tests := map[string]struct {
		health     http.HandlerFunc
		unasked    bool
		notOnTrial bool
		served     bool
	}{
		"healthy":                    {health: states(http.StatusOK, "u0"), served: true},
		"leaving":                    {health: states(http.StatusServiceUnavailable, "u0")},
		"another one at its address": {health: states(http.StatusOK, "u9")},
		"without a name":             {health: states(http.StatusOK, "")},
		"no answer":                  {health: cut},
		"silent":                     {health: silent},
		"not on probation":           {health: full, notOnTrial: true, unasked: true, served: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var asked, served atomic.Int64
			harness := newHarness(t, withHealth(test.health, &asked, &served))
			harness.configure(func(definition *router.Definition) { definition.Services[0].HealthPath = healthPath })
			harness.changeFirst(func(upstream *registrar.Upstream) {
				if !test.notOnTrial {
					upstream.Rewritten, upstream.UsableFrom = true, time.Now().Add(time.Minute)
				}
			})
			for range 2 {
				response, _, err := harness.call("/once/", "", nil)
				assert.NilError(t, err)
				if test.served {
					assert.Equal(t, response.StatusCode, http.StatusOK)
					continue
				}
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
				assert.Check(t, response.Header.Get("Retry-After") != "")
			}
			assert.Equal(t, served.Load() > 0, test.served)
			assert.Equal(t, asked.Load() == 0, test.unasked)
		})
	}
}

// Guards against a caller that is refused since one of several upstreams on probation has left.
func TestHealthyUpstreamOnProbationServes(t *testing.T) {
	var asked, left, served atomic.Int64
	harness := newHarness(t, withHealth(states(http.StatusServiceUnavailable, "u0"), &asked, &left), withHealth(states(http.StatusOK, "u1"), &asked, &served))
	harness.configure(func(definition *router.Definition) { definition.Services[0].HealthPath = healthPath })
	for _, upstream := range harness.upstreams {
		upstream.Rewritten, upstream.UsableFrom = true, time.Now().Add(time.Minute)
	}
	for range 3 {
		response, _, err := harness.call("/once/", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
		<-harness.finished
	}
	assert.Equal(t, left.Load(), int64(0))
	assert.Equal(t, served.Load(), int64(3))
	assert.Equal(t, harness.records[2].Reason, forwarder.Served)
}

package forwarder_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/gatekeeper"
	"limpetcleat/issuer"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/throttler"
)

// fewConnections allows a number of connections to each upstream, and grants no permit for more.
type fewConnections int

func (fewConnections) Acquire(context.Context, throttler.PermitRequest) throttler.Permit {
	return throttler.Permit{}
}
func (fewConnections) Adopt(throttler.PermitRequest) *throttler.Holding { return nil }
func (fewConnections) Return(*throttler.Holding, issuer.Outcome)        {}
func (few fewConnections) Allowance(int) int                            { return int(few) }

// TestUpstreamsOfOneConnectionServeOnProbation guards against a healthy upstream on probation that is sent nothing, since the
// connection at hand takes the leave that the question for its health needs.
func TestUpstreamsOfOneConnectionServeOnProbation(t *testing.T) {
	var asked, served atomic.Int64
	harness := newHarness(t, withHealth(states(http.StatusOK, "u0"), &asked, &served))
	harness.configure(func(definition *router.Definition) {
		definition.Services[0].HealthPath, definition.Services[0].MaxConnections = healthPath, 1
	})
	harness.gate = gatekeeper.New(fewConnections(1))
	harness.changeFirst(func(upstream *registrar.Upstream) {
		upstream.Rewritten, upstream.UsableFrom = true, time.Now().Add(time.Minute)
	})
	response, _, err := harness.call("/once/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, served.Load(), int64(1))
}

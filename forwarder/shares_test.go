package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/apportioner"
	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/router"
)

// claims is a forwarder.Shares that judges all requests to be beyond their share.
type claims struct {
	engines float64
	seen    []apportioner.Claim
}

func (claims *claims) SetCapacity(_ time.Time, _ definer.PoolName, engines float64) {
	claims.engines = engines
}

func (claims *claims) Record(_ time.Time, claim apportioner.Claim) {
	claims.seen = append(claims.seen, claim)
}

func (claims *claims) Judge(time.Time, apportioner.Claim, float64) apportioner.Verdict {
	return apportioner.Verdict{Short: true, Beyond: true}
}

// TestRequestsBeyondTheirShareAreLastInLine guards against requests beyond the share of their
// organisation that are sent with the urgency of their rule or, where a rule of a lower tier has the
// same service, behind that rule's requests, or evade their share by another key
// or rule, and against judging requests without an organisation or to plain services.
func TestRequestsBeyondTheirShareAreLastInLine(t *testing.T) {
	harness, claims := newHarness(t, answer(http.StatusOK, "ok")), &claims{}
	forwarder.WithShares(claims)(harness.forwarder)
	harness.configure(func(definition *router.Definition) {
		definition.Organisations[0].Keys = []string{"key", "other key"}
		definition.Rules[0].Tier, definition.Rules[1].Tier = 1, 2
		public := rule("public", func(rule *router.Rule) { rule.Public = true })
		plain := rule("plain", func(rule *router.Rule) { rule.Targets[0].Service = "plain" })
		definition.Rules = append(definition.Rules, public, plain)
		definition.Services = append(definition.Services, router.Service{Name: "plain"})
	})
	for _, request := range []struct{ path, key, urgency string }{
		{"/once/x", "key", "3"}, {"/safe/x", "other key", "9"}, {"/public/x", "", "0"}, {"/plain/x", "key", ""},
	} {
		_, _, err := harness.call(request.path, "body", func(call *http.Request) {
			call.Header.Set("Authorization", "Bearer "+request.key)
			call.Header.Set("X-Token-Count", "4000")
		})
		assert.NilError(t, err)
		harness.mutex.Lock()
		last := harness.requests[len(harness.requests)-1]
		harness.mutex.Unlock()
		assert.Equal(t, last.Header.Get("X-Request-Priority"), request.urgency, request.path)
	}
	assert.Equal(t, len(claims.seen), 2)
	for index, claim := range claims.seen {
		assert.Assert(t, claim.Organisation == "guild" && claim.Service == "pool" && claim.Tier == index+1 && claim.Work > 0, "%v", claim)
	}
	assert.Equal(t, claims.engines, 1.0)
	assert.Assert(t, harness.hasRecord(func(record forwarder.Record) bool { return record.Rule == "safe" && record.BeyondShare }))
	assert.Assert(t, harness.hasRecord(func(record forwarder.Record) bool { return record.Rule == "plain" && !record.BeyondShare }))
}

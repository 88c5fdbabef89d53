package operator_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
)

// TestHeldOffIsShownAndLifted checks that a held-off request is listed, that calls to lift a
// malformed or unknown identity fail and log nothing, and that after the lift, which is logged, the
// request is neither held off nor listed.
func TestHeldOffIsShownAndLifted(t *testing.T) {
	quarantine, journal := quarantiner.New(), &journal{}
	identity := quarantiner.Identify(&quarantiner.RequestParts{Target: "/a"})
	for _, upstream := range []definer.UpstreamName{"u1", "u2", "u3"} {
		quarantine.RecordCrash(time.Now(), definer.UpstreamStart{Upstream: upstream}, identity)
	}
	server := httptest.NewServer(operator.NewEntry(quarantine, journal.log).Handler())
	t.Cleanup(server.Close)
	client := operator.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "")

	answers := client.HeldOff(context.Background())
	assert.NilError(t, answers[0].Failure())
	assert.Equal(t, len(answers[0].Value()), 1)
	row := answers[0].Value()[0]
	assert.Equal(t, row.Identity, identity.String())
	assert.Equal(t, row.Held, true)
	assert.DeepEqual(t, row.Upstreams, []string{"u1", "u2", "u3"})
	assert.Assert(t, row.LeftMs > 500_000 && row.LeftMs <= 600_000)

	for _, wrong := range []string{"short", strings.Repeat("zz", 16), strings.Repeat("00", 16)} {
		assert.Assert(t, client.Lift(context.Background(), wrong)[0].Failure() != nil, wrong)
	}
	assert.Equal(t, len(journal.numbers), 0)
	assert.NilError(t, client.Lift(context.Background(), identity.String())[0].Failure())
	assert.DeepEqual(t, journal.numbers, []int{logger.EventRequestLifted})
	assert.Equal(t, quarantine.Check(time.Now(), identity).HeldFor, time.Duration(0))
	assert.Equal(t, len(client.HeldOff(context.Background())[0].Value()), 0)
}

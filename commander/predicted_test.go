package commander_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
	"limpetcleat/selector"
)

// TestPredictedIsPrinted guards against figures that the operators' interface serves and the command
// does not print, as text or as JSON.
func TestPredictedIsPrinted(t *testing.T) {
	entry := operator.NewEntry(quarantiner.New(), func(int, ...any) {})
	entry.ServePredicted(func(time.Time) []selector.ServicePrediction {
		return []selector.ServicePrediction{{
			Service: "pool", PrefillSpeed: 41.4, BaseLatency: 6 * time.Millisecond, Interval: 29 * time.Millisecond,
			Engines: []selector.EnginePrediction{{Upstream: "u1", Own: 1, Peers: 12, Streams: 9, Waiting: 7300, Factor: 4.25, FirstEvent: 780 * time.Millisecond, Pause: 873 * time.Millisecond}},
		}}
	})
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	for output, wanted := range map[string][]string{
		"text": {"pool: prefill 41.4 tokens/ms, base latency 6.0 ms, 29.0 ms between events", "u1        1    12     9        7300            4.25    780             873"},
		"json": {`"prefillTokensPerMs": 41.4`, `"peersInFlight": 12`, `"waitingTokens": 7300`, `"factor": 4.25`, `"firstEventMs": 780`, `"pauseMs": 873`},
	} {
		got := run(t, "predicted", "-nodes", address, "-output", output)
		assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
		containsAll(t, got.out, wanted)
	}
}

package operator_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// TestPredictionsAreShown guards against predictions that omit the load of this node or of its peers:
// each of them has requests at the first engine, which peers report to be slow.
func TestPredictionsAreShown(t *testing.T) {
	list := []*registrar.Upstream{{ID: "u1", Service: "pool", Slots: 8}, {ID: "u2", Service: "pool", Slots: 8}}
	chooser := selector.New("west")
	_, err := chooser.Choose(time.Now(), &selector.Demand{Service: "pool", Rule: "chat", Candidates: list[:1], Engine: true, PromptTokens: 400, GapObjective: time.Second})
	assert.NilError(t, err)
	chooser.ApplyReport(time.Now(), "peer", &messenger.LoadReport{Nodes: 1, Loads: []messenger.UpstreamLoad{
		{Upstream: "u1", InFlight: 2, Streams: 1, Unread: 2000, Deferred: 1600, ExpectedMs: 2000, ActualMs: 20_000}, {Upstream: "u2", ExpectedMs: 2000, ActualMs: 2000},
	}}, 1)
	entry := operator.NewEntry(quarantiner.New(), (&journal{}).log)
	entry.ServePredicted(func(now time.Time) []selector.ServicePrediction {
		return []selector.ServicePrediction{chooser.Predictions(now, "pool", list)}
	})
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	answers := operator.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "").Predicted(context.Background())
	assert.NilError(t, answers[0].Failure())
	assert.Equal(t, len(answers[0].Value()), 1)
	row := answers[0].Value()[0]
	engine, other := row.Engines[0], row.Engines[1]
	assert.Assert(t, engine.Factor > 1.3 && other.Factor < 1, "%v %v", engine, other)
	// At the assumed 40 tokens a millisecond, 2,400 tokens take 60 ms, and 4,000 take 100 ms.
	assert.Assert(t, engine.FirstEventMs > 60 && engine.PauseMs > 140 && other.FirstEventMs == 0 && other.PauseMs < 40, "%v %v", engine, other)
	engine.Factor, engine.FirstEventMs, engine.PauseMs, row.Engines = 0, 0, 0, nil
	assert.DeepEqual(t, engine, operator.PredictedEngine{Upstream: "u1", InFlight: 1, PeersInFlight: 2, Streams: 2, WaitingTokens: 4000})
	assert.DeepEqual(t, row, operator.Predicted{Service: "pool", PrefillTokensPerMs: 40, IntervalMs: 40})
}

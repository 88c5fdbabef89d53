package recorder_test

import (
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/recorder"
)

// clock is a time source that a test sets.
type clock struct{ time time.Time }

func (clock *clock) now() time.Time { return clock.time }

func newTestRecorder(t *testing.T) (*recorder.Recorder, *clock) {
	t.Helper()
	clock := &clock{time: time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)}
	configuration, err := definer.Build(1, definer.Document{Classes: []definer.ClassDocument{
		{Name: "desk", Attainment: 0.99, LongestWaitMs: 1000, TotalMs: 200},
		{Name: "digest", Tier: 3, Attainment: 0.9, LongestWaitMs: 1000},
	}})
	assert.NilError(t, err)
	counting := recorder.New(recorder.WithNode("entry-1"), recorder.WithTime(clock.now), recorder.WithReport(func(err error) { t.Error(err) }))
	counting.SetClasses(configuration)
	return counting, clock
}

func answeredRecord(tokens int, met bool, total time.Duration) decider.Record {
	return decider.Record{Class: "desk", Pool: "runners", Organisation: "acme", Complete: true, MetTargets: met, Tokens: tokens, FirstToken: total / 2, BetweenTokens: 20 * time.Millisecond, Total: total}
}

func refusedRecord(reason messenger.RefusalReason, total time.Duration) decider.Record {
	return decider.Record{Class: "desk", Pool: "runners", Reason: reason, Tokens: 3, Wasted: 7, Retries: 1, Total: total}
}

func deskSnapshot(t *testing.T, snapshot recorder.Snapshot) recorder.ClassSnapshot {
	t.Helper()
	assert.Equal(t, len(snapshot.Classes), 2)
	assert.Equal(t, string(snapshot.Classes[0].Class), "desk")
	return snapshot.Classes[0]
}

func TestRecordCounts(t *testing.T) {
	counting, _ := newTestRecorder(t)
	defer counting.Close()
	counting.Record(answeredRecord(10, true, 100*time.Millisecond))
	counting.Record(answeredRecord(20, false, 300*time.Millisecond))
	counting.Record(refusedRecord(messenger.UpstreamFailed, time.Second))
	class := deskSnapshot(t, counting.Snapshot())
	want := recorder.Counts{Requests: 3, Counted: 3, Met: 1, Complete: 2, Retries: 1, Tokens: 33, UsefulTokens: 30, WastedTokens: 7}
	assert.Equal(t, class.Total, want)
	assert.Equal(t, class.Refused[messenger.UpstreamFailed], uint64(1))
	assert.Equal(t, class.Duration.Count, uint64(2))
	assert.Assert(t, class.Duration.P50Ms > 98 && class.Duration.P50Ms < 102, class.Duration.P50Ms)
	assert.Assert(t, class.Duration.MaxMs > 296 && class.Duration.MaxMs < 304, class.Duration.MaxMs)
	for _, window := range class.Windows {
		assert.Equal(t, window.Counts, want)
	}
}

func TestRecordCountsWhatTargetsHoldFor(t *testing.T) {
	cases := []struct {
		reason  messenger.RefusalReason
		total   time.Duration
		counted uint64
	}{
		{messenger.QueueFull, 0, 1},
		{messenger.PlatformAway, 0, 1},
		{messenger.Draining, 0, 1},
		{messenger.RateLimited, 0, 0},
		{messenger.KeyInUse, 0, 0},
		{messenger.KeyMismatch, 0, 0},
		{messenger.CallerGone, 100 * time.Millisecond, 0},
		{messenger.CallerGone, 300 * time.Millisecond, 1},
	}
	for _, test := range cases {
		counting, _ := newTestRecorder(t)
		counting.Record(refusedRecord(test.reason, test.total))
		assert.Equal(t, deskSnapshot(t, counting.Snapshot()).Total.Counted, test.counted, "%s after %v", test.reason, test.total)
		assert.NilError(t, counting.Close())
	}
}

func TestWindowsMoveOn(t *testing.T) {
	counting, clock := newTestRecorder(t)
	defer counting.Close()
	counting.Record(answeredRecord(10, true, 100*time.Millisecond))
	requests := func() []uint64 {
		var counts []uint64
		for _, window := range deskSnapshot(t, counting.Snapshot()).Windows {
			counts = append(counts, window.Requests)
		}
		return counts
	}
	steps := []struct {
		passed time.Duration
		want   []uint64
	}{
		{4 * time.Minute, []uint64{1, 1, 1, 1, 1}},
		{2 * time.Minute, []uint64{0, 1, 1, 1, 1}},
		{25 * time.Minute, []uint64{0, 0, 1, 1, 1}},
		{30 * time.Minute, []uint64{0, 0, 0, 1, 1}},
		{5 * time.Hour, []uint64{0, 0, 0, 0, 1}},
		{67 * time.Hour, []uint64{0, 0, 0, 0, 0}},
	}
	for _, step := range steps {
		clock.time = clock.time.Add(step.passed)
		assert.DeepEqual(t, requests(), step.want)
	}
	class := deskSnapshot(t, counting.Snapshot())
	assert.Equal(t, class.Total.Requests, uint64(1))
	assert.Equal(t, class.Duration.Count, uint64(0))
}

func TestSnapshotIsCamelCaseJSON(t *testing.T) {
	counting, _ := newTestRecorder(t)
	defer counting.Close()
	counting.Record(answeredRecord(10, true, 100*time.Millisecond))
	counting.Control(recorder.PlatformCall, 1, 200)
	snapshot := counting.Snapshot()
	data, err := json.Marshal(snapshot)
	assert.NilError(t, err)
	for _, part := range []string{`"takenAt"`, `"usefulTokens":10`, `"p99Ms"`, `{"seconds":300,"requests":1`, `"platformCall":{"count":1,"bytes":200}`} {
		assert.Assert(t, strings.Contains(string(data), part), "%s in %s", part, data)
	}
	var back recorder.Snapshot
	assert.NilError(t, json.Unmarshal(data, &back))
	assert.DeepEqual(t, back, snapshot)
}

func TestMergeJoinsDistributions(t *testing.T) {
	var halves []recorder.Distribution
	for _, total := range []time.Duration{100 * time.Millisecond, time.Second} {
		counting, _ := newTestRecorder(t)
		counting.Record(answeredRecord(1, true, total))
		halves = append(halves, deskSnapshot(t, counting.Snapshot()).Duration)
		assert.NilError(t, counting.Close())
	}
	merged := recorder.Merge(halves...)
	assert.Equal(t, merged.Count, uint64(2))
	assert.Assert(t, merged.P50Ms > 98 && merged.P50Ms < 102, merged.P50Ms)
	assert.Assert(t, merged.P99Ms > 980 && merged.P99Ms < 1020, merged.P99Ms)
}

func TestHandlerServesMetrics(t *testing.T) {
	counting, _ := newTestRecorder(t)
	counting.Record(answeredRecord(10, true, 100*time.Millisecond))
	counting.Record(refusedRecord(messenger.QueueFull, 0))
	counting.Control(recorder.MessageSent, 2, 64)
	// Close flushes the counts to the metrics.
	assert.NilError(t, counting.Close())
	response := httptest.NewRecorder()
	counting.Handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	page := response.Body.String()
	for _, part := range []string{
		`limpetcleat_requests_total{class="desk",pool="runners",result="met"} 1`,
		`limpetcleat_requests_total{class="desk",pool="runners",result="queueFull"} 1`,
		`limpetcleat_tokens_total{class="desk",pool="runners"} 13`,
		`limpetcleat_wasted_tokens_total{class="desk",pool="runners"} 7`,
		`limpetcleat_duration_seconds_count{class="desk",pool="runners"} 1`,
		`limpetcleat_control_bytes_total{kind="messageSent"} 64`,
		`# HELP limpetcleat_requests_total Ended`,
		`go_goroutines`,
	} {
		assert.Assert(t, strings.Contains(page, part), "%s in\n%s", part, page)
	}
	assert.Assert(t, !strings.Contains(page, "acme"))
}

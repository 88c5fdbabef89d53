package reporter_test

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/recorder"
	"limpetcleat/reporter"
)

func buildClasses(t *testing.T, name string, target float64) []*definer.Class {
	t.Helper()
	configuration, err := definer.Build(1, definer.Document{Classes: []definer.ClassDocument{
		{Name: name, Attainment: target, LongestWaitMs: 1000, FirstTokenMs: 300, Protected: true},
		{Name: "digest", Tier: 3, Attainment: 0.9, LongestWaitMs: 1000},
	}})
	assert.NilError(t, err)
	return configuration.Classes()
}

// nodeSnapshot returns the snapshot of a node that has counted for an hour. requests and
// missed hold the requests of each window and those of them that missed their targets.
func nodeSnapshot(node, class string, requests, missed [5]uint64) recorder.Snapshot {
	taken := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	counted := recorder.ClassSnapshot{
		Class:      definer.ClassName(class),
		Refused:    map[messenger.RefusalReason]uint64{messenger.QueueFull: missed[4], messenger.Shed: 1},
		FirstToken: recorder.Distribution{Count: 1, Bars: []recorder.Bar{{Units: 1000, Count: 10}}},
	}
	for index, length := range recorder.Windows() {
		complete := requests[index] - missed[index]
		counts := recorder.Counts{Requests: requests[index], Counted: requests[index], Met: complete, Complete: complete, Tokens: 9 * complete, UsefulTokens: 9 * complete, WastedTokens: complete}
		counted.Windows = append(counted.Windows, recorder.WindowSnapshot{Seconds: int(length / time.Second), Counts: counts})
		counted.Total = counts
	}
	control := map[recorder.ControlKind]recorder.ControlCounts{recorder.MessageSent: {Count: 5, Bytes: 50}}
	return recorder.Snapshot{Node: definer.VM(node), TakenAt: taken, Since: taken.Add(-time.Hour), Classes: []recorder.ClassSnapshot{counted}, Control: control}
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) < 1e-9, "%v is not %v", got, want)
}

func TestBuildMergesNodes(t *testing.T) {
	report := reporter.Build([]recorder.Snapshot{
		nodeSnapshot("entry-2", "desk", [5]uint64{10, 20, 3600, 3600, 3600}, [5]uint64{0, 0, 36, 36, 36}),
		nodeSnapshot("entry-1", "desk", [5]uint64{10, 20, 3600, 3600, 3600}, [5]uint64{1, 0, 0, 0, 0}),
	}, buildClasses(t, "desk", 0.99)...)
	assert.DeepEqual(t, report.Nodes, []definer.VM{"entry-1", "entry-2"})
	assert.Equal(t, report.Control[recorder.MessageSent].Bytes, uint64(100))
	class := report.Classes[0]
	assertNear(t, *class.Attainment, 0.995)
	assertNear(t, class.BudgetLeft, 0.5)
	assertNear(t, class.Windows[0].BurnRate, 5)
	assertNear(t, class.Windows[1].BurnRate, 0)
	assertNear(t, class.Windows[4].BurnRate, 0.5)
	assertNear(t, class.Goodput.RequestsPerSecond, 7164.0/3600)
	assertNear(t, class.Goodput.TokensPerSecond, 9*7164.0/3600)
	assertNear(t, class.WastedShare, 0.1)
	assert.Equal(t, class.FirstToken.Count, uint64(20))
	assert.Equal(t, class.Refused[messenger.Shed], uint64(2))
	assert.Assert(t, report.Classes[1].Attainment == nil)
	assertNear(t, report.Classes[1].BudgetLeft, 1)
}

func TestStateTakesBothWindows(t *testing.T) {
	cases := []struct {
		name   string
		target float64
		// missed is the number of missed requests of 1000 in each of the windows 5m, 30m,
		// 1h, 6h and 3d.
		missed [5]uint64
		want   reporter.State
	}{
		{"nothing missed", 0.99, [5]uint64{}, reporter.Fine},
		{"fast burn", 0.99, [5]uint64{145, 0, 145, 0, 0}, reporter.Page},
		{"fast burn is over", 0.99, [5]uint64{0, 0, 145, 0, 0}, reporter.Fine},
		{"fast burn just began", 0.99, [5]uint64{1000, 0, 0, 0, 0}, reporter.Fine},
		{"below the fast rate", 0.99, [5]uint64{143, 0, 143, 0, 0}, reporter.Fine},
		{"middling burn", 0.99, [5]uint64{0, 61, 0, 61, 0}, reporter.Page},
		{"slow burn", 0.99, [5]uint64{0, 0, 0, 11, 11}, reporter.Ticket},
		{"all fails under a low target", 0.9, [5]uint64{1000, 0, 1000, 0, 0}, reporter.Page},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			requests := [5]uint64{1000, 1000, 1000, 1000, 1000}
			report := reporter.Build([]recorder.Snapshot{nodeSnapshot("entry-1", "desk", requests, test.missed)}, buildClasses(t, "desk", test.target)...)
			assert.Equal(t, report.Classes[0].State, test.want)
		})
	}
}

func TestWriteText(t *testing.T) {
	report := reporter.Build([]recorder.Snapshot{
		nodeSnapshot("entry-1", "desk", [5]uint64{1000, 1000, 1000, 1000, 1000}, [5]uint64{200, 0, 200, 0, 5}),
	}, buildClasses(t, "desk", 0.99)...).WithMissing("entry-9", "entry-8")
	var output bytes.Buffer
	assert.NilError(t, report.WriteText(&output))
	for _, part := range []string{
		"by 1 node: entry-1. Without 2 nodes that could not be asked: entry-8, entry-9.",
		"class   tier  target  attained  budget left  burn 5m  burn 30m  burn 1h  burn 6h  burn 3d  state",
		"desk    0     99.00%  99.50%    50.00%       20.00    0.00      20.00    0.00     0.50     page",
		"digest  3     90.00%  -         -            -        -         -        -        -        ok",
		"100 of 300 ms",
		"queueFull 5, shed 1",
	} {
		assert.Assert(t, strings.Contains(output.String(), part), "%s\nin\n%s", part, output.String())
	}
}

func TestWriteJSON(t *testing.T) {
	report := reporter.Build([]recorder.Snapshot{nodeSnapshot("entry-1", "desk", [5]uint64{1, 1, 1, 1, 1}, [5]uint64{})}, buildClasses(t, "desk", 0.99)...)
	var output bytes.Buffer
	assert.NilError(t, report.WriteJSON(&output))
	var back reporter.Report
	assert.NilError(t, json.Unmarshal(output.Bytes(), &back))
	assert.DeepEqual(t, back, report)
	assert.Assert(t, strings.Contains(output.String(), `"budgetLeft": 1`))
}

func TestWriteHTMLIsWellFormedAndEscaped(t *testing.T) {
	const name = `<script>alert("&1")</script>`
	cases := []struct {
		name      string
		snapshots []recorder.Snapshot
		classes   []*definer.Class
		plots     int
	}{
		{"with counts", []recorder.Snapshot{nodeSnapshot(name, name, [5]uint64{9, 9, 9, 9, 9}, [5]uint64{1, 1, 1, 1, 1})}, buildClasses(t, name, 0.99), 3},
		{"before the first request", nil, buildClasses(t, "desk", 0.99), 3},
		{"without classes", nil, nil, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var output bytes.Buffer
			assert.NilError(t, reporter.Build(test.snapshots, test.classes...).WriteHTML(&output))
			decoder := xml.NewDecoder(&output)
			plots := 0
			for {
				token, err := decoder.Token()
				if errors.Is(err, io.EOF) {
					break
				}
				assert.NilError(t, err)
				if element, ok := token.(xml.StartElement); ok {
					assert.Assert(t, element.Name.Local != "script")
					if element.Name.Local == "svg" {
						plots++
					}
				}
			}
			assert.Equal(t, plots, test.plots)
		})
	}
}

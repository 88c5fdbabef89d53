package analyser_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/analyser"
	"limpetcleat/logger"
)

// line returns a line as a node logs it, the milliseconds after 10:00.
func line(format logger.Format, at, number int, pairs ...any) string {
	var out bytes.Buffer
	now := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC).Add(time.Duration(at) * time.Millisecond)
	logger.New(&out, logger.WithFormat(format), logger.WithTime(func() time.Time { return now })).Event(number, pairs...)
	return out.String()
}

func sent(at int, request, rule, upstream string, expected int) string {
	return line(logger.Logfmt, at, logger.EventRequestSent, "request", request, "rule", rule, "upstream", upstream,
		"basis", fmt.Sprintf("inFlight=3 side=short failures=0%% expectedMs=%d known=true", expected))
}

func served(at int, request, rule string, first, gap, total int) string {
	return line(logger.JSON, at, logger.EventRequestFinished, "request", request, "rule", rule, "organisation", "guild", "status", 200,
		"reason", "served", "mayHaveRun", true, "sends", 1, "firstMs", first, "totalMs", total, "gapMs", gap, "objectiveMs", 500, "gapObjectiveMs", 400)
}

func unserved(at int, request, reason string, status int, mayHaveRun bool, sends int) string {
	return line(logger.Logfmt, at, logger.EventRequestFinished, "request", request, "rule", "short", "organisation", "mill", "status", status,
		"reason", reason, "mayHaveRun", mayHaveRun, "sends", sends, "firstMs", 0, "totalMs", 10, "gapMs", 0, "objectiveMs", 500, "gapObjectiveMs", 400)
}

// table returns the rows of a table in CSV after the logs are read, without the column names.
func table(t *testing.T, name string, options []analyser.Option, logs ...string) string {
	t.Helper()
	analysis := read(t, options, logs...)
	tables, err := analysis.Tables(name)
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, analyser.WriteCSV(&out, tables))
	_, rows, _ := strings.Cut(out.String(), "\n")
	return rows
}

func read(t *testing.T, options []analyser.Option, logs ...string) *analyser.Analyser {
	t.Helper()
	analysis := analyser.New(options...)
	var sources []analyser.Source
	for index, log := range logs {
		sources = append(sources, analyser.Source{Name: fmt.Sprint("node", index), Reader: strings.NewReader(log)})
	}
	assert.NilError(t, analysis.Read(t.Context(), sources...))
	return analysis
}

// TestTables guards against requests that are counted under a wrong cause, reason, second or group.
func TestTables(t *testing.T) {
	late := served(1000, "a", "short", 500, 400, 900) + served(1000, "b", "short", 501, 0, 900) + served(1000, "c", "short", 0, 401, 900) +
		served(1000, "d", "short", 501, 401, 900) + unserved(2000, "e", "saturated", 503, false, 0) + unserved(2000, "f", "broken", 0, true, 1) +
		unserved(2000, "g", "left", 0, true, 1)
	herd := ""
	for index := range 14 {
		upstream := "one"
		if index > 10 {
			upstream = "two"
		}
		herd += sent(index, fmt.Sprint("h", index), "short", upstream, 1)
	}
	// The first event of p is due 100 ms after the send and comes after 400 - 200 ms.
	prediction := sent(200, "p", "short", "one", 100) + sent(200, "q", "short", "two", 100) + served(900, "p", "short", 400, 0, 900) + served(900, "q", "short", 310, 0, 900)
	// Of the others, those 501 ms before the send, at another upstream, of the same rule and after the end do not count.
	pause := sent(0, "o1", "long", "one", 1) + sent(1, "o2", "long", "one", 1) + sent(2, "o3", "long", "two", 1) + sent(3, "o4", "short", "one", 1) +
		sent(501, "x", "short", "one", 1) + sent(900, "o5", "long", "one", 1) + served(900, "x", "short", 1, 450, 399) + sent(901, "o6", "long", "one", 1)
	cases := []struct {
		name    string
		table   string
		options []analyser.Option
		log     string
		rows    string
	}{
		{"late and not served", "rules", nil, late, "short,500,400,7,4,1,1,1,1,1,1,0.25,0.25,0.25,0.1429,0.1429\n"},
		{"objectives that are set", "rules", []analyser.Option{analyser.WithObjectives("short", analyser.Objectives{First: time.Second})}, late, "short,1000,0,7,4,0,0,0,1,1,1,0,0,0,0.1429,0.1429\n"},
		{"reasons", "reasons", nil, late, "broken,0,true,true,1\nleft,0,true,true,1\nsaturated,503,false,false,1\n"},
		{"organisations", "organisations", nil, late, "guild,4,4,1,1,1,0,0,0,0.25,0.25,0.25,0,0\nmill,3,0,0,0,0,1,1,1,,,,0.3333,0.3333\n"},
		{
			"seconds of the arrival", "seconds", nil, late,
			"-1,2026-12-01T10:00:00Z,4,4,1,1,1,0,0,0,0.25,0.25,0.25,0,0\n0,2026-12-01T10:00:01Z,3,0,0,0,0,1,1,1,,,,0.3333,0.3333\n",
		},
		{"refusals", "refusals", nil, unserved(1000, "e", "saturated", 503, false, 0), "-1,2026-12-01T10:00:00Z,refused,saturated,mill,1\n"},
		{"groups", "groups", nil, herd, "short,1,0,0\nshort,2-3,3,0.2143\nshort,4-6,0,0\nshort,7-10,0,0\nshort,11+,11,0.7857\n"},
		{"groups in a short window", "groups", []analyser.Option{analyser.WithWindow(time.Millisecond)}, herd, "short,1,14,1\nshort,2-3,0,0\nshort,4-6,0,0\nshort,7-10,0,0\nshort,11+,0,0\n"},
		{"use", "use", nil, herd, "0,2026-12-01T10:00:00Z,short,14,2,2,one,11,7,1.5714\n"},
		{"predictions", "predictions", nil, prediction, "one,1,2.0068,2.0068\ntwo,1,1.1046,1.1046\n"},
		{"top", "predictions", []analyser.Option{analyser.WithTop(1)}, prediction, "one,1,2.0068,2.0068\n"},
		{"neighbours", "neighbours", nil, pause, "short,0,0,0,\nshort,1,0,0,\nshort,2-3,1,1,1\nshort,4-6,0,0,\nshort,7-10,0,0,\nshort,11+,0,0,\n"},
		{"examples", "examples", nil, pause, "latePause,short,x,2026-12-01T10:00:00.501Z,guild,served,200,1,one,1,1,450,399,2,\n"},
		{"failed sends", "sendFailures", nil, line(logger.Logfmt, 0, logger.EventSendFailed, "request", "a", "upstream", "one", "reason", "broken", "presence", "refused", "cause", `a "quoted" cause`), "one,broken,refused,1\n"},
		{"other events", "input", nil, line(logger.Logfmt, 0, logger.EventNodeStarted), "1,1,0,,0,0,0,0,,\n"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, table(t, test.table, test.options, test.log), test.rows)
		})
	}
}

// TestSourcesAreMerged guards against groups that are counted by node instead of over all nodes,
// and against lines far out of order that are counted as groups of their own.
func TestSourcesAreMerged(t *testing.T) {
	first := sent(0, "a", "short", "one", 1) + sent(120, "c", "short", "one", 1) + sent(90, "d", "short", "one", 1)
	second := sent(10, "b", "short", "one", 1) + sent(5000, "e", "short", "two", 1) + sent(1, "f", "short", "one", 1) + sent(9000, "g", "short", "one", 1)
	assert.Equal(t, table(t, "groups", nil, first, second), "short,1,3,0.5\nshort,2-3,3,0.5\nshort,4-6,0,0\nshort,7-10,0,0\nshort,11+,0,0\n")
	warnings := read(t, nil, first, second).Warnings()
	assert.Equal(t, len(warnings), 1)
	assert.Assert(t, strings.HasPrefix(warnings[0], "1 lines are out of order"), warnings[0])
}

// TestUnreadableLinesAreCounted guards against lines that end the analysis, and against lines with
// a prefix that are not read.
func TestUnreadableLinesAreCounted(t *testing.T) {
	good := served(1000, "a", "short", 1, 1, 1)
	pairs := line(logger.Logfmt, 0, logger.EventSendFailed, "upstream", "one", "reason", "broken")
	cases := map[string]bool{
		good: true, "node-1 {x} " + good: true, "Dec  1 node-1: " + good: true, pairs: true, "{node} " + pairs: true, "sublevel=1 " + pairs: true,
		"panic: no log line": false, good[:len(good)-20]: false, strings.Replace(good, `"totalMs":1`, `"totalMs":-1`, 1): false,
		strings.Replace(pairs, "one", `"one`, 1): false, strings.Replace(pairs, "one", `"one"x`, 1): false, strings.Replace(pairs, "2026", "9999", 1): false,
		strings.Replace(pairs, "one", strings.Repeat("x", 300), 1): false, "level=info x=" + strings.Repeat("x", 70_000): false, "level=info": false,
		`{"log":"` + strings.TrimSpace(pairs) + `"}`: false, `{"message":"of another program"}`: false,
	}
	for text, readable := range cases {
		want := 1
		if readable {
			want = 0
		}
		rows := table(t, "input", nil, "\n"+strings.TrimSpace(text)+"\n"+good)
		assert.Assert(t, strings.HasPrefix(rows, fmt.Sprintf("1,3,%d,", want)), "%.200s: %s", text, rows)
	}
	rows := table(t, "input", nil, good+"x\ny\n")
	assert.Assert(t, strings.HasPrefix(rows, "1,3,2,node0:2,"), rows)
}

// TestUnfinishedRequestsAreForgotten guards against requests that never end and are held forever,
// and against counts of neighbours that miss sends after old ones were removed.
func TestUnfinishedRequestsAreForgotten(t *testing.T) {
	log := sent(0, "never", "short", "two", 1)
	for index := range 800 {
		log += sent(index, fmt.Sprint("o", index), "long", "one", 1) + served(index, fmt.Sprint("o", index), "long", 1, 1, 0)
		if index == 300 {
			log += sent(index, "x", "short", "one", 1)
		}
	}
	log += served(799, "x", "short", 1, 401, 500) + sent(700_000, "last", "short", "two", 1)
	assert.Assert(t, strings.Contains(table(t, "examples", nil, log), ",500,800,\n"))
	assert.Assert(t, strings.Contains(table(t, "input", nil, log), ",0,2,0,"))
}

// TestWarnings guards against tables that show no late requests because no objectives are known.
func TestWarnings(t *testing.T) {
	old := line(logger.Logfmt, 0, logger.EventRequestFinished, "request", "a", "rule", "short", "reason", "served", "totalMs", 3)
	warnings := read(t, []analyser.Option{analyser.WithObjectives("shrt", analyser.Objectives{})}, old).Warnings()
	assert.DeepEqual(t, read(t, nil, "").Warnings(), []string{"the logs have no events of requests"})
	assert.DeepEqual(t, warnings, []string{
		`the logs have no objectives of rule "short", so none of its requests counts as late`,
		`objectives are set for rule "shrt", of which the logs have no finished request`,
	})
}

// TestErrors guards against analyses of a part of a source that look whole.
func TestErrors(t *testing.T) {
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	broken := analyser.Source{Name: "broken", Reader: iotest.ErrReader(errors.New("disk"))}
	good := analyser.Source{Reader: strings.NewReader(served(0, "a", "short", 1, 1, 1))}
	for want, err := range map[string]error{
		"broken: disk":     analyser.New().Read(t.Context(), broken),
		"context canceled": analyser.New().Read(cancelled, good),
	} {
		assert.ErrorContains(t, err, want)
	}
	_, err := analyser.New().Tables("nothing")
	assert.ErrorContains(t, err, `no table "nothing"`)
	assert.ErrorContains(t, analyser.New().WritePlot(&bytes.Buffer{}, "gif"), "allowed is svg or png")
}

// TestWriters guards against outputs that other programs cannot read, and against control
// characters in the text.
func TestWriters(t *testing.T) {
	analysis := read(t, nil, served(0, "\x1b[2J", "short", 501, 1, 600))
	tables, err := analysis.Tables("reasons", "examples")
	assert.NilError(t, err)
	var text, values, object bytes.Buffer
	assert.NilError(t, analyser.WriteText(&text, tables))
	assert.Assert(t, strings.Contains(text.String(), `"\x1b[2J"`) && !strings.Contains(text.String(), "\x1b"), text.String())
	assert.NilError(t, analyser.WriteCSV(&values, tables))
	assert.Assert(t, strings.HasPrefix(values.String(), "# reasons\nreason,status,mayHaveRun,reached,requests\n\n# examples\nending,"), values.String())
	assert.NilError(t, analyser.WriteJSON(&object, tables))
	assert.Assert(t, strings.Contains(object.String(), `"reasons": []`) && strings.Contains(object.String(), `"firstMs": 501`), object.String())
}

// TestPlot guards against logs that cannot be plotted.
func TestPlot(t *testing.T) {
	whole := sent(0, "a", "short", "one", 1) + served(600, "a", "short", 501, 401, 600) + sent(2000, "b", "long", "one", 1)
	for _, log := range []string{"", unserved(0, "a", "full", 503, false, 0), whole} {
		var out bytes.Buffer
		assert.NilError(t, read(t, nil, log).WritePlot(&out, analyser.SVG))
		assert.Assert(t, strings.HasPrefix(out.String(), "<?xml"))
	}
	var out bytes.Buffer
	assert.NilError(t, read(t, nil, whole).WritePlot(&out, analyser.PNG))
	assert.Assert(t, strings.HasPrefix(out.String(), "\x89PNG"))
}

// FuzzLines guards against lines that crash the parser or are neither read nor counted, and against
// names that do not survive the logger's encodings.
func FuzzLines(f *testing.F) {
	f.Add("level=info time=2026-12-01T10:00:00Z event=3101 upstream=one basis=\"a=1 expectedMs=x\"", "short")
	f.Add(served(0, "a", "short", 1, 1, 1), "a \"b\" = \\ \u2028 c")
	f.Add("{\"level\":\"info\",\"event\":3103}\nlevel=\"\\u12\"", "{}")
	f.Fuzz(func(t *testing.T, text, rule string) {
		rows := table(t, "input", nil, text)
		assert.Assert(t, strings.HasPrefix(rows, "1,"), rows)
		rule = strings.ToValidUTF8(rule, "")
		if len(rule) > 256 {
			return
		}
		for _, format := range []logger.Format{logger.Logfmt, logger.JSON} {
			analysis := read(t, nil, line(format, 0, logger.EventRequestFinished, "rule", rule, "reason", "served", "totalMs", 1, "objectiveMs", 1))
			assert.Equal(t, len(analysis.Warnings()), 0, analysis.Warnings())
			tables, err := analysis.Tables("rules")
			assert.NilError(t, err)
			var object bytes.Buffer
			assert.NilError(t, analyser.WriteJSON(&object, tables))
			var rows map[string][]struct{ Rule string }
			assert.NilError(t, json.Unmarshal(object.Bytes(), &rows))
			assert.Equal(t, rows["rules"][0].Rule, rule)
		}
	})
}

// BenchmarkRead reads 200,000 lines of 88 nodes: two for each request, 260 requests per second.
func BenchmarkRead(b *testing.B) {
	const nodes, requests = 88, 100_000
	logs := make([]bytes.Buffer, nodes)
	start := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	size := 0
	for index := range requests {
		log := &logs[index%nodes]
		at := start.Add(time.Duration(index) * time.Second / 260)
		rule := []string{"short", "long"}[index%2]
		fmt.Fprintf(log, "level=info time=%s event=3101 eventName=requestSent request=%016x identity=59b838a2 rule=%s upstream=i-%04d address=10.0.0.1:80 dataCentre=west send=1 "+
			"basis=\"inFlight=3 others=4 side=short>=900 failures=0%% expectedMs=%d costMs=55 price=1.0 memoryMs=1000 reread=0 deferred=false preferred=true known=true\" leftMs=5000 lastEvent=\n",
			at.Format(time.RFC3339Nano), index, rule, index*7%60, 1+index%200)
		total := 1 + index*13%300
		fmt.Fprintf(log, "level=info time=%s event=3103 eventName=requestFinished request=%016x identity=59b838a2 rule=%s service=chat organisation=org-%d tier=1 status=200 reason=served mayHaveRun=true "+
			"sends=1 firstMs=%d totalMs=%d gapMs=%d objectiveMs=200 gapObjectiveMs=400 events=50 bytes=2000 version=7 ageMs=500\n",
			at.Add(time.Duration(total)*time.Millisecond).Format(time.RFC3339Nano), index, rule, index%24, total, total, index%500)
	}
	for index := range logs {
		size += logs[index].Len()
	}
	b.SetBytes(int64(size))
	b.ReportAllocs()
	for b.Loop() {
		var sources []analyser.Source
		for index := range logs {
			sources = append(sources, analyser.Source{Reader: bytes.NewReader(logs[index].Bytes())})
		}
		if err := analyser.New().Read(b.Context(), sources...); err != nil {
			b.Fatal(err)
		}
	}
}

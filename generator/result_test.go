package generator_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/generator"
)

// runLoad sends the load of one stream to a server with the handler and returns the result.
func runLoad(t *testing.T, handler http.Handler, stream generator.Stream, options ...generator.Option) *generator.Result {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	all := append([]generator.Option{generator.WithDuration(200 * time.Millisecond), generator.WithSeed(1)}, options...)
	return generator.New([]string{address}, all...).Run(t.Context(), generator.Mix{Streams: []generator.Stream{stream}})
}

// TestLatencyCountsFromTheIntendedArrival guards against coordinated omission. The server handles
// one request at a time and stalls on the first; the latency of requests that arrive during the
// stall must include the wait, although the server handles each of them at once.
func TestLatencyCountsFromTheIntendedArrival(t *testing.T) {
	const stall = 2 * time.Second
	var mutex sync.Mutex
	first := true
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		mutex.Lock()
		defer mutex.Unlock()
		if first {
			first = false
			<-time.After(stall)
		}
		io.WriteString(writer, `{}`)
	})
	result := runLoad(t, handler, generator.Stream{Name: "calls", Path: "/services/stock/x", Rate: 100, TotalMs: 1000}, generator.WithDuration(time.Second))
	stream := result.Streams()[0]
	assert.Equal(t, stream.Completed, stream.Sent)
	// All requests arrive within the first second of the stall of 2 s.
	assert.Assert(t, stream.Total(10) > stall/3, stream.Total(10))
	assert.Equal(t, stream.Met, 0)
}

func TestResultCountsWhatCame(t *testing.T) {
	const chunk = "data: {\"choices\":[{\"text\":\"a \"}]}\n\n"
	cases := []struct {
		name, contentType, body string
		status                  int
		whole                   bool
		code                    string
		tokens                  int
	}{
		{"whole stream", "text/event-stream", chunk + chunk + "data: [DONE]\n\n", 200, true, "", 2},
		{"stream cut silently", "text/event-stream", chunk, 200, false, "silent", 0},
		{"stream ended by an error", "text/event-stream", chunk + "data: {\"error\":{\"code\":\"upstreamFailed\",\"outcome\":\"ran\"}}\n\n", 200, false, "upstreamFailed", 0},
		{"whole answer", "application/json", `{"choices":[{"text":"a b"}],"usage":{"completion_tokens":3}}`, 200, true, "", 3},
		{"refusal", "application/json", `{"error":{"code":"queueFull"},"outcome":"notRun"}`, 429, false, "queueFull", 0},
		{"no JSON", "application/json", `{`, 200, false, "silent", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", test.contentType)
				writer.WriteHeader(test.status)
				io.WriteString(writer, test.body)
			})
			stream := runLoad(t, handler, generator.Stream{Name: "chat", Path: "/v1/completions", Model: "m", Rate: 100, OutputTokens: 2, Streamed: true}).Streams()[0]
			assert.Assert(t, stream.Sent > 0)
			if test.whole {
				assert.Equal(t, stream.Completed, stream.Sent)
				assert.Equal(t, stream.Tokens, stream.Sent*test.tokens)
				return
			}
			assert.Equal(t, stream.Completed, 0)
			assert.DeepEqual(t, stream.Refused, map[string]int{test.code: stream.Sent})
		})
	}
}

func TestForeignAnswerIsNotWhole(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		io.WriteString(writer, `{"choices":[{"text":"somebody else's"}]}`)
	})
	check := generator.WithCheck(func(string, string, string, int) bool { return false })
	stream := runLoad(t, handler, generator.Stream{Name: "chat", Path: "/v1/completions", Model: "m", Rate: 100}, check).Streams()[0]
	assert.DeepEqual(t, stream.Refused, map[string]int{"foreign": stream.Sent})
}

func TestTableHasALineForEachStream(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) { io.WriteString(writer, `{}`) })
	result := runLoad(t, handler, generator.Stream{Name: "calls", Path: "/services/stock/x", Rate: 100})
	var text bytes.Buffer
	assert.NilError(t, result.WriteText(&text))
	lines := strings.Split(strings.TrimSpace(text.String()), "\n")
	assert.Equal(t, len(lines), 2)
	for index, column := range []string{"class", "sent", "whole", "attainment", "goodput", "wasted", "first", "total", "refused"} {
		assert.Assert(t, strings.Contains(lines[0], column), index)
	}
	assert.Assert(t, strings.HasPrefix(lines[1], "calls "))
	assert.Assert(t, strings.Contains(lines[1], "100.0%"))
	assert.Assert(t, strings.HasSuffix(lines[1], "none"))
	assert.Assert(t, strings.Contains(lines[1], " - "), "wasted share must be - while unknown")
	text.Reset()
	result.SetWasted(map[string]uint64{"calls": 5})
	assert.NilError(t, result.WriteText(&text))
	assert.Assert(t, strings.Count(text.String(), "100.0%") == 2, "wasted share must be 100%%: %s", text.String())
}

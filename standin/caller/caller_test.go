package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/engine"
)

func TestReplies(t *testing.T) {
	const stream, whole = "text/event-stream", "application/json"
	cases := []struct {
		name, kind, body string
		status           int
		cut              bool
		want             caller.Reply
	}{
		{"whole", whole, `{"choices":[{"text":"ab"}],"usage":{"completion_tokens":2}}`, 200, false, caller.Reply{Complete: true, Text: "ab", Tokens: 2, Outcome: "ran"}},
		{"whole chat", whole, `{"choices":[{"message":{"content":"ab"}}]}`, 200, false, caller.Reply{Complete: true, Text: "ab", Outcome: "ran"}},
		{"no JSON", whole, `{"choices"`, 200, false, caller.Reply{Outcome: "ran"}},
		{"cut", whole, `{}`, 200, true, caller.Reply{Outcome: "ran"}},
		{"created", whole, `{"key":"k"}`, 201, false, caller.Reply{Outcome: "ran"}},
		{"refused", whole, `{"error":{"code":"c","outcome":"notRun"}}`, 429, false, caller.Reply{Failed: true, Code: "c", Outcome: "notRun"}},
		{"refused without an outcome", whole, `{"error":{"code":"c"}}`, 503, false, caller.Reply{Failed: true, Code: "c", Outcome: "ran"}},
		{"streamed", stream, "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"choices\":[{\"delta\":{\"content\":\"b\"}}]}\n\ndata: [DONE]\n\n", 200, false, caller.Reply{Complete: true, Text: "ab", Tokens: 2, Outcome: "ran"}},
		{"more than the stream", stream, "data: [DONE]\n\ndata: {\"choices\":[{\"text\":\"a\"}]}\n\n", 200, false, caller.Reply{Complete: true, Text: "a", Tokens: 1, Outcome: "ran"}},
		{"stream without an end", stream, "data: {\"choices\":[{\"text\":\"a\"}]}\n\n", 200, false, caller.Reply{Text: "a", Tokens: 1, Outcome: "ran"}},
		{"stream cut", stream, "data: {\"choices\":[{\"text\":\"a\"}]}\n\n", 200, true, caller.Reply{Text: "a", Tokens: 1, Outcome: "ran"}},
		{"stream that fails", stream, "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"error\":{\"code\":\"c\"}}\n\n", 200, false, caller.Reply{Text: "a", Tokens: 1, Failed: true, Code: "c"}},
		{"unnamed stream that fails", whole, "data: {\"error\":{\"code\":\"c\",\"outcome\":\"unknown\"}}\n\n", 200, false, caller.Reply{Failed: true, Code: "c", Outcome: "unknown"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Content-Type", test.kind)
				writer.Header().Set("X-Outcome", "ran")
				writer.WriteHeader(test.status)
				_, _ = io.WriteString(writer, test.body)
				if test.cut {
					control := http.NewResponseController(writer)
					assert.Check(t, control.Flush())
					conn, _, err := control.Hijack()
					assert.Check(t, err)
					assert.Check(t, conn.Close())
				}
			}))
			defer server.Close()
			reported := 0
			got := caller.New().Send(t.Context(), server.Listener.Addr().String(), caller.Call{Path: "/", Progress: func(count int) { reported = count }})
			assert.Equal(t, got.Err != nil, test.cut, "%v", got.Err)
			assert.Assert(t, test.kind != stream || reported == test.want.Tokens)
			test.want.Status, test.want.Body, test.want.Header = test.status, test.body, got.Header
			got.Err, got.Duration = nil, 0
			assert.DeepEqual(t, got, test.want)
		})
	}
}

func TestCallsOfAnEngine(t *testing.T) {
	runner := engine.New(engine.WithModels("m"), engine.WithTokenInterval(time.Microsecond, 0), engine.WithPrefillTime(0))
	defer func() { assert.NilError(t, runner.Close()) }()
	server := httptest.NewServer(runner.Handler())
	defer server.Close()
	for _, streamed := range []bool{false, true} {
		for _, call := range []caller.Call{caller.Completion("m", "zips", 7, streamed), caller.Chat("m", "zips", 7, streamed)} {
			got := caller.New().Send(t.Context(), server.Listener.Addr().String(), call)
			assert.Assert(t, got.Complete && got.Tokens == 7 && got.MatchesCall(call), "%v", got)
			call.Prompt += "x"
			assert.Assert(t, !got.MatchesCall(call))
		}
	}
	none := caller.New().Send(t.Context(), "127.0.0.1:1", caller.Call{Path: "/"})
	assert.Assert(t, none.Err != nil && none.Status == 0 && none.Code != "" && none.RequestID() == "")
}

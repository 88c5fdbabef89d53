package dispatcher

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/rationer"
)

// memorySink is a Sink that records what the caller gets.
type memorySink struct {
	begun bool
	text  strings.Builder
}

func (memorySink *memorySink) Begin(int, http.Header) { memorySink.begun = true }
func (memorySink *memorySink) Begun() bool            { return memorySink.begun }
func (memorySink *memorySink) Write(data []byte) error {
	memorySink.text.Write(data)
	return nil
}

// FuzzStream checks that no stream counts as complete without a finish reason and an end
// mark, and that none is forwarded under the id of another attempt.
func FuzzStream(f *testing.F) {
	one := `data: {"attemptId":"r.1","tokenIndex":0,"choices":[{"text":"a"}]}` + "\n\n"
	last := `data: {"attemptId":"r.1","tokenIndex":1,"choices":[{"text":"b","finish_reason":"stop"}]}` + "\n\n"
	f.Add(one+last+"data: [DONE]\n\n", 0)
	f.Add(one+one+"event: paused\ndata: {}\n\n", 0)
	f.Add(strings.ReplaceAll(one, "r.1", "r.2"), 0)
	f.Add("data: {\ndata: \"attemptId\":\"r.1\"}\n\n", 1)
	f.Fuzz(func(t *testing.T, events string, offset int) {
		offset = max(offset, 0)
		sink := &memorySink{}
		attempt := &attempt{
			dispatcher: &Dispatcher{firstByteTimeout: time.Hour, stallTimeout: time.Hour, log: func(int, ...any) {}, memory: rationer.New(defaultMemory)},
			start:      decider.StartAttempt{Request: "r", Attempt: "r.1", Upstream: &definer.Upstream{}, Offset: offset},
			sink:       sink,
			progress:   func(int) {},
			cancel:     func() {},
			delivered:  offset,
		}
		result := attempt.receiveStream(&http.Response{Header: http.Header{}, Body: io.NopCloser(strings.NewReader(events))})
		passed := sink.text.String()
		assert.Equal(t, result == decider.AttemptComplete, strings.HasSuffix(passed, "data: [DONE]\n\n") && attempt.finished)
		assert.Assert(t, result != decider.AttemptComplete || strings.Contains(events, endMark) && strings.Contains(events, "finish_reason"))
		assert.Assert(t, passed == "" || strings.Contains(events, "r.1"))
		assert.Assert(t, attempt.delivered >= offset)
		assert.Equal(t, attempt.delivered-offset, attempt.observation.Tokens)
	})
}

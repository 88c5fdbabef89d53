package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/engine"
)

const model = "m"

// client calls one engine over a loopback socket.
type client struct {
	t   *testing.T
	url string
}

// start runs an engine with tiny token times; opts may change them.
func start(t *testing.T, opts ...engine.Option) client {
	t.Helper()
	quick := []engine.Option{
		engine.WithModels(model), engine.WithTokenTime(100*time.Microsecond, 0),
		engine.WithPrefillTime(time.Millisecond), engine.WithLoadLag(0),
	}
	standin := engine.New(append(quick, opts...)...)
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(func() {
		assert.NilError(t, standin.Close())
		server.Close()
	})
	return client{t: t, url: server.URL}
}

func (client client) post(path, body string) (status int, answer string) {
	client.t.Helper()
	response, err := http.Post(client.url+path, "application/json", strings.NewReader(body))
	assert.NilError(client.t, err)
	defer response.Body.Close()
	var raw json.RawMessage
	assert.NilError(client.t, json.NewDecoder(response.Body).Decode(&raw))
	return response.StatusCode, string(raw)
}

func (client client) get(path string, target any) {
	client.t.Helper()
	response, err := http.Get(client.url + path)
	assert.NilError(client.t, err)
	defer response.Body.Close()
	assert.NilError(client.t, json.NewDecoder(response.Body).Decode(target))
}

func (client client) record(attempt string) engine.Record {
	client.t.Helper()
	var runs engine.Runs
	client.get("/runs?attemptId="+attempt, &runs)
	if len(runs.Attempts) == 0 {
		return engine.Record{}
	}
	return runs.Attempts[0]
}

func (client client) runs() engine.Runs {
	client.t.Helper()
	var runs engine.Runs
	client.get("/runs", &runs)
	return runs
}

// await polls until the condition holds; the test's own timeout is the only bound.
func (client client) await(attempt string, holds func(engine.Record) bool) engine.Record {
	client.t.Helper()
	for {
		if record := client.record(attempt); holds(record) {
			return record
		}
	}
}

// ask is one completion to ask for.
type ask struct {
	attempt     string
	prompt      string
	whole       bool
	usage       bool
	maxTokens   int
	offset      int
	resume      bool
	priority    int
	preemptible bool
	model       string
}

// stream is an open answer.
type stream struct {
	client   client
	response *http.Response
	reader   *bufio.Reader
	leave    context.CancelFunc
}

// result is what a stream showed until it ended.
type result struct {
	status    int
	notRun    bool
	attempt   string
	text      string
	indexes   []int
	reason    string
	done      bool
	cut       bool
	failure   string
	usage     *engine.Usage
	notices   string
	attemptID string
}

func (client client) open(ask ask) (*stream, error) {
	client.t.Helper()
	if ask.model == "" {
		ask.model = model
	}
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":%t`, ask.model, ask.prompt, !ask.whole)
	if ask.maxTokens > 0 {
		body += fmt.Sprintf(`,"max_tokens":%d`, ask.maxTokens)
	}
	body += fmt.Sprintf(`,"stream_options":{"include_usage":%t}}`, ask.usage)
	ctx, leave := context.WithCancel(context.Background())
	client.t.Cleanup(leave)
	request, err := http.NewRequestWithContext(ctx, "POST", client.url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(client.t, err)
	request.Header.Set(engine.HeaderAttemptID, ask.attempt)
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(ask.priority))
	if ask.preemptible {
		request.Header.Set(engine.HeaderPreemptible, "1")
	}
	if ask.resume {
		request.Header.Set(engine.HeaderResumeOffset, strconv.Itoa(ask.offset))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		leave()
		return nil, err
	}
	return &stream{client: client, response: response, reader: bufio.NewReader(response.Body), leave: leave}, nil
}

// read takes events in until enough holds or the answer ends.
func (stream *stream) read(enough func(result) bool) result {
	result := result{
		status:  stream.response.StatusCode,
		notRun:  stream.response.Header.Get(engine.HeaderNotRun) == "1",
		attempt: stream.response.Header.Get(engine.HeaderAttemptID),
	}
	for enough == nil || !enough(result) {
		line, err := stream.reader.ReadString('\n')
		result.take(strings.TrimSpace(line))
		if err != nil {
			result.cut = !result.done && result.status == 200 && result.failure == ""
			break
		}
	}
	return result
}

func (result *result) take(line string) {
	data, isData := strings.CutPrefix(line, "data: ")
	switch {
	case strings.HasPrefix(line, "event: "):
		result.notices += line + ";"
	case data == "[DONE]":
		result.done = true
	case isData || strings.HasPrefix(line, "{"):
		var failure struct{ Error struct{ Type string } }
		_ = json.Unmarshal([]byte(data), &failure)
		result.failure = failure.Error.Type
		var chunk engine.Chunk
		_ = json.Unmarshal([]byte(data), &chunk)
		result.chunk(chunk)
	}
}

func (result *result) chunk(chunk engine.Chunk) {
	if chunk.AttemptID != "" {
		result.attemptID = chunk.AttemptID
	}
	if chunk.Usage != nil {
		result.usage = chunk.Usage
	}
	if chunk.TokenIndex != nil {
		result.indexes = append(result.indexes, *chunk.TokenIndex)
	}
	for _, choice := range chunk.Choices {
		for _, content := range []*engine.Content{choice.Delta, choice.Message} {
			if content != nil {
				result.text += content.Content
			}
		}
		if choice.FinishReason != nil {
			result.reason = *choice.FinishReason
		}
	}
}

// complete asks and reads the answer to its end.
func (client client) complete(ask ask) result {
	client.t.Helper()
	stream, err := client.open(ask)
	assert.NilError(client.t, err)
	defer stream.leave()
	return stream.read(nil)
}

// answer is the text that the prompt's answer must have between the tokens.
func answer(prompt string, first, end int) string {
	return engine.Answer(model, "user: "+prompt+"\n", first, end)
}

// tokens lets a read stop after so many tokens.
func tokens(count int) func(result) bool {
	return func(result result) bool { return len(result.indexes) >= count }
}

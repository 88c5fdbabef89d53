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

// client sends requests to one engine over a loopback connection.
type client struct {
	t   *testing.T
	url string
}

// startEngine starts an engine with short token and prefill times, which opts can override, and
// returns a client for it.
func startEngine(t *testing.T, opts ...engine.Option) client {
	t.Helper()
	defaults := []engine.Option{
		engine.WithModels(model), engine.WithTokenInterval(100*time.Microsecond, 0),
		engine.WithPrefillTime(time.Millisecond), engine.WithLoadLag(0),
	}
	standin := engine.New(append(defaults, opts...)...)
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

// await polls the record of the attempt until the condition holds, limited only by the test
// timeout.
func (client client) await(attempt string, holds func(engine.Record) bool) engine.Record {
	client.t.Helper()
	for {
		if record := client.record(attempt); holds(record) {
			return record
		}
	}
}

// completionCall holds the parameters of one completion request.
type completionCall struct {
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

// stream is a response that is being read.
type stream struct {
	client     client
	response   *http.Response
	reader     *bufio.Reader
	disconnect context.CancelFunc
}

// result accumulates what was read from a response.
type result struct {
	status          int
	notRun          bool
	headerAttemptID string
	text            string
	indexes         []int
	finishReason    string
	done            bool
	truncated       bool
	failure         string
	usage           *engine.Usage
	events          string
	chunkAttemptID  string
}

func (client client) open(call completionCall) (*stream, error) {
	client.t.Helper()
	if call.model == "" {
		call.model = model
	}
	body := fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":%q}],"stream":%t`, call.model, call.prompt, !call.whole)
	if call.maxTokens > 0 {
		body += fmt.Sprintf(`,"max_tokens":%d`, call.maxTokens)
	}
	body += fmt.Sprintf(`,"stream_options":{"include_usage":%t}}`, call.usage)
	ctx, disconnect := context.WithCancel(context.Background())
	client.t.Cleanup(disconnect)
	request, err := http.NewRequestWithContext(ctx, "POST", client.url+"/v1/chat/completions", strings.NewReader(body))
	assert.NilError(client.t, err)
	request.Header.Set(engine.HeaderAttemptID, call.attempt)
	request.Header.Set(engine.HeaderPriority, strconv.Itoa(call.priority))
	if call.preemptible {
		request.Header.Set(engine.HeaderPreemptible, "1")
	}
	if call.resume {
		request.Header.Set(engine.HeaderResumeOffset, strconv.Itoa(call.offset))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		disconnect()
		return nil, err
	}
	return &stream{client: client, response: response, reader: bufio.NewReader(response.Body), disconnect: disconnect}, nil
}

// read processes events until enough returns true or the response ends. A nil enough reads to the
// end.
func (stream *stream) read(enough func(result) bool) result {
	result := result{
		status:          stream.response.StatusCode,
		notRun:          stream.response.Header.Get(engine.HeaderNotRun) == "1",
		headerAttemptID: stream.response.Header.Get(engine.HeaderAttemptID),
	}
	for enough == nil || !enough(result) {
		line, err := stream.reader.ReadString('\n')
		result.parseLine(strings.TrimSpace(line))
		if err != nil {
			result.truncated = !result.done && result.status == 200 && result.failure == ""
			break
		}
	}
	return result
}

func (result *result) parseLine(line string) {
	data, isData := strings.CutPrefix(line, "data: ")
	switch {
	case strings.HasPrefix(line, "event: "):
		result.events += line + ";"
	case data == "[DONE]":
		result.done = true
	case isData || strings.HasPrefix(line, "{"):
		var failure struct{ Error struct{ Type string } }
		_ = json.Unmarshal([]byte(data), &failure)
		result.failure = failure.Error.Type
		var chunk engine.Chunk
		_ = json.Unmarshal([]byte(data), &chunk)
		result.addChunk(chunk)
	}
}

func (result *result) addChunk(chunk engine.Chunk) {
	if chunk.AttemptID != "" {
		result.chunkAttemptID = chunk.AttemptID
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
			result.finishReason = *choice.FinishReason
		}
	}
}

// complete sends a request and reads the whole response.
func (client client) complete(call completionCall) result {
	client.t.Helper()
	stream, err := client.open(call)
	assert.NilError(client.t, err)
	defer stream.disconnect()
	return stream.read(nil)
}

// expectedText returns the text of tokens [first, end) of the response to the prompt.
func expectedText(prompt string, first, end int) string {
	return engine.ResponseText(model, "user: "+prompt+"\n", first, end)
}

// untilTokens returns a condition that stops read after count tokens.
func untilTokens(count int) func(result) bool {
	return func(result result) bool { return len(result.indexes) >= count }
}

package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tidwall/gjson"
	"github.com/tmaxmax/go-sse"
)

const maxAnswer = 32 << 20

// answer is what came of one request.
type answer struct {
	arrival arrival
	status  int
	// whole says that the answer came to its end and is the request's own.
	whole bool
	// code is the error's code; "silent" when an answer ended without a word.
	code    string
	outcome string
	tokens  int
	text    strings.Builder
	// The times are counted from the intended arrival.
	firstToken time.Duration
	lastToken  time.Duration
	total      time.Duration
}

const (
	codeSilent  = "silent"
	codeForeign = "foreign"
)

// send sends one request and reads its answer.
func (generator *Generator) send(ctx context.Context, due time.Time, arrival arrival) *answer {
	answer := &answer{arrival: arrival}
	ctx, cancel := context.WithTimeout(ctx, generator.timeout)
	defer cancel()
	request, err := generator.request(ctx, arrival)
	if err != nil {
		answer.code = codeSilent
		return answer
	}
	response, err := generator.client.Do(request)
	if err != nil {
		answer.code = codeSilent
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.status = response.StatusCode
	answer.read(response, due)
	answer.total = time.Since(due)
	if answer.whole && !generator.own(answer) {
		answer.whole = false
		answer.code = codeForeign
	}
	return answer
}

func (generator *Generator) own(answer *answer) bool {
	stream := answer.arrival.stream
	if stream.Model == "" {
		return true
	}
	return generator.check(stream.Model, answer.arrival.prompt(), answer.text.String(), answer.arrival.length)
}

func (generator *Generator) request(ctx context.Context, arrival arrival) (*http.Request, error) {
	stream := arrival.stream
	target := "http://" + generator.target(arrival) + stream.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(arrival.body()))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+stream.APIKey)
	for name, value := range stream.Header {
		request.Header.Set(name, value)
	}
	if stream.Keyed {
		key, err := generator.key(ctx, arrival)
		if err != nil {
			return nil, err
		}
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}

// key returns the Idempotency-Key of a keyed request.
func (generator *Generator) key(ctx context.Context, arrival arrival) (string, error) {
	if !generator.issuedKeys {
		return fmt.Sprintf("load-%d-%d", generator.seed, arrival.number), nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+generator.target(arrival)+"/v1/keys", http.NoBody)
	if err != nil {
		return "", err
	}
	request.Header.Set("Authorization", "Bearer "+arrival.stream.APIKey)
	response, err := generator.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	return gjson.GetBytes(body, "key").String(), err
}

// target returns the entry VM that a request goes to.
func (generator *Generator) target(arrival arrival) string {
	return generator.targets[arrival.number%len(generator.targets)]
}

// completion is the body of a completion request.
type completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// order is the body of a call to a plain service.
type order struct {
	Number int `json:"number"`
}

func (arrival arrival) body() []byte {
	var content any = order{Number: arrival.number}
	if arrival.stream.Model != "" {
		content = completion{Model: arrival.stream.Model, Prompt: arrival.prompt(), MaxTokens: arrival.stream.OutputTokens * 2, Stream: arrival.stream.Streamed}
	}
	body, err := json.Marshal(content)
	if err != nil {
		return nil
	}
	return body
}

func (answer *answer) read(response *http.Response, due time.Time) {
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.readStream(response.Body, due)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	parsed := gjson.ParseBytes(body)
	if err != nil || !gjson.ValidBytes(body) {
		answer.code = codeSilent
		return
	}
	if response.StatusCode != http.StatusOK {
		answer.code = parsed.Get("error.code").String()
		answer.outcome = parsed.Get("outcome").String()
		return
	}
	answer.whole = true
	answer.tokens = int(parsed.Get("usage.completion_tokens").Int())
	answer.text.WriteString(parsed.Get("choices.0.text").String())
}

func (answer *answer) readStream(body io.Reader, due time.Time) {
	answer.code = codeSilent
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return
		}
		if event.Data == "[DONE]" {
			answer.whole = true
			answer.code = ""
			return
		}
		answer.take(gjson.Parse(event.Data), due)
	}
}

func (answer *answer) take(parsed gjson.Result, due time.Time) {
	if failure := parsed.Get("error"); failure.Exists() {
		answer.code = failure.Get("code").String()
		answer.outcome = failure.Get("outcome").String()
		return
	}
	text := parsed.Get("choices.0.text").String()
	if text == "" {
		return
	}
	answer.text.WriteString(text)
	answer.lastToken = time.Since(due)
	if answer.tokens == 0 {
		answer.firstToken = answer.lastToken
	}
	answer.tokens++
}

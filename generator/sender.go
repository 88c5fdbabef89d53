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

const maxAnswerBytes = 32 << 20

// answer is the outcome of one request.
type answer struct {
	arrival arrival
	status  int
	// complete is set if the answer arrived in full and its text passed the AnswerCheck.
	complete bool
	// errorCode is the code that the server sent, codeSilent or codeForeign; it is empty for a
	// complete answer.
	errorCode string
	outcome   string
	tokens    int
	text      strings.Builder
	// The latencies are measured from the intended arrival. firstToken and lastToken are 0 if the
	// answer was not streamed.
	firstToken time.Duration
	lastToken  time.Duration
	total      time.Duration
}

const (
	// codeSilent is the code of a request that failed without a valid response, or whose event
	// stream ended without an error event.
	codeSilent = "silent"
	// codeForeign is the code of a complete answer whose text failed the AnswerCheck.
	codeForeign = "foreign"
)

// send sends one request and reads its answer. The time due is the intended arrival.
func (generator *Generator) send(ctx context.Context, due time.Time, arrival arrival) *answer {
	answer := &answer{arrival: arrival}
	ctx, cancel := context.WithTimeout(ctx, generator.timeout)
	defer cancel()
	request, err := generator.newRequest(ctx, arrival)
	if err != nil {
		answer.errorCode = codeSilent
		return answer
	}
	response, err := generator.client.Do(request)
	if err != nil {
		answer.errorCode = codeSilent
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.status = response.StatusCode
	answer.read(response, due)
	answer.total = time.Since(due)
	if answer.complete && !generator.verifyText(answer) {
		answer.complete = false
		answer.errorCode = codeForeign
	}
	return answer
}

// verifyText reports whether the answer's text passes the check. Answers of plain services always
// pass.
func (generator *Generator) verifyText(answer *answer) bool {
	stream := answer.arrival.stream
	if stream.Model == "" {
		return true
	}
	return generator.check(stream.Model, answer.arrival.prompt(), answer.text.String(), answer.arrival.outputTokens)
}

func (generator *Generator) newRequest(ctx context.Context, arrival arrival) (*http.Request, error) {
	stream := arrival.stream
	target := "http://" + generator.target(arrival) + stream.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(arrival.body()))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport does not retry the request.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+stream.APIKey)
	for name, value := range stream.Header {
		request.Header.Set(name, value)
	}
	if stream.Keyed {
		key, err := generator.idempotencyKey(ctx, arrival)
		if err != nil {
			return nil, err
		}
		request.Header.Set("Idempotency-Key", key)
	}
	return request, nil
}

// idempotencyKey returns the Idempotency-Key of a keyed request. With issuedKeys, it obtains the
// key from the request's entry VM.
func (generator *Generator) idempotencyKey(ctx context.Context, arrival arrival) (string, error) {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return gjson.GetBytes(body, "key").String(), err
}

// target returns the address of the entry VM for a request.
func (generator *Generator) target(arrival arrival) string {
	return generator.targets[arrival.number%len(generator.targets)]
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// serviceCall is the body of a call to a plain service.
type serviceCall struct {
	Number int `json:"number"`
}

func (arrival arrival) body() []byte {
	var payload any = serviceCall{Number: arrival.number}
	if arrival.stream.Model != "" {
		payload = completionRequest{Model: arrival.stream.Model, Prompt: arrival.prompt(), MaxTokens: arrival.stream.OutputTokens * 2, Stream: arrival.stream.Streamed}
	}
	body, err := json.Marshal(payload)
	if err != nil {
		return nil
	}
	return body
}

// read reads a response, either an event stream or a JSON document.
func (answer *answer) read(response *http.Response, due time.Time) {
	if response.StatusCode == http.StatusOK && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.readStream(response.Body, due)
		return
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	parsed := gjson.ParseBytes(body)
	if err != nil || !gjson.ValidBytes(body) {
		answer.errorCode = codeSilent
		return
	}
	if response.StatusCode != http.StatusOK {
		answer.errorCode = parsed.Get("error.code").String()
		answer.outcome = parsed.Get("outcome").String()
		return
	}
	answer.complete = true
	answer.tokens = int(parsed.Get("usage.completion_tokens").Int())
	answer.text.WriteString(parsed.Get("choices.0.text").String())
}

// readStream reads an event stream. The answer is complete only after the event [DONE].
func (answer *answer) readStream(body io.Reader, due time.Time) {
	answer.errorCode = codeSilent
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return
		}
		if event.Data == "[DONE]" {
			answer.complete = true
			answer.errorCode = ""
			return
		}
		answer.addEvent(gjson.Parse(event.Data), due)
	}
}

// addEvent adds the text of an event to the answer, or records the error that the event reports.
// Each event with text counts as one token.
func (answer *answer) addEvent(parsed gjson.Result, due time.Time) {
	if errorObject := parsed.Get("error"); errorObject.Exists() {
		answer.errorCode = errorObject.Get("code").String()
		answer.outcome = errorObject.Get("outcome").String()
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

package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request of a caller.
type Call struct {
	// Path begins with a slash.
	Path string
	// Method is POST when it is empty.
	Method string
	// APIKey is the bearer token; none is sent when it is empty.
	APIKey string
	// Key is the Idempotency-Key; none is sent when it is empty.
	Key  string
	Body io.Reader
	// Model and Prompt are set for a completion, whose answer they decide.
	Model, Prompt string
	// Deadline is sent as X-Request-Timeout-Ms, unless it is zero.
	Deadline time.Duration
	Header   map[string]string
	// Progress, when set, gets the number of tokens that have come of a stream.
	Progress func(count int)
}

// Completion returns a call for an answer of some tokens.
func Completion(model, prompt string, tokens int, streamed bool) Call {
	prompt = withLength(prompt, tokens)
	body := map[string]any{"model": model, "prompt": prompt, "stream": streamed, "max_tokens": tokens}
	return Call{Path: "/v1/completions", Body: Encode(body), Model: model, Prompt: prompt}
}

// Chat returns the same as a chat, whose length the prompt alone decides.
func Chat(model, prompt string, tokens int, streamed bool) Call {
	prompt = withLength(prompt, tokens)
	messages := []map[string]string{{"role": "user", "content": prompt}}
	body := map[string]any{"model": model, "stream": streamed, "messages": messages}
	return Call{Path: "/v1/chat/completions", Body: Encode(body), Model: model, Prompt: "user: " + prompt + "\n"}
}

// Encode returns a body of JSON; one that has no JSON is empty.
func Encode(body any) io.Reader {
	data, err := json.Marshal(body)
	if err != nil {
		return http.NoBody
	}
	return strings.NewReader(string(data))
}

// withLength adds what tells a stand-in engine how long its answer is.
func withLength(prompt string, tokens int) string {
	return fmt.Sprintf("%s #len=%d ", prompt, tokens)
}

// request returns the call as an HTTP request to the address.
func (call Call) request(ctx context.Context, address string) (*http.Request, error) {
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	// A connection that breaks must not send the call again by itself.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if call.APIKey != "" {
		request.Header.Set("Authorization", "Bearer "+call.APIKey)
	}
	if call.Deadline > 0 {
		request.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	return request, nil
}

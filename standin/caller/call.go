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
	// Method defaults to POST.
	Method string
	// APIKey is the bearer token; none is sent when it is empty.
	APIKey string
	// IdempotencyKey is sent in the header Idempotency-Key; none is sent when it is empty.
	IdempotencyKey string
	Body           io.Reader
	// Model and Prompt are set for a completion and determine the answer of a stand-in engine. They
	// are not sent by themselves; Body contains them.
	Model, Prompt string
	// Timeout is sent as X-Request-Timeout-Ms, unless it is zero.
	Timeout time.Duration
	Header  map[string]string
	// Progress, if set, is called after each token of a streamed response with the number of tokens
	// received so far.
	Progress func(count int)
}

// Completion returns a call of the completions API for an answer of the given number of tokens.
func Completion(model, prompt string, tokens int, streamed bool) Call {
	prompt = withAnswerLength(prompt, tokens)
	body := map[string]any{"model": model, "prompt": prompt, "stream": streamed, "max_tokens": tokens}
	return Call{Path: "/v1/completions", Body: EncodeJSON(body), Model: model, Prompt: prompt}
}

// Chat returns a call of the chat completions API for an answer of the given number of tokens. It
// sends no max_tokens; the prompt alone determines the length.
func Chat(model, prompt string, tokens int, streamed bool) Call {
	prompt = withAnswerLength(prompt, tokens)
	messages := []map[string]string{{"role": "user", "content": prompt}}
	body := map[string]any{"model": model, "stream": streamed, "messages": messages}
	return Call{Path: "/v1/chat/completions", Body: EncodeJSON(body), Model: model, Prompt: "user: " + prompt + "\n"}
}

// EncodeJSON returns the value as a JSON body, or an empty body if the value cannot be encoded.
func EncodeJSON(body any) io.Reader {
	data, err := json.Marshal(body)
	if err != nil {
		return http.NoBody
	}
	return strings.NewReader(string(data))
}

// withAnswerLength appends the marker that sets the length of a stand-in engine's answer.
func withAnswerLength(prompt string, tokens int) string {
	return fmt.Sprintf("%s #len=%d ", prompt, tokens)
}

// httpRequest returns the call as an HTTP request to the address.
func (call Call) httpRequest(ctx context.Context, address string) (*http.Request, error) {
	method := call.Method
	if method == "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+call.Path, call.Body)
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not resend the call by itself when a connection breaks.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	if call.APIKey != "" {
		request.Header.Set("Authorization", "Bearer "+call.APIKey)
	}
	if call.Timeout > 0 {
		request.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(call.Timeout.Milliseconds(), 10))
	}
	if call.IdempotencyKey != "" {
		request.Header.Set("Idempotency-Key", call.IdempotencyKey)
	}
	for name, value := range call.Header {
		request.Header.Set(name, value)
	}
	return request, nil
}

package server

import (
	"encoding/json"
	"errors"
	"net/http"
	"reflect"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"limpetcleat/dispatcher"
)

const (
	// bytesPerToken is a rough estimate, used for the number of tokens in a prompt.
	bytesPerToken = 4
	// maxPrefixBytes is the length of the part of a prompt that is hashed for prefix affinity.
	maxPrefixBytes = 1024
	maxModelBytes  = 256
)

// completionBody has the fields of a completion request that the node reads. The body itself is
// sent on unchanged.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	N                   *int            `json:"n"`
}

// message has the fields of a chat message that the node reads.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// serveCompletion serves chat completions and text completions.
func (server *Server) serveCompletion(writer http.ResponseWriter, request *http.Request, _ httprouter.Params, caller caller) {
	share := server.memory.NewShare()
	defer share.Release()
	body, failure, ok := server.readBody(writer, request, share)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	parsed, failure, ok := parseCompletion(request.URL.Path, body)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	arrived, failure, ok := newRequestArrived(request, caller, body)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	prompt := append(parsed.Messages, parsed.Prompt...)
	arrived.Prefix = xxhash.Sum64(prompt[:min(len(prompt), maxPrefixBytes)])
	arrived.Properties.Model = parsed.Model
	arrived.Properties.Streamed = parsed.Stream
	arrived.Properties.PromptTokens = len(prompt) / bytesPerToken
	arrived.Properties.MaxTokens = parsed.tokenLimit()
	exchange := dispatcher.Exchange{Method: request.Method, Target: request.URL.Path, Header: request.Header, Body: body, Streamed: parsed.Stream}
	server.serveRequest(request, writer, arrived, exchange)
}

// parseCompletion parses and validates a body. Its failure names the invalid field.
func parseCompletion(path string, body []byte) (completionBody, failure, bool) {
	var parsed completionBody
	if failure, ok := decodeJSON(body, "", &parsed); !ok {
		return parsed, failure, false
	}
	failure, ok := parsed.validate(strings.HasSuffix(path, "/chat/completions"))
	return parsed, failure, ok
}

// decodeJSON unmarshals data into value; prefix is the path of data in the request body, which
// failures prepend to the name of a field.
func decodeJSON(data []byte, prefix string, value any) (failure, bool) {
	err := json.Unmarshal(data, value)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped) && prefix+mistyped.Field == "":
		return invalidRequest("the body must be a JSON object"), false
	case errors.As(err, &mistyped):
		field := strings.TrimSuffix(prefix+mistyped.Field, ".")
		return invalidField(field, "the field "+field+" must be of type "+jsonTypeName(mistyped.Type)), false
	case err != nil:
		return invalidRequest("the body is not JSON: " + err.Error()), false
	}
	return failure{}, true
}

// jsonTypeName returns the JSON name of a Go type.
func jsonTypeName(wanted reflect.Type) string {
	names := map[reflect.Kind]string{reflect.Bool: "boolean", reflect.Int: "integer", reflect.Slice: "array", reflect.Struct: "object"}
	if name, ok := names[wanted.Kind()]; ok {
		return name
	}
	return wanted.String()
}

func (body completionBody) validate(chat bool) (failure, bool) {
	switch {
	case body.Model == "":
		return invalidField("model", "the field model is missing"), false
	case len(body.Model) > maxModelBytes:
		return invalidField("model", "the field model is too long"), false
	case body.N != nil && *body.N != 1:
		return invalidField("n", "the field n must be 1"), false
	case body.MaxTokens != nil && *body.MaxTokens <= 0:
		return invalidField("max_tokens", "the field max_tokens must be above 0"), false
	case body.MaxCompletionTokens != nil && *body.MaxCompletionTokens <= 0:
		return invalidField("max_completion_tokens", "the field max_completion_tokens must be above 0"), false
	case chat:
		return validateMessages(body.Messages)
	default:
		return validatePrompt(body.Prompt)
	}
}

func validateMessages(raw json.RawMessage) (failure, bool) {
	if len(raw) == 0 {
		return invalidField("messages", "the field messages is missing"), false
	}
	var messages []message
	if failure, ok := decodeJSON(raw, "messages.", &messages); !ok {
		return failure, false
	}
	if len(messages) == 0 {
		return invalidField("messages", "the field messages must not be empty"), false
	}
	for _, message := range messages {
		if message.Role == "" {
			return invalidField("messages.role", "the field messages.role is missing"), false
		}
	}
	return failure{}, true
}

func validatePrompt(raw json.RawMessage) (failure, bool) {
	switch {
	case len(raw) == 0:
		return invalidField("prompt", "the field prompt is missing"), false
	case raw[0] != '"' && raw[0] != '[':
		return invalidField("prompt", "the field prompt must be of type string or array"), false
	}
	return failure{}, true
}

// tokenLimit returns the caller's limit on the tokens of the answer; 0 means no limit.
func (body completionBody) tokenLimit() int {
	switch {
	case body.MaxCompletionTokens != nil:
		return *body.MaxCompletionTokens
	case body.MaxTokens != nil:
		return *body.MaxTokens
	default:
		return 0
	}
}

func invalidRequest(message string) failure {
	return failure{status: http.StatusBadRequest, code: codeInvalidBody, message: message}
}

func invalidField(field, message string) failure {
	return failure{status: http.StatusBadRequest, code: codeInvalidBody, message: message, param: field}
}

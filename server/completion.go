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
	// bytesPerToken is a rough estimate for a prompt's length.
	bytesPerToken = 4
	// prefixLength is how much of a prompt is hashed for its prefix.
	prefixLength   = 1024
	maxModelLength = 256
)

// completionBody is what is read of a completion request; the rest passes
// through as it is.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	N                   *int            `json:"n"`
}

// message is what is read of one message of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// completion serves the two completion interfaces.
func (server *Server) completion(writer http.ResponseWriter, request *http.Request, _ httprouter.Params, caller caller) {
	body, failure, ok := server.read(writer, request)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	parsed, failure, ok := parseCompletion(request.URL.Path, body)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	arrived, failure, ok := arrival(request, caller, body)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	prompt := append(parsed.Messages, parsed.Prompt...)
	arrived.Prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixLength)])
	arrived.Properties.Model = parsed.Model
	arrived.Properties.Streamed = parsed.Stream
	arrived.Properties.PromptTokens = len(prompt) / bytesPerToken
	arrived.Properties.MaxTokens = parsed.bound()
	exchange := dispatcher.Exchange{Method: request.Method, Path: request.URL.Path, Header: request.Header, Body: body, Streamed: parsed.Stream}
	server.carry(request, writer, arrived, exchange)
}

// parseCompletion reads a body, or tells what is wrong with which field.
func parseCompletion(path string, body []byte) (completionBody, callerFailure, bool) {
	var parsed completionBody
	if failure, ok := decode(body, "", &parsed); !ok {
		return parsed, failure, false
	}
	failure, ok := parsed.check(strings.HasSuffix(path, "/chat/completions"))
	return parsed, failure, ok
}

// decode reads JSON; prefix names the field that data is the value of.
func decode(data []byte, prefix string, value any) (callerFailure, bool) {
	err := json.Unmarshal(data, value)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped) && prefix+mistyped.Field == "":
		return invalid("the body must be a JSON object"), false
	case errors.As(err, &mistyped):
		field := strings.TrimSuffix(prefix+mistyped.Field, ".")
		return wrongField(field, "the field "+field+" must be of type "+typeName(mistyped.Type)), false
	case err != nil:
		return invalid("the body is not JSON: " + err.Error()), false
	}
	return callerFailure{}, true
}

// typeName returns what JSON calls a type.
func typeName(wanted reflect.Type) string {
	names := map[reflect.Kind]string{reflect.Bool: "boolean", reflect.Int: "integer", reflect.Slice: "array", reflect.Struct: "object"}
	if name, ok := names[wanted.Kind()]; ok {
		return name
	}
	return wanted.String()
}

func (body completionBody) check(chat bool) (callerFailure, bool) {
	switch {
	case body.Model == "":
		return wrongField("model", "the field model is missing"), false
	case len(body.Model) > maxModelLength:
		return wrongField("model", "the field model is too long"), false
	case body.N != nil && *body.N != 1:
		return wrongField("n", "the field n must be 1"), false
	case body.MaxTokens != nil && *body.MaxTokens <= 0:
		return wrongField("max_tokens", "the field max_tokens must be above 0"), false
	case body.MaxCompletionTokens != nil && *body.MaxCompletionTokens <= 0:
		return wrongField("max_completion_tokens", "the field max_completion_tokens must be above 0"), false
	case chat:
		return checkMessages(body.Messages)
	default:
		return checkPrompt(body.Prompt)
	}
}

func checkMessages(raw json.RawMessage) (callerFailure, bool) {
	if len(raw) == 0 {
		return wrongField("messages", "the field messages is missing"), false
	}
	var messages []message
	if failure, ok := decode(raw, "messages.", &messages); !ok {
		return failure, false
	}
	if len(messages) == 0 {
		return wrongField("messages", "the field messages must not be empty"), false
	}
	for _, message := range messages {
		if message.Role == "" {
			return wrongField("messages.role", "the field messages.role is missing"), false
		}
	}
	return callerFailure{}, true
}

func checkPrompt(raw json.RawMessage) (callerFailure, bool) {
	switch {
	case len(raw) == 0:
		return wrongField("prompt", "the field prompt is missing"), false
	case raw[0] != '"' && raw[0] != '[':
		return wrongField("prompt", "the field prompt must be of type string or array"), false
	}
	return callerFailure{}, true
}

// bound returns the caller's bound on the answer's tokens; 0 is none.
func (body completionBody) bound() int {
	switch {
	case body.MaxCompletionTokens != nil:
		return *body.MaxCompletionTokens
	case body.MaxTokens != nil:
		return *body.MaxTokens
	default:
		return 0
	}
}

func invalid(message string) callerFailure {
	return callerFailure{status: http.StatusBadRequest, code: codeInvalidBody, message: message}
}

func wrongField(field, message string) callerFailure {
	return callerFailure{status: http.StatusBadRequest, code: codeInvalidBody, message: message, param: field}
}

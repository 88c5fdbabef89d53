package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/julienschmidt/httprouter"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/matcher"
)

const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "X-Request-Timeout-Ms"
	// bytesPerToken is a rough estimate for a prompt's length.
	bytesPerToken = 4
	// prefixLength is how much of a prompt is hashed for its prefix.
	prefixLength    = 1024
	maxKeyLength    = 255
	maxHeaderValues = 64
)

// completionBody is what is read of a completion request; the rest passes
// through as it is.
type completionBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	N                   *int            `json:"n"`
}

// completion serves the two completion interfaces.
func (server *Server) completion(writer http.ResponseWriter, request *http.Request, _ httprouter.Params, organisation *definer.Organisation) {
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
	arrived, failure, ok := arrival(request, organisation, body)
	if !ok {
		writeFailure(writer, failure)
		return
	}
	prompt := append(parsed.Messages, parsed.Prompt...)
	arrived.Prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixLength)])
	arrived.Properties.Model = parsed.Model
	arrived.Properties.Streamed = parsed.Stream
	arrived.Properties.PromptTokens = len(prompt) / bytesPerToken
	arrived.Properties.MaxTokens = max(parsed.MaxTokens, parsed.MaxCompletionTokens)
	exchange := dispatcher.Exchange{Method: request.Method, Path: request.URL.Path, Header: request.Header, Body: body, Streamed: parsed.Stream}
	server.carry(request.Context(), writer, arrived, exchange)
}

func parseCompletion(path string, body []byte) (completionBody, callerFailure, bool) {
	var parsed completionBody
	err := json.Unmarshal(body, &parsed)
	var mistyped *json.UnmarshalTypeError
	switch {
	case errors.As(err, &mistyped):
		return parsed, invalid("the field " + mistyped.Field + " must be of type " + mistyped.Type.String()), false
	case err != nil:
		return parsed, invalid("the body is not JSON: " + err.Error()), false
	case parsed.Model == "":
		return parsed, invalid("the field model is missing"), false
	case parsed.N != nil && *parsed.N != 1:
		return parsed, invalid("the field n must be 1"), false
	case parsed.MaxTokens < 0 || parsed.MaxCompletionTokens < 0:
		return parsed, invalid("the field max_tokens must not be negative"), false
	case strings.HasSuffix(path, "/chat/completions") && !isArray(parsed.Messages):
		return parsed, invalid("the field messages must be a list"), false
	case !strings.HasSuffix(path, "/chat/completions") && len(parsed.Prompt) == 0:
		return parsed, invalid("the field prompt is missing"), false
	}
	return parsed, callerFailure{}, true
}

func isArray(raw json.RawMessage) bool { return len(raw) > 0 && raw[0] == '[' }

func invalid(message string) callerFailure {
	return callerFailure{status: http.StatusBadRequest, code: codeInvalidBody, message: message}
}

// read returns the request's body, within the limits of size and time.
func (server *Server) read(writer http.ResponseWriter, request *http.Request) ([]byte, callerFailure, bool) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(server.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, server.maxBody))
	_ = controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, callerFailure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, message: "the body is larger than " + strconv.FormatInt(server.maxBody, 10) + " bytes"}, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, callerFailure{status: http.StatusRequestTimeout, code: codeBodyTooSlow, message: "the body did not come in time"}, false
	case err != nil:
		return nil, invalid("the body could not be read"), false
	}
	return body, callerFailure{}, true
}

// arrival returns the event for a request, but for what its body tells.
func arrival(request *http.Request, organisation *definer.Organisation, body []byte) (decider.RequestArrived, callerFailure, bool) {
	key := request.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		return decider.RequestArrived{}, invalid("the header " + headerKey + " is longer than " + strconv.Itoa(maxKeyLength) + " characters"), false
	}
	deadline, ok := callerDeadline(request.Header.Get(headerDeadline))
	if !ok {
		return decider.RequestArrived{}, invalid("the header " + headerDeadline + " must be a whole number above 0"), false
	}
	sum := sha256.New()
	_, _ = io.WriteString(sum, request.Method+"\n"+request.URL.RequestURI()+"\n")
	_, _ = sum.Write(body)
	return decider.RequestArrived{
		Request:      definer.RequestID(uuid.NewString()),
		Organisation: organisation.Name(),
		Properties: matcher.Properties{
			Organisation: string(organisation.Name()),
			Method:       request.Method,
			Path:         request.URL.Path,
			Headers:      plainHeaders(request.Header),
		},
		Key:      key,
		BodyHash: hex.EncodeToString(sum.Sum(nil)),
		Deadline: deadline,
	}, callerFailure{}, true
}

func callerDeadline(value string) (time.Duration, bool) {
	if value == "" {
		return 0, true
	}
	count, err := strconv.Atoi(value)
	if err != nil || count <= 0 {
		return 0, false
	}
	return time.Duration(count) * time.Millisecond, true
}

// plainHeaders returns the headers that rules may look at, by names in lower
// case. Secrets are left out.
func plainHeaders(header http.Header) map[string]string {
	plain := make(map[string]string)
	for name, values := range header {
		if name == "Authorization" || name == "Cookie" || len(plain) >= maxHeaderValues {
			continue
		}
		plain[strings.ToLower(name)] = values[0]
	}
	return plain
}

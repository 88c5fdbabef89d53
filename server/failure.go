package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	headerOutcome = "X-Outcome"
	headerRequest = "X-Request-Id"
	// headerOffer holds a key that a caller may use in place of its own.
	headerOffer = "Idempotency-Key-Offer"

	// The codes that clients of the OpenAI interface know by name.
	codeInvalidKey = "invalid_api_key"
	codeNoModel    = "model_not_found"

	codeInvalidBody  = "invalidBody"
	codeBodyTooLarge = "bodyTooLarge"
	codeBodyTooSlow  = "bodyTooSlow"
	codeNotFound     = "notFound"
	codeMethod       = "methodNotAllowed"
	codeInternal     = "internalError"
	codeConnections  = "tooManyConnections"

	retryLater = time.Second
)

// callerFailure is an error as a caller sees it.
type callerFailure struct {
	status  int
	code    string
	message string
	// outcome is NotRun when empty.
	outcome    definer.Outcome
	retryAfter time.Duration
	// param names the field at fault; empty when there is none.
	param    string
	keyOffer string
}

// failureBody is the form of an error that callers of the OpenAI interface
// know, with the outcome beside it.
type failureBody struct {
	Error   failureDetail   `json:"error"`
	Outcome definer.Outcome `json:"outcome"`
}

type failureDetail struct {
	Message string          `json:"message"`
	Type    string          `json:"type"`
	Code    string          `json:"code"`
	Param   *string         `json:"param"`
	Outcome definer.Outcome `json:"outcome"`
}

func failureFrom(refusal decider.Refusal) callerFailure {
	code := string(refusal.Reason)
	if refusal.Reason == messenger.NoModel {
		code = codeNoModel
	}
	return callerFailure{status: refusal.Status, code: code, message: refusal.Message, outcome: refusal.Outcome, retryAfter: refusal.RetryAfter, keyOffer: refusal.KeyOffer}
}

// stopping returns the refusal of a node that stops; what ran under the key of
// an earlier sending is not known here.
func stopping(key string) callerFailure {
	return notNow(messenger.Draining, "the node is stopping", key)
}

func notNow(reason messenger.RefusalReason, message, key string) callerFailure {
	failure := callerFailure{status: http.StatusServiceUnavailable, code: string(reason), message: message, retryAfter: retryLater}
	if key != "" {
		failure.outcome = definer.Unknown
	}
	return failure
}

func (failure callerFailure) told() definer.Outcome {
	if failure.outcome == "" {
		return definer.NotRun
	}
	return failure.outcome
}

func (failure callerFailure) body() []byte {
	detail := failureDetail{Message: failure.message, Type: failureType(failure.status), Code: failure.code, Outcome: failure.told()}
	if failure.param != "" {
		detail.Param = &failure.param
	}
	body, err := json.Marshal(failureBody{Error: detail, Outcome: failure.told()})
	if err != nil {
		return []byte("{}")
	}
	return body
}

func failureType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func writeFailure(writer http.ResponseWriter, failure callerFailure) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(failure.told()))
	if failure.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.retryAfter.Seconds()))))
	}
	if failure.keyOffer != "" {
		header.Set(headerOffer, failure.keyOffer)
	}
	writer.WriteHeader(failure.status)
	_, _ = writer.Write(append(failure.body(), '\n'))
}

func notFound(writer http.ResponseWriter, _ *http.Request) {
	writeFailure(writer, callerFailure{status: http.StatusNotFound, code: codeNotFound, message: "there is nothing at this path"})
}

func methodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	writeFailure(writer, callerFailure{status: http.StatusMethodNotAllowed, code: codeMethod, message: "the path does not take this method"})
}

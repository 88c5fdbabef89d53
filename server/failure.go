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
	headerOutcome   = "X-Outcome"
	headerRequestID = "X-Request-Id"
	// headerKeyOffer holds a key that a caller may use in place of its own.
	headerKeyOffer = "Idempotency-Key-Offer"

	// Codes of the OpenAI API that clients match by name.
	codeInvalidKey    = "invalid_api_key"
	codeModelNotFound = "model_not_found"

	codeInvalidBody        = "invalidBody"
	codeBodyTooLarge       = "bodyTooLarge"
	codeBodyTooSlow        = "bodyTooSlow"
	codeNotFound           = "notFound"
	codeMethodNotAllowed   = "methodNotAllowed"
	codeInternalError      = "internalError"
	codeTooManyConnections = "tooManyConnections"
	codeNoMemory           = "noMemory"

	defaultRetryAfter = time.Second
)

// failure is an error response to a caller.
type failure struct {
	status  int
	code    string
	message string
	// outcome is reported as NotRun if it is empty.
	outcome definer.Outcome
	// retryAfter is 0 when a retry cannot help.
	retryAfter time.Duration
	// param names the invalid field; it is empty when there is none.
	param string
	// keyOffer is a key bound to this process; it is empty when none is offered.
	keyOffer string
}

// failureBody is an error object of the OpenAI API, extended by the outcome.
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

func refusalFailure(refusal decider.Refusal) failure {
	code := string(refusal.Reason)
	if refusal.Reason == messenger.NoModel {
		code = codeModelNotFound
	}
	return failure{status: refusal.Status, code: code, message: refusal.Message, outcome: refusal.Outcome, retryAfter: refusal.RetryAfter, keyOffer: refusal.KeyOffer}
}

// stoppingFailure returns the refusal of a node that is stopping. Its outcome is Unknown for a
// request with a key, because an earlier request with the same key may have run.
func stoppingFailure(key string) failure {
	return unavailable(messenger.Draining, "the node is stopping", key)
}

// unavailable returns a refusal with status 503. Its outcome is Unknown for a request with a
// non-empty key, and otherwise NotRun.
func unavailable(reason messenger.RefusalReason, message, key string) failure {
	failure := failure{status: http.StatusServiceUnavailable, code: string(reason), message: message, retryAfter: defaultRetryAfter}
	if key != "" {
		failure.outcome = definer.Unknown
	}
	return failure
}

// reportedOutcome returns the outcome that the response states.
func (failure failure) reportedOutcome() definer.Outcome {
	if failure.outcome == "" {
		return definer.NotRun
	}
	return failure.outcome
}

func (failure failure) body() []byte {
	detail := failureDetail{Message: failure.message, Type: failureType(failure.status), Code: failure.code, Outcome: failure.reportedOutcome()}
	if failure.param != "" {
		detail.Param = &failure.param
	}
	body, err := json.Marshal(failureBody{Error: detail, Outcome: failure.reportedOutcome()})
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

func writeFailure(writer http.ResponseWriter, failure failure) {
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(headerOutcome, string(failure.reportedOutcome()))
	if failure.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.retryAfter.Seconds()))))
	}
	if failure.keyOffer != "" {
		header.Set(headerKeyOffer, failure.keyOffer)
	}
	writer.WriteHeader(failure.status)
	_, _ = writer.Write(append(failure.body(), '\n'))
}

func notFound(writer http.ResponseWriter, _ *http.Request) {
	writeFailure(writer, failure{status: http.StatusNotFound, code: codeNotFound, message: "there is nothing at this path"})
}

func methodNotAllowed(writer http.ResponseWriter, _ *http.Request) {
	writeFailure(writer, failure{status: http.StatusMethodNotAllowed, code: codeMethodNotAllowed, message: "the path does not take this method"})
}

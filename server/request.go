package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"limpetcleat/decider"
	"limpetcleat/matcher"
	"limpetcleat/quarantiner"
	"limpetcleat/rationer"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	headerRequestTimeout = "X-Request-Timeout-Ms"
	maxKeyBytes          = 255
	maxMatchedHeaders    = 64
	// bodyWait is how long a request waits for memory for its body.
	bodyWait = 250 * time.Millisecond
	// defaultMemory bounds the bodies of all requests, in bytes, if no option does.
	defaultMemory = 256 << 20
)

// readBody returns the request's body, or a failure if it exceeds the limit of size or time, or there is no memory
// for it. The share covers the body and is the caller's to release.
func (server *Server) readBody(writer http.ResponseWriter, request *http.Request, share *rationer.Share) ([]byte, failure, bool) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(server.bodyTimeout))
	waiting, cancel := context.WithTimeout(request.Context(), bodyWait)
	defer cancel()
	body, err := share.ReadAll(waiting, http.MaxBytesReader(writer, request.Body, server.maxBodyBytes), request.ContentLength, server.maxBodyBytes)
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, failure{}, true
	}
	// Closing the connection avoids reading the rest of the body.
	writer.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var shortage *rationer.Error
	switch {
	case errors.As(err, &shortage):
		return nil, failure{status: http.StatusServiceUnavailable, code: codeNoMemory, message: "there is no memory for the body now", retryAfter: defaultRetryAfter}, false
	case errors.As(err, &tooLarge):
		return nil, failure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, message: "the body is larger than " + strconv.FormatInt(server.maxBodyBytes, 10) + " bytes"}, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, failure{status: http.StatusRequestTimeout, code: codeBodyTooSlow, message: "the body did not come in time", retryAfter: defaultRetryAfter}, false
	default:
		return nil, invalidRequest("the body could not be read"), false
	}
}

// newRequestArrived returns the event for a request, without the properties that depend on the
// content of the body.
func newRequestArrived(request *http.Request, caller caller, body []byte) (decider.RequestArrived, failure, bool) {
	key := request.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return decider.RequestArrived{}, invalidRequest("the header " + headerIdempotencyKey + " is longer than " + strconv.Itoa(maxKeyBytes) + " characters"), false
	}
	deadline, ok := parseTimeout(request.Header.Get(headerRequestTimeout))
	if !ok {
		return decider.RequestArrived{}, invalidRequest("the header " + headerRequestTimeout + " must be a whole number above 0"), false
	}
	if caller.forwarded {
		deadline = caller.remaining
	}
	hash := sha256.New()
	_, _ = io.WriteString(hash, request.Method+"\n"+request.URL.RequestURI()+"\n")
	_, _ = hash.Write(body)
	bodyHash := hash.Sum(nil)
	return decider.RequestArrived{
		Request:      caller.requestID,
		Organisation: caller.organisation,
		Properties: matcher.Properties{
			Organisation: string(caller.organisation),
			Method:       request.Method,
			Path:         request.URL.Path,
			Headers:      matchedHeaders(request.Header),
		},
		Key:      key,
		BodyHash: hex.EncodeToString(bodyHash),
		Identity: quarantiner.Identify(&quarantiner.RequestParts{
			Organisation: caller.organisation, Method: request.Method, Target: request.URL.RequestURI(),
			Body: bodyHash, // The hash stands in for the body, which is hashed only once.
		}),
		Deadline:  deadline,
		Forwarded: caller.forwarded,
	}, failure{}, true
}

// parseTimeout parses a count of milliseconds above 0; an empty value is 0, which means no timeout.
func parseTimeout(value string) (time.Duration, bool) {
	if value == "" {
		return 0, true
	}
	count, err := strconv.Atoi(value)
	if err != nil || count <= 0 {
		return 0, false
	}
	return time.Duration(count) * time.Millisecond, true
}

// matchedHeaders returns the headers that rules can match, by lower-case name and with their first
// values. Headers with credentials are left out.
func matchedHeaders(header http.Header) map[string]string {
	matched := make(map[string]string)
	for name, values := range header {
		if name == "Authorization" || name == "Cookie" || len(matched) >= maxMatchedHeaders {
			continue
		}
		matched[strings.ToLower(name)] = values[0]
	}
	return matched
}

package server

import (
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
)

const (
	headerKey       = "Idempotency-Key"
	headerDeadline  = "X-Request-Timeout-Ms"
	maxKeyLength    = 255
	maxHeaderValues = 64
)

// read returns the request's body, within the limits of size and time.
func (server *Server) read(writer http.ResponseWriter, request *http.Request) ([]byte, callerFailure, bool) {
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(server.bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, server.maxBody))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return body, callerFailure{}, true
	}
	// The rest of the body is not waited for.
	writer.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, callerFailure{status: http.StatusRequestEntityTooLarge, code: codeBodyTooLarge, message: "the body is larger than " + strconv.FormatInt(server.maxBody, 10) + " bytes"}, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, callerFailure{status: http.StatusRequestTimeout, code: codeBodyTooSlow, message: "the body did not come in time", retryAfter: retryLater}, false
	default:
		return nil, invalid("the body could not be read"), false
	}
}

// arrival returns the event for a request, but for what its body tells.
func arrival(request *http.Request, caller caller, body []byte) (decider.RequestArrived, callerFailure, bool) {
	key := request.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		return decider.RequestArrived{}, invalid("the header " + headerKey + " is longer than " + strconv.Itoa(maxKeyLength) + " characters"), false
	}
	deadline, ok := callerDeadline(request.Header.Get(headerDeadline))
	if !ok {
		return decider.RequestArrived{}, invalid("the header " + headerDeadline + " must be a whole number above 0"), false
	}
	if caller.forwarded {
		deadline = caller.remaining
	}
	sum := sha256.New()
	_, _ = io.WriteString(sum, request.Method+"\n"+request.URL.RequestURI()+"\n")
	_, _ = sum.Write(body)
	bodyHash := sum.Sum(nil)
	return decider.RequestArrived{
		Request:      caller.request,
		Organisation: caller.organisation,
		Properties: matcher.Properties{
			Organisation: string(caller.organisation),
			Method:       request.Method,
			Path:         request.URL.Path,
			Headers:      plainHeaders(request.Header),
		},
		Key:      key,
		BodyHash: hex.EncodeToString(bodyHash),
		Identity: quarantiner.Identify(&quarantiner.RequestParts{
			Organisation: caller.organisation, Method: request.Method, Target: request.URL.RequestURI(),
			Body: bodyHash, // The body itself need not be hashed twice.
		}),
		Deadline:  deadline,
		Forwarded: caller.forwarded,
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

package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// maxResponseBytes is the largest part of a response body that is read, 64 MiB; it
// applies to lists of objects too.
const maxResponseBytes = 64 << 20

// call is a request to the platform.
type call struct {
	operation string
	method    string
	path      string
	body      []byte
	// conditionHeader and conditionValue are the HTTP header that makes a write
	// conditional; they are empty for reads.
	conditionHeader string
	conditionValue  string
	// kind and name are those of the object that the answer holds; empty if it holds none. Its version is above
	// replaced.
	kind, name string
	replaced   uint64
}

// isAnsweredBy reports whether an object can be the answer to the call: it has its name, and if the call wrote it, a later
// version than the one before. An answer to an earlier call has not.
func (call *call) isAnsweredBy(object *Object) bool {
	return object.Kind == call.kind && object.Name == call.name && object.Version > call.replaced
}

// do sends a call to the address that was reached last, and tries the others in turn
// only if no connection can be made, so that a call is never sent twice. The response
// is decoded into answer.
func (storer *Storer) do(ctx context.Context, call call, answer any) error {
	var err error
	for range storer.addresses {
		current := storer.dialFailures.Load()
		address := storer.addresses[current%uint64(len(storer.addresses))]
		err = storer.send(ctx, address, call, answer)
		if err == nil || !isDialError(err) {
			return err
		}
		storer.dialFailures.CompareAndSwap(current, current+1)
	}
	if err == nil {
		return fail(call.operation, Rejected, "no address of the platform is configured")
	}
	return err
}

// isDialError reports whether a call failed before a connection was made.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

// send sends a call to one address and decodes the response into answer.
func (storer *Storer) send(ctx context.Context, address string, call call, answer any) error {
	request, err := http.NewRequestWithContext(ctx, call.method, address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return fail(call.operation, Rejected, "%w", err)
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.conditionHeader != "" {
		request.Header.Set(call.conditionHeader, call.conditionValue)
	}
	if storer.token != "" {
		request.Header.Set("Authorization", "Bearer "+storer.token)
	}
	response, err := storer.client.Do(request)
	if err != nil && isDialError(err) {
		return fail(call.operation, Rejected, "%w", err)
	}
	if err != nil {
		return fail(call.operation, Lost, "%w", err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read, so an error is of no use.
	return decodeResponse(call, response, answer)
}

// decodeResponse decodes a response into answer, or returns an Error whose kind follows
// from the status.
func decodeResponse(call call, response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fail(call.operation, Lost, "%w", err)
	}
	cause := &statusError{status: "platform: " + response.Status, retryAfter: retryAfter(response.Header)}
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		if err := json.Unmarshal(body, answer); err != nil {
			return fail(call.operation, Lost, "%w", err)
		}
		if object, ok := answer.(*Object); ok && !call.isAnsweredBy(object) {
			return fail(call.operation, Lost, "received %s %s at version %d for %s %s", object.Kind, object.Name, object.Version, call.kind, call.name)
		}
		return nil
	case status == http.StatusPreconditionFailed:
		return conflictError(call, body, answer, cause)
	case status == http.StatusNotFound:
		return fail(call.operation, Missing, "%w", cause)
	case status == http.StatusGone:
		return fail(call.operation, Gone, "%w", cause)
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return fail(call.operation, Rejected, "%w", cause)
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		return fail(call.operation, Refused, "%w", cause)
	default:
		return fail(call.operation, Lost, "%w", cause)
	}
}

// conflictError returns the error for a failed precondition, and decodes the current
// object into answer. Version 0 means that there is no object, so the kind is Missing;
// without a usable object in the body it is Lost.
func conflictError(call call, body []byte, answer any, cause error) error {
	object, ok := answer.(*Object)
	if !ok || json.Unmarshal(body, object) != nil {
		return fail(call.operation, Lost, "%w", cause)
	}
	if object.Version == 0 {
		return fail(call.operation, Missing, "%w", cause)
	}
	return fail(call.operation, Conflict, "%w", cause)
}

// retryAfter returns the wait that the Retry-After header asks for in whole seconds; 0
// if the header is missing or has another form.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

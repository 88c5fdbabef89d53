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

// maxAnswer bounds what is read of an answer, a list of objects included.
const maxAnswer = 64 << 20

// call is one call to the platform.
type call struct {
	operation string
	method    string
	path      string
	body      []byte
	// header and match are the condition of a write; empty for reads.
	header string
	match  string
}

// do makes a call at the address that worked last, and at the others when no
// connection can be made. A call is never sent twice.
func (storer *Storer) do(ctx context.Context, call call, answer any) error {
	var err error
	for range storer.addresses {
		current := storer.current.Load()
		address := storer.addresses[current%uint64(len(storer.addresses))]
		err = storer.send(ctx, address, call, answer)
		if err == nil || !unconnected(err) {
			return err
		}
		storer.current.CompareAndSwap(current, current+1)
	}
	if err == nil {
		return fail(call.operation, Rejected, "the platform has no address")
	}
	return err
}

// unconnected tells whether a call failed before a connection was made.
func unconnected(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

func (storer *Storer) send(ctx context.Context, address string, call call, answer any) error {
	request, err := http.NewRequestWithContext(ctx, call.method, address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return fail(call.operation, Rejected, "%w", err)
	}
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.header != "" {
		request.Header.Set(call.header, call.match)
	}
	if storer.token != "" {
		request.Header.Set("Authorization", "Bearer "+storer.token)
	}
	response, err := storer.client.Do(request)
	if err != nil && unconnected(err) {
		return fail(call.operation, Rejected, "%w", err)
	}
	if err != nil {
		return fail(call.operation, Lost, "%w", err)
	}
	defer response.Body.Close() //nolint:errcheck // A body that was read has nothing more to tell.
	return receive(call, response, answer)
}

// receive turns an answer into a value or a typed error.
func receive(call call, response *http.Response, answer any) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return fail(call.operation, Lost, "%w", err)
	}
	cause := &delayed{status: "platform: " + response.Status, retryAfter: retryAfter(response.Header)}
	switch status := response.StatusCode; {
	case status == http.StatusOK:
		if err := json.Unmarshal(body, answer); err != nil {
			return fail(call.operation, Lost, "%w", err)
		}
		return nil
	case status == http.StatusPreconditionFailed:
		return conflict(call, body, answer, cause)
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

// conflict returns the object that stands in the way, if there is one.
func conflict(call call, body []byte, answer any, cause error) error {
	object, ok := answer.(*Object)
	if !ok || json.Unmarshal(body, object) != nil {
		return fail(call.operation, Lost, "%w", cause)
	}
	if object.Version == 0 {
		return fail(call.operation, Missing, "%w", cause)
	}
	return fail(call.operation, Conflict, "%w", cause)
}

// retryAfter returns the wait that an answer asks for, in whole seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

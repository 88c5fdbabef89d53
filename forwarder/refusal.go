package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Reason is why a request ended as it did.
type Reason string

const (
	// Served means that an upstream's answer was delivered whole.
	Served Reason = "served"
	// Malformed means that the request breaks the protocol.
	Malformed Reason = "malformed"
	// Unconfigured means that no configuration or list of upstreams is known yet.
	Unconfigured Reason = "unconfigured"
	// UnknownRule means that no rule matches.
	UnknownRule Reason = "unknownRule"
	// UnknownKey means that no organisation holds the key.
	UnknownKey Reason = "unknownKey"
	// Unconfirmed means that the configuration was not confirmed lately enough to
	// honour a key, or to say that a rule or key is unknown.
	Unconfirmed Reason = "unconfirmed"
	// TooLarge means that the body is above the bound.
	TooLarge Reason = "tooLarge"
	// Overloaded means that this node holds too many bytes of requests.
	Overloaded Reason = "overloaded"
	// Stopping means that this node is about to stop.
	Stopping Reason = "stopping"
	// NoUpstream means that no upstream could be tried.
	NoUpstream Reason = "noUpstream"
	// Full means that the upstreams tried had no room.
	Full Reason = "full"
	// Saturated means that every upstream would have served it late, and others with it.
	Saturated Reason = "saturated"
	// Limited means that the limits of all upstreams are used up.
	Limited Reason = "limited"
	// BackingOff means that all upstreams have asked for a backoff.
	BackingOff Reason = "backingOff"
	// HeldOff means that upstreams ended under this request, which is sent to no more.
	HeldOff Reason = "heldOff"
	// TimedOut means that the time ran out.
	TimedOut Reason = "timedOut"
	// Broken means that the answer was lost, spoilt or broken off.
	Broken Reason = "broken"
	// Left means that the caller went away.
	Left Reason = "left"
)

// status returns the status that a reason is refused with when no upstream can
// have run the request.
func (reason Reason) status() int {
	switch reason {
	case Malformed:
		return http.StatusBadRequest
	case UnknownRule:
		return http.StatusNotFound
	case UnknownKey:
		return http.StatusUnauthorized
	case TooLarge:
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

// failedStatus returns the status when an upstream may have run the request.
func (reason Reason) failedStatus() int {
	if reason == TimedOut {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// The times after which a refused caller may come back. One that this node
// cannot serve finds another node at once; one for which no upstream has room
// would find the same everywhere.
const (
	// returnSpread is the part of a pause by which callers are spread over time.
	returnSpread   = 0.25
	elsewherePause = 50 * time.Millisecond
	fullPause      = 300 * time.Millisecond
)

func (reason Reason) pause() time.Duration {
	if reason == Full || reason == NoUpstream || reason == Limited || reason == BackingOff {
		return fullPause
	}
	return elsewherePause
}

// refusalBody is what a refused caller is told.
type refusalBody struct {
	Error Reason `json:"error"`
	// Identity names the request to operators, Text tells why; both for HeldOff alone.
	Identity string `json:"identity,omitempty"`
	Text     string `json:"text,omitempty"`
}

// heldOffText tells callers why their request is refused while others are served.
const heldOffText = "upstreams ended one after the other while they ran this request; it is not sent to another until the time given by Retry-After, or until an operator lifts this"

// writeRefusal answers with a status of our own. A status of 503 promises that
// the request did not and will not run.
func (passage *passage) writeRefusal(status int, reason Reason) {
	header := passage.writer.Header()
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(passage.returnAfter(reason).Seconds(), 'f', 3, 64))
	}
	told := refusalBody{Error: reason}
	if reason == HeldOff {
		told.Identity, told.Text = passage.result.Identity.String(), heldOffText
	}
	body, err := json.Marshal(told)
	if err != nil {
		body = nil // Texts always have a form in JSON.
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	passage.writer.WriteHeader(status)
	_, _ = passage.writer.Write(body) // A caller that has left is noticed by the server.
}

package forwarder

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"limpetcleat/logger"
)

// Reason tells how a request ended: Served, or why it was refused or failed.
type Reason string

const (
	// Served means that an upstream's answer was delivered completely.
	Served Reason = "served"
	// Malformed means that the request violates the protocol.
	Malformed Reason = "malformed"
	// Unconfigured means that no configuration or list of upstreams is known yet.
	Unconfigured Reason = "unconfigured"
	// UnknownRule means that no rule matches the request.
	UnknownRule Reason = "unknownRule"
	// UnknownKey means that no organisation holds the key.
	UnknownKey Reason = "unknownKey"
	// Unconfirmed means that the configuration was not confirmed recently enough to accept
	// a key, or to reject a rule or key as unknown.
	Unconfirmed Reason = "unconfirmed"
	// TooLarge means that the body exceeds its size limit.
	TooLarge Reason = "tooLarge"
	// Overloaded means that the request bodies held by this node are at their limit, and none
	// of them ended in time.
	Overloaded Reason = "overloaded"
	// Stopping means that this node is shutting down.
	Stopping Reason = "stopping"
	// NoUpstream means that there was no upstream left to send to, or none was reachable.
	NoUpstream Reason = "noUpstream"
	// Full means that the upstreams tried had no capacity left, or that the retry budget is
	// used up.
	Full Reason = "full"
	// Saturated means that every upstream would have served the request late and delayed
	// other requests.
	Saturated Reason = "saturated"
	// Limited means that the rate limits of all upstreams are used up.
	Limited Reason = "limited"
	// BackingOff means that all upstreams have asked for a backoff by Retry-After.
	BackingOff Reason = "backingOff"
	// Confined means that no upstream may serve the request: all are outside the regions to
	// which it is confined, or in data centres that are evacuated.
	Confined Reason = "confined"
	// HeldOff means that several upstreams ended while they ran this request, so that it is
	// not sent to further ones.
	HeldOff Reason = "heldOff"
	// VersionUnknown means that the caller takes up a stream of which no node that could be asked knows
	// the software version that began it.
	VersionUnknown Reason = "versionUnknown"
	// VersionGone means that no upstream of the software version that began the stream is left.
	VersionGone Reason = "versionGone"
	// VersionUnrecorded means that no stream may begin at the software versions of the upstreams, since the store
	// is not known to have their entries.
	VersionUnrecorded Reason = "versionUnrecorded"
	// TimedOut means that the time limit of the request passed.
	TimedOut Reason = "timedOut"
	// Broken means that the answer was lost, invalid or cut off.
	Broken Reason = "broken"
	// Stalled means that the caller read nothing of its stream for too long.
	Stalled Reason = "stalled"
	// Left means that the caller disconnected.
	Left Reason = "left"
	// Cut means that this node closed the caller's connection at the end of a planned stop.
	Cut Reason = "cut"
)

// disconnected reports whether nobody can read an answer any more, or only a caller that has closed its
// sending direction.
func (reason Reason) disconnected() bool { return reason == Left || reason == Cut }

// status returns the HTTP status of a refusal when no upstream can have run the request.
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

// failedStatus returns the HTTP status of a failure when an upstream may have run the
// request.
func (reason Reason) failedStatus() int {
	if reason == TimedOut {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// The times after which a refused caller may retry. A caller that only this node cannot serve
// is served by another node at once. One for which no upstream has capacity would be refused
// by every node.
const (
	// retryAfterSpread is the fraction of the delay that is randomised.
	retryAfterSpread = 0.25
	otherNodeDelay   = 50 * time.Millisecond
	noRoomDelay      = 300 * time.Millisecond
)

// retryDelay returns the default time after which a refused caller may retry.
func (reason Reason) retryDelay() time.Duration {
	switch reason {
	case Full, NoUpstream, Limited, BackingOff, Confined, VersionGone, VersionUnrecorded:
		return noRoomDelay
	default:
		return otherNodeDelay
	}
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error Reason `json:"error"`
	// Identity identifies what is held off to operators, the request or a part of its prompt, and
	// Text explains the refusal; both are
	// set for HeldOff only.
	Identity string `json:"identity,omitempty"`
	Text     string `json:"text,omitempty"`
}

// heldOffText explains to callers why this request is refused while others are served.
const heldOffText = "upstreams ended one after the other while they ran this request, or others with a part of its prompt; it is not sent to another until the time given by Retry-After, or until an operator lifts this"

// writeRefusal answers the caller with a status of this product, not of an upstream. A status
// of 503 promises that the request has not run and will not.
func (exchange *exchange) writeRefusal(status int, reason Reason) {
	header := exchange.writer.Header()
	header.Set("Content-Type", "application/json")
	if status == http.StatusServiceUnavailable {
		header.Set("Retry-After", strconv.FormatFloat(exchange.retryAfter(reason).Seconds(), 'f', 3, 64))
	}
	refusal := refusalBody{Error: reason}
	if reason == HeldOff {
		refusal.Identity, refusal.Text = exchange.result.Culprit.String(), heldOffText
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		body = nil // Cannot happen: strings always encode.
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	exchange.writer.WriteHeader(status)
	_, _ = exchange.writer.Write(body) // The server notices a caller that has disconnected.
}

// fail answers a request that was admitted but not served, or aborts its begun stream.
func (exchange *exchange) fail(reason Reason) {
	switch {
	case exchange.stream.headWritten.Load():
		exchange.result.Status = 0
		exchange.result.Reason = reason
		exchange.abort()
	case reason.disconnected() && exchange.result.MayHaveRun:
		exchange.abort()
	case reason.disconnected():
		// A caller that has only closed its sending direction still reads the refusal.
		exchange.writeRefusal(reason.status(), reason)
	case exchange.upstreamFailure != nil:
		exchange.deliver(exchange.upstreamFailure)
	case exchange.result.MayHaveRun:
		exchange.respond(reason.failedStatus(), reason)
	default:
		exchange.respond(reason.status(), reason)
	}
}

// refuse answers a request that was not admitted.
func (exchange *exchange) refuse(reason Reason) {
	exchange.result.Reason = reason
	if reason == TooLarge || reason == Malformed || reason == Stopping {
		// The rest of the body stays unread, so the connection cannot be reused. Without this
		// header the server would wait for the rest before it writes the refusal.
		exchange.writer.Header().Set("Connection", "close")
	}
	exchange.respond(reason.status(), reason)
}

// respond records the status and answers the caller with a refusal.
func (exchange *exchange) respond(status int, reason Reason) {
	exchange.result.Status = status
	exchange.result.First = time.Since(exchange.arrivedAt)
	// The write deadline may have passed, if the body came late or the process was suspended.
	_ = http.NewResponseController(exchange.writer).SetWriteDeadline(time.Now().Add(writeMargin))
	exchange.writeRefusal(status, reason)
}

// retryAfter returns after what time a refused caller should retry. The time is randomised,
// so that callers that were refused together do not return together.
func (exchange *exchange) retryAfter(reason Reason) time.Duration {
	if reason == HeldOff {
		// The time is never shortened: before it has passed, a retry would be refused again.
		return time.Duration((1 + retryAfterSpread*exchange.forwarder.random()) * float64(exchange.holdLeft))
	}
	if exchange.retryDelay == 0 {
		return reason.retryDelay()
	}
	spread := 1 - retryAfterSpread*exchange.forwarder.random()
	return max(time.Duration(spread*float64(exchange.retryDelay)), otherNodeDelay)
}

// abort closes the caller's connection in the middle of an answer, so that the caller does
// not take the answer for complete.
func (exchange *exchange) abort() {
	conn, _, err := http.NewResponseController(exchange.writer).Hijack()
	if err != nil {
		exchange.forwarder.log(logger.EventAnswerUndelivered, "request", exchange.call.Attempt, "cause", err)
		return
	}
	_ = conn.Close() // The connection is dropped whether or not this fails.
}

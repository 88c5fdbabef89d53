package forwarder

import (
	"net/http"
	"time"

	"limpetcleat/definer"
	"limpetcleat/interpreter"
	"limpetcleat/selector"
)

// Call holds what the headers of a caller's request say.
type Call struct {
	// Attempt is the caller's id of this request; each retry by the caller has a new one.
	Attempt string
	// Key is the caller's secret API key; it is never logged or forwarded.
	Key string
	// TimeLeft is how long the caller will wait; valid only if HasTimeLeft is set.
	TimeLeft    time.Duration
	HasTimeLeft bool
	// PromptTokens is the length of the prompt in tokens; 0 if unknown.
	PromptTokens int
	// OutputTokens is the maximum length of the answer in tokens; 0 if unknown.
	OutputTokens int
	// Parts are the parts of the prompt in order; the last one belongs to this request alone.
	Parts []selector.Part
	// LastEvent is the id of the last event that the caller received of a stream it resumes; empty
	// if it resumes none. Resumes is the Attempt of the request that brought the first event.
	LastEvent string
	Resumes   string
}

// shared returns the parts of the prompt that other requests may have in common with this
// one: all but the last.
func (call *Call) shared() []selector.Part {
	if len(call.Parts) == 0 {
		return nil
	}
	return call.Parts[:len(call.Parts)-1]
}

// Send holds what an upstream is told about one send, in addition to the caller's request.
type Send struct {
	Upstream     definer.UpstreamName
	Organisation definer.OrganisationName
	TimeLeft     time.Duration
	// Engine is set for model runners, which schedule by Urgency; 0 is the most urgent.
	Engine  bool
	Urgency int
	// LastEvent is the id of the last event that the caller received; empty at the start of
	// a stream.
	LastEvent string
}

// Statement holds what the head of an upstream's answer says about the answer and its
// upstream.
type Statement struct {
	// Signed tells that the answer has the upstream's signature.
	Signed bool
	// NotRun tells that the upstream promises that it has not run the request and will not.
	NotRun bool
	// Attempt is the Call.Attempt of the request that the answer names; empty if it names none.
	Attempt string
	// Intact tells that the body is as the upstream produced it, without a further encoding.
	Intact bool
	// Announcement holds the rate limit and the backoff that the upstream announces, and
	// whether it is leaving.
	Announcement interpreter.Announcement
}

// Protocol decodes and encodes the headers that callers, nodes and upstreams exchange.
type Protocol interface {
	// Decode returns what the headers of a caller's request say. It returns an error if the
	// request violates the protocol.
	Decode(request *http.Request) (Call, error)
	// Encode sets the headers of a send to an upstream. It removes those that only this
	// product may set.
	Encode(header http.Header, call *Call, send Send)
	// IsAnswerTo reports whether an answer is the one to the call.
	IsAnswerTo(status int, header http.Header, call *Call) bool
	// IsHealthy reports whether an answer states that the upstream, and no other one, is healthy and not leaving.
	IsHealthy(status int, header http.Header, upstream definer.UpstreamName) bool
	// DecodeAnswer returns what the head of an answer says.
	DecodeAnswer(status int, header http.Header) Statement
}

package forwarder

import (
	"net/http"
	"time"

	"limpetcleat/definer"
	"limpetcleat/interpreter"
	"limpetcleat/selector"
)

// Call is what a caller's request says of itself.
type Call struct {
	// Attempt is the caller's id of this request, new with each of its retries.
	Attempt string
	// Key is the caller's secret; it is never logged or passed on.
	Key string
	// TimeLeft is how long the caller will wait, if HasTimeLeft is set.
	TimeLeft    time.Duration
	HasTimeLeft bool
	// PromptTokens counts the prompt; 0 is unknown.
	PromptTokens int
	// OutputTokens is the most that the answer may have; 0 is unknown.
	OutputTokens int
	// Parts are the parts of the prompt in order, the request's own last.
	Parts []selector.Part
	// LastEvent is the last event that the caller has of a stream it resumes.
	LastEvent string
}

// shared returns the parts that other requests may have as well.
func (call *Call) shared() []selector.Part {
	if len(call.Parts) == 0 {
		return nil
	}
	return call.Parts[:len(call.Parts)-1]
}

// Send is what an upstream is told of one send beside the caller's request.
type Send struct {
	Upstream     definer.UpstreamName
	Organisation definer.OrganisationName
	TimeLeft     time.Duration
	// Engine is set for model runners, which honour Urgency; 0 goes first.
	Engine  bool
	Urgency int
	// LastEvent is the last event that the caller has; empty at a stream's start.
	LastEvent string
}

// Statement is what an upstream's answer states of itself.
type Statement struct {
	// Signed answers bear the upstream's signature.
	Signed bool
	// NotRun answers promise that the request did not and will not run.
	NotRun bool
	// Intact answers have the body as the upstream made it.
	Intact bool
	// Announcement is what it says of how its upstream wants to be asked.
	Announcement interpreter.Announcement
}

// Protocol reads and writes what callers, nodes and upstreams say in headers.
type Protocol interface {
	// Decode returns what a caller's request says; the error means that the
	// request breaks the protocol.
	Decode(request *http.Request) (Call, error)
	// Encode sets what an upstream is told; it removes what only this product may
	// set.
	Encode(header http.Header, call *Call, send Send)
	// Belongs tells whether an answer is to the call.
	Belongs(status int, header http.Header, call *Call) bool
	// Judge returns what an answer states of itself.
	Judge(status int, header http.Header) Statement
}

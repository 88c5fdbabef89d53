package forwarder

import (
	"net/http"
	"strconv"
	"time"

	"limpetcleat/definer"
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
	// Limit is what the upstream takes from all nodes together; it holds until an answer
	// says otherwise.
	Limit definer.RateLimit
	// Leaving is set by an upstream that is about to end and is to be sent nothing more.
	Leaving bool
	// Rest is how long an upstream that turned the request away wants nothing from this
	// node; 0 is not said.
	Rest time.Duration
	// Unreadable names the headers that say something of this kind in a form that cannot
	// be read, with what stands there; such a header is passed over.
	Unreadable string
}

// maxUnreadable bounds what is kept of headers that cannot be read, in bytes.
const maxUnreadable = 200

// AddUnreadable notes a header that cannot be read.
func (statement *Statement) AddUnreadable(name, value string) {
	if statement.Unreadable != "" {
		statement.Unreadable += ", "
	}
	statement.Unreadable += name + ": " + strconv.Quote(value)
	if len(statement.Unreadable) > maxUnreadable {
		statement.Unreadable = statement.Unreadable[:maxUnreadable]
	}
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

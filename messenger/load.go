package messenger

import (
	"time"

	"limpetcleat/definer"
)

// UpstreamLoad is what the sender's requests put on one upstream.
type UpstreamLoad struct {
	Upstream definer.UpstreamName
	// InFlight counts the requests that were sent and have not ended.
	InFlight int
	// Tokens counts what they may take of an engine's memory.
	Tokens int
	// Heard is how long ago anything came from it; HasHeard tells whether anything
	// did.
	Heard    time.Duration
	HasHeard bool
	// Unread counts the prompt tokens of those without a first event.
	Unread int
}

// KindWork is what the requests of one rule took of a service's engines, and how
// long their prompts are, in sums that fade.
type KindWork struct {
	Service definer.PoolName
	Rule    string
	Work    time.Duration
	// PromptTokens over Requests is the mean length of a prompt.
	PromptTokens float64
	Requests     float64
}

// PartsRead tells that an engine has read shared parts of a prompt, and so holds
// them.
type PartsRead struct {
	Upstream definer.UpstreamName
	// Parts are the names of the parts, in the prompt's order.
	Parts []string
}

// LoadReport tells a peer what the sender's own requests do to the upstreams. It
// replaces the sender's report before.
type LoadReport struct {
	Loads []UpstreamLoad
	Kinds []KindWork
	// Reads are those since the sender's report before.
	Reads []PartsRead
}

func (loadReport *LoadReport) place(frame *Frame) { frame.LoadReport = loadReport }

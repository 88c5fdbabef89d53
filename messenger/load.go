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

// LoadReport tells a peer what the sender's own requests do to the upstreams. It
// replaces the sender's report before.
type LoadReport struct {
	Loads []UpstreamLoad
	Kinds []KindWork
}

func (loadReport *LoadReport) place(frame *Frame) { frame.LoadReport = loadReport }

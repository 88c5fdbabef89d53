package scheduler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Ask is one request for a slot.
type Ask struct {
	// Request and Attempt together identify the ask.
	Request definer.RequestID
	Attempt int
	// Entry is the member that will use the slot.
	Entry        definer.Member
	Class        *definer.Class
	Organisation definer.OrganisationName
	// Weight is the organisation's relative share within its tier; it is above 0.
	Weight float64
	Model  string
	// PromptTokens and OutputTokens are estimates; an OutputTokens of 0 means unknown.
	PromptTokens int
	OutputTokens int
	// Arrival is when the request reached its entry VM.
	Arrival time.Time
	// Deadline is the zero time for a request without a deadline.
	Deadline time.Time
	// Prefix is a hash of the beginning of the prompt; 0 means none.
	Prefix uint64
	// Exclude lists the upstreams that already failed this request.
	Exclude []definer.UpstreamName
}

// Decision is the result of one ask: a grant or a refusal.
type Decision struct {
	Ask Ask
	// Grant is empty when the ask is refused.
	Grant    definer.GrantID
	Upstream definer.UpstreamName
	// Priority is sent to the engine; 0 is the most urgent. The priorities of
	// adjacent tiers differ by two; the value between them is for work within the
	// floor of its class.
	Priority int
	// Preemptible allows the engine to pause the request for a more urgent one.
	Preemptible bool
	// Reason is empty when the ask is granted.
	Reason messenger.RefusalReason
	// RetryAfter is how long a refused caller should wait before it asks again.
	RetryAfter time.Duration
}

// Granted reports whether the decision is a grant.
func (decision Decision) Granted() bool { return decision.Grant != "" }

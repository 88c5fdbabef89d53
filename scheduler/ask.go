package scheduler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Ask is one request that wants a slot.
type Ask struct {
	// Request and Attempt together identify the ask.
	Request definer.RequestID
	Attempt int
	// Entry is the member that will use the slot.
	Entry        definer.Member
	Class        *definer.Class
	Organisation definer.OrganisationName
	// Weight is the organisation's share within its tier; above 0.
	Weight float64
	Model  string
	// PromptTokens and OutputTokens are estimates; OutputTokens 0 is unknown.
	PromptTokens int
	OutputTokens int
	// Arrival is when the request reached its entry VM.
	Arrival time.Time
	// Deadline is zero when there is none.
	Deadline time.Time
	// Prefix is a hash of the prompt's beginning; 0 is none.
	Prefix uint64
	// Exclude lists upstreams that failed this request before.
	Exclude []definer.UpstreamName
}

// Decision is what became of one ask: a grant or a refusal.
type Decision struct {
	Ask Ask
	// Grant is empty when the ask is refused.
	Grant    definer.GrantID
	Upstream definer.UpstreamName
	// Priority is what the engine is told; 0 is the most urgent. Tiers are two
	// apart; work that is part of its class's floor stands between them.
	Priority int
	// Preemptible lets the engine pause the request for a more urgent one.
	Preemptible bool
	// Reason is empty when the ask is granted.
	Reason     messenger.RefusalReason
	RetryAfter time.Duration
}

// Granted tells whether the decision is a grant.
func (decision Decision) Granted() bool { return decision.Grant != "" }

package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// Part is one part of a prompt. Parts with the same ID have the same tokens.
type Part struct {
	ID     string
	Tokens int
}

// Demand describes a request for which an upstream is to be chosen.
type Demand struct {
	// Service and Rule are the names of the service and of the rule.
	Service definer.PoolName
	Rule    string
	// Tier is the rule's priority; 0 is the highest.
	Tier int
	// Candidates are the upstreams of the service that may be sent requests.
	Candidates []*registrar.Upstream
	// Tried holds the upstreams that the request was sent to before.
	Tried map[definer.UpstreamName]bool
	// Asked is set if an upstream was chosen before for the same send, which did not take place.
	Asked bool
	// Engine is set if the service's upstreams are engines (model runners).
	Engine bool
	// Parts are the leading parts of the prompt that it shares with other requests, in order.
	Parts []Part
	// PromptTokens is the number of tokens in the whole prompt.
	PromptTokens int
	// OutputTokens is the maximum number of tokens in the answer; 0 is unknown.
	OutputTokens int
	// CacheTokens is the KV cache size of the service's engines in tokens; 0 is unknown.
	CacheTokens int
	// Objective is the latency objective for the first event, from now on; 0 is none.
	Objective time.Duration
	// GapObjective is the objective for the longest pause between two events of the answer; 0 is
	// none.
	GapObjective time.Duration
	// TimeLeft is how long the caller will still wait for the whole answer.
	TimeLeft time.Duration
	// WarmUp describes how the upstreams of the service warm up after a start.
	WarmUp definer.WarmUp
	// NeedsPlace is set if a request to any of the candidates needs a permit that is in use until
	// the request ends.
	NeedsPlace bool
	// WithoutPermit excludes the upstreams to which a request needs a permit.
	WithoutPermit bool
	// MaxPermitWait is the longest time that the request may wait for a permit.
	MaxPermitWait time.Duration
	// Deferrable requests may be queued behind all others at an engine when they would miss
	// their objective anyway.
	Deferrable bool
	// BeyondShare is set for a request that exceeds its organisation's share while capacity is
	// short. If it is deferrable, it is queued behind all others and refused first.
	BeyondShare bool
	// Draw is a random number from 0 to below 1, by which one of several candidates of like cost
	// is picked; 0 picks the cheapest.
	Draw float64
	// Idempotent requests may be sent twice, and therefore to an upstream that failed lately.
	Idempotent bool
}

// sharedTokens returns the number of tokens in the shared parts.
func (demand *Demand) sharedTokens() int {
	total := 0
	for _, part := range demand.Parts {
		total += part.Tokens
	}
	return total
}

// tokens returns the number of tokens that the request may occupy in an engine's KV cache.
func (demand *Demand) tokens() int { return demand.PromptTokens + demand.OutputTokens }

// subject returns the ID of the last shared part, empty if there is none. Requests with the
// same subject are sent to the same engine where possible.
func (demand *Demand) subject() string {
	if len(demand.Parts) == 0 {
		return ""
	}
	return demand.Parts[len(demand.Parts)-1].ID
}

package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// Part is one part of a prompt; the same ID stands for the same tokens.
type Part struct {
	ID     string
	Tokens int
}

// Demand is what a request asks of an upstream.
type Demand struct {
	// Service and Kind name the service and the rule.
	Service definer.PoolName
	Kind    string
	// Tier is the rule's rank; 0 is the highest.
	Tier int
	// Candidates are the upstreams of its service that may get requests.
	Candidates []*registrar.Upstream
	// Tried holds those that the request was sent to before.
	Tried map[definer.UpstreamName]bool
	// Engine is set for model runners.
	Engine bool
	// Parts are the parts of the prompt that requests share, in order, without
	// the request's own.
	Parts []Part
	// PromptTokens counts the whole prompt.
	PromptTokens int
	// OutputTokens is the most that the answer may have; 0 is unknown.
	OutputTokens int
	// CacheTokens is the memory of the service's engines; 0 is unknown.
	CacheTokens int
	// Objective is within what time from now the first event is aimed for; 0 is none.
	Objective time.Duration
	// TimeLeft is how long the caller still waits for the whole answer.
	TimeLeft time.Duration
	// Patience is how long the request may wait for a permit of an upstream with a limit.
	Patience time.Duration
	// Deferrable requests may be put behind all others of the service when they would
	// be late anyway.
	Deferrable bool
	// Idempotent requests may be risked on an upstream that failed lately.
	Idempotent bool
}

// sharedTokens counts the tokens of the shared parts.
func (demand *Demand) sharedTokens() int {
	total := 0
	for _, part := range demand.Parts {
		total += part.Tokens
	}
	return total
}

// tokens counts what the request may take of an engine's memory.
func (demand *Demand) tokens() int { return demand.PromptTokens + demand.OutputTokens }

// subject returns the deepest shared part, by which like requests are kept
// together; empty when there is none.
func (demand *Demand) subject() string {
	if len(demand.Parts) == 0 {
		return ""
	}
	return demand.Parts[len(demand.Parts)-1].ID
}

package router

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
)

// Definition is a complete configuration before it is validated and indexed.
type Definition struct {
	// Version increases with each accepted change.
	Version uint64
	// Rules are in order; the first one that matches a request applies.
	Rules         []Rule
	Services      []Service
	Organisations []Organisation
	// KeysRequired is set if requests need a key even while no organisation is listed. They always do while
	// one is.
	KeysRequired bool
	Limits       Limits
}

// Repetition tells whether a request may run more than once.
type Repetition int

const (
	// AtMostOnce forbids a second run of a request.
	AtMostOnce Repetition = iota
	// Idempotent allows any number of runs.
	Idempotent
)

// Rule sends the requests of one host and path prefix to a service.
type Rule struct {
	// Name is unique in a definition.
	Name string
	// Host is in lower case and without a port.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Targets is never empty; one of them is picked at random by weight.
	Targets []Target
	// Repetition tells whether a second run is allowed.
	Repetition Repetition
	// Streamed tells that answers are streams of server-sent events.
	Streamed bool
	// Resumable tells that a broken stream may be resumed at another upstream.
	Resumable bool
	// Timeout bounds how long a request may wait for its answer; 0 is no timeout.
	Timeout time.Duration
	// Objective is the latency objective: the target for the time to the answer, or to the
	// first event of a stream.
	Objective time.Duration
	// GapObjective is the target for the longest pause between two events of a stream; 0 is
	// none.
	GapObjective time.Duration
	// Tier is the priority tier; 0 is the highest.
	Tier int
	// MaxAttempts bounds how often one request may be sent to upstreams; at least 1.
	MaxAttempts int
	// Public tells that requests need no key.
	Public bool
	// Regions are the regions in which requests may be served; empty means all.
	Regions []definer.Region
	// SharesPrefixes tells that prompts have parts in common which upstreams may have cached.
	SharesPrefixes bool
}

// Idempotent reports whether a request may run more than once.
func (rule *Rule) Idempotent() bool {
	return rule.Repetition == Idempotent || rule.Streamed && rule.Resumable
}

// Target is a service with the weight of its share of a rule's requests.
type Target struct {
	Service definer.PoolName
	// Weight is above 0.
	Weight float64
}

// Service is a group of upstreams that can serve the same requests.
type Service struct {
	Name definer.PoolName
	// Engine tells that the upstreams are model runners.
	Engine bool
	// CacheTokens is the size of an engine's KV cache in tokens.
	CacheTokens int
	// HealthPath is the path under which each upstream states whether it is healthy; empty if none does.
	HealthPath string
	// MaxConnections is the number of connections that each upstream accepts from all nodes together; 0
	// means without limit.
	MaxConnections int
	// WarmUp describes how upstreams of the service warm up after a start.
	WarmUp definer.WarmUp
	// Scaling is set if upstreams of the service may be added and removed automatically.
	Scaling *Scaling
}

// Scaling holds the bounds and prices for adding upstreams to a service.
type Scaling struct {
	// Least and Most bound the number of upstreams in each data centre, spot and ordinary
	// ones together.
	Least int
	Most  int
	// Boot is how long an upstream takes to start.
	Boot time.Duration
	// SpotPrice is the price of spot upstreams, which may be reclaimed, as a fraction of the
	// ordinary price; 0 if there are no spot upstreams.
	SpotPrice float64
	// Prices are the prices of one second of an ordinary upstream, by data centre.
	Prices map[definer.DataCentre]float64
}

// DataCentres returns the data centres where upstreams may be added, sorted.
func (scaling *Scaling) DataCentres() []definer.DataCentre {
	return slices.Sorted(maps.Keys(scaling.Prices))
}

// Organisation is one customer with its keys.
type Organisation struct {
	Name definer.OrganisationName
	Keys []string
	// Tier overrides the tier of a rule; valid only if HasTier is set.
	Tier    int
	HasTier bool
	// Regions are the regions in which the organisation's requests may be served; empty means
	// all. A request has to satisfy those of its rule as well.
	Regions []definer.Region
	// Weight is the organisation's part of capacity that is short, relative to others; 0 counts
	// as 1.
	Weight float64
}

// Limits bounds what a caller may send.
type Limits struct {
	// MaxBodyBytes is the maximum size of a request's body in bytes; 0 means the default.
	MaxBodyBytes int64
}

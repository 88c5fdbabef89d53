package router

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
)

// Definition is a whole configuration before it is checked and indexed.
type Definition struct {
	// Version grows with each accepted change.
	Version uint64
	// Rules are in order; the first that matches a request counts.
	Rules         []Rule
	Services      []Service
	Organisations []Organisation
	Limits        Limits
}

// Repetition tells how often a request may run.
type Repetition int

const (
	// AtMostOnce forbids a second run.
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
	// Targets is never empty; one of them is drawn by weight.
	Targets []Target
	// Repetition tells whether a second run is allowed.
	Repetition Repetition
	// Streamed answers are series of events.
	Streamed bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	// Timeout bounds how long a request may wait for its answer; 0 is none.
	Timeout time.Duration
	// Objective is the latency, for streams to the first event, that is aimed at.
	Objective time.Duration
	// GapObjective is the longest pause between two events that is aimed at; 0 is
	// none.
	GapObjective time.Duration
	// Tier is the rank; 0 is the highest.
	Tier int
	// MaxAttempts bounds the upstreams that one request may be sent to; at least 1.
	MaxAttempts int
	// Public rules ask for no key.
	Public bool
	// SharesPrefixes tells that prompts have parts that upstreams may have cached.
	SharesPrefixes bool
}

// Idempotent tells whether a request may run more than once.
func (rule *Rule) Idempotent() bool {
	return rule.Repetition == Idempotent || rule.Streamed && rule.Resumable
}

// Target is a service with its share of a rule's requests.
type Target struct {
	Service definer.PoolName
	// Weight is above 0.
	Weight float64
}

// Service is a group of upstreams that can serve the same requests.
type Service struct {
	Name definer.PoolName
	// Engine is set for model runners.
	Engine bool
	// CacheTokens is the memory of an engine in tokens.
	CacheTokens int
	// Scaling is set if upstreams of the service may be ordered.
	Scaling *Scaling
}

// Scaling is what upstreams of a service may be ordered by.
type Scaling struct {
	// Least and Most bound those of each data centre, of both kinds together.
	Least int
	Most  int
	// Boot is how long one takes to start.
	Boot time.Duration
	// SpotPrice is the price of upstreams that may be reclaimed, as a part of that of
	// others; 0 is when there are none.
	SpotPrice float64
	// Prices are those of one second of an ordinary upstream, by data centre.
	Prices map[definer.DataCentre]float64
}

// DataCentres returns where upstreams may be ordered, sorted.
func (scaling *Scaling) DataCentres() []definer.DataCentre {
	return slices.Sorted(maps.Keys(scaling.Prices))
}

// Organisation is one customer with its keys.
type Organisation struct {
	Name definer.OrganisationName
	Keys []string
	// Tier goes before a rule's when HasTier is set.
	Tier    int
	HasTier bool
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes is in bytes; 0 leaves the default.
	MaxBodyBytes int64
}

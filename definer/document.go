package definer

// The types in this file are the stored form of a configuration, as operators
// write it and as the platform stores it. Their fields are exported for
// encoding/json; other code reads the validated Configuration.

// Document is the stored form of a Configuration.
type Document struct {
	Classes       []ClassDocument        `json:"classes"`
	Pools         []PoolDocument         `json:"pools"`
	Organisations []OrganisationDocument `json:"organisations"`
	Rules         []RuleDocument         `json:"rules"`
	Limits        LimitsDocument         `json:"limits"`
}

// ClassDocument is the stored form of a Class.
type ClassDocument struct {
	Name string `json:"name"`
	// Tier is the priority of the class; 0 is the highest.
	Tier int `json:"tier"`
	// Protected excludes the class from load shedding and from preemption in
	// favour of a lower tier.
	Protected bool `json:"protected,omitempty"`
	// Preemptible allows an engine to pause requests of the class in favour of
	// a higher tier.
	Preemptible bool `json:"preemptible,omitempty"`
	// FirstTokenMs is the target for the time to the first token, in
	// milliseconds; 0 means no target.
	FirstTokenMs int `json:"firstTokenMs,omitempty"`
	// BetweenTokensMs is the target for the mean time between tokens, in
	// milliseconds.
	BetweenTokensMs int `json:"betweenTokensMs,omitempty"`
	// TotalMs is the target for the time to the complete response, in
	// milliseconds; 0 means no target.
	TotalMs int `json:"totalMs,omitempty"`
	// Attainment is the share of requests that must meet the targets.
	Attainment float64 `json:"attainment"`
	// FloorShare is the minimum share of a shard's slots that the class gets
	// while requests of it are queued.
	FloorShare float64 `json:"floorShare,omitempty"`
	// LongestWaitMs is the longest time that a request may stay queued, in
	// milliseconds.
	LongestWaitMs int `json:"longestWaitMs"`
}

// UpstreamDocument is the stored form of an Upstream.
type UpstreamDocument struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Address    string   `json:"address"`
	Models     []string `json:"models,omitempty"`
	// Slots is the initial limit on concurrent requests.
	Slots int `json:"slots"`
	// MaxSlots is the upper bound of the adaptive concurrency limit.
	MaxSlots int `json:"maxSlots,omitempty"`
	// Leaving marks an upstream that gets no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// PoolDocument is the stored form of a Pool.
type PoolDocument struct {
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// ProtectedShare is the share of slots reserved for protected classes.
	ProtectedShare float64 `json:"protectedShare,omitempty"`
	// PrefixAffinity routes prompts with a common prefix to the same engine,
	// load permitting.
	PrefixAffinity bool               `json:"prefixAffinity,omitempty"`
	Upstreams      []UpstreamDocument `json:"upstreams"`
}

// OrganisationDocument is the stored form of an Organisation.
type OrganisationDocument struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 hashes, in hexadecimal, of the organisation's
	// API keys.
	KeyHashes []string `json:"keyHashes"`
	// Weight is the share of the organisation relative to other organisations
	// of the same tier; 0 counts as 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond is the rate limit of the organisation at each entry VM;
	// 0 means no limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
}

// RuleDocument is the stored form of a Rule.
type RuleDocument struct {
	Name string `json:"name"`
	// When is the condition: an expression over the properties of a request.
	When string         `json:"when"`
	Then ActionDocument `json:"then"`
}

// ActionDocument is the stored form of the action of a Rule.
type ActionDocument struct {
	// Refuse, if not empty, refuses the request with this message.
	Refuse string `json:"refuse,omitempty"`
	Class  string `json:"class,omitempty"`
	Pool   string `json:"pool,omitempty"`
	// Repeat is "idempotent", "never" or "keyed".
	Repeat string `json:"repeat,omitempty"`
	// DeadlineMs is the time limit of the whole request, in milliseconds; 0
	// means no limit.
	DeadlineMs int `json:"deadlineMs,omitempty"`
	// LocalKeys lets a keyed request run without the platform, under a key that
	// is bound to the process which takes the request.
	LocalKeys bool `json:"localKeys,omitempty"`
}

// LimitsDocument is the stored form of the limits that apply to the whole system.
type LimitsDocument struct {
	// RetryShare is the retry budget as a share of the successful requests.
	RetryShare float64 `json:"retryShare"`
	// ClaimKeepMs is how long the response to a claimed Idempotency-Key is kept
	// for repeated requests, in milliseconds.
	ClaimKeepMs int `json:"claimKeepMs"`
}

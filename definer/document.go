package definer

// The types in this file are the stored form of a configuration, as operators
// write it and as the platform keeps it. Their fields are exported because the
// JSON codec needs it; all other code reads the checked Configuration.

// Document is a whole configuration in its stored form.
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
	// Tier is 0 for the highest precedence.
	Tier int `json:"tier"`
	// Protected classes are never shed or preempted for a lower tier.
	Protected bool `json:"protected,omitempty"`
	// Preemptible classes may be paused on an engine for a higher tier.
	Preemptible bool `json:"preemptible,omitempty"`
	// FirstTokenMs is the target for the first token, in milliseconds.
	FirstTokenMs int `json:"firstTokenMs,omitempty"`
	// BetweenTokensMs is the target for the mean time between tokens.
	BetweenTokensMs int `json:"betweenTokensMs,omitempty"`
	// TotalMs is the target for the whole answer, in milliseconds.
	TotalMs int `json:"totalMs,omitempty"`
	// Attainment is the share of requests that must meet the targets.
	Attainment float64 `json:"attainment"`
	// FloorShare is the share of a shard's slots this class gets at least
	// while it has work waiting.
	FloorShare float64 `json:"floorShare,omitempty"`
	// LongestWaitMs bounds the time a request of the class may queue.
	LongestWaitMs int `json:"longestWaitMs"`
}

// UpstreamDocument is the stored form of an Upstream.
type UpstreamDocument struct {
	Name       string   `json:"name"`
	DataCentre string   `json:"dataCentre"`
	Address    string   `json:"address"`
	Models     []string `json:"models,omitempty"`
	// Slots is the number of concurrent requests to begin with.
	Slots int `json:"slots"`
	// MaxSlots bounds the adaptive limit from above.
	MaxSlots int `json:"maxSlots,omitempty"`
	// Leaving upstreams get no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// PoolDocument is the stored form of a Pool.
type PoolDocument struct {
	Name string `json:"name"`
	// Kind is "engine" or "service".
	Kind string `json:"kind"`
	// ProtectedShare is the share of slots that only protected classes use.
	ProtectedShare float64 `json:"protectedShare,omitempty"`
	// PrefixAffinity sends like prompts to the same engine, load permitting.
	PrefixAffinity bool               `json:"prefixAffinity,omitempty"`
	Upstreams      []UpstreamDocument `json:"upstreams"`
}

// OrganisationDocument is the stored form of an Organisation.
type OrganisationDocument struct {
	Name string `json:"name"`
	// KeyHashes are the SHA-256 sums, in hexadecimal, of its callers' keys.
	KeyHashes []string `json:"keyHashes"`
	// Weight is its share against other organisations of the same tier.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond bounds its rate at each entry VM; 0 is no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
}

// RuleDocument is the stored form of a Rule.
type RuleDocument struct {
	Name string `json:"name"`
	// When is an expression over the request's properties.
	When string         `json:"when"`
	Then ActionDocument `json:"then"`
}

// ActionDocument is the stored form of what a rule does.
type ActionDocument struct {
	// Refuse, when not empty, is the message of a refusal.
	Refuse string `json:"refuse,omitempty"`
	Class  string `json:"class,omitempty"`
	Pool   string `json:"pool,omitempty"`
	// Repeat is "idempotent", "never" or "keyed".
	Repeat string `json:"repeat,omitempty"`
	// DeadlineMs bounds the whole request, in milliseconds; 0 is no bound.
	DeadlineMs int `json:"deadlineMs,omitempty"`
	// LocalKeys lets a keyed call run without the platform, its key bound
	// to the process that takes it.
	LocalKeys bool `json:"localKeys,omitempty"`
}

// LimitsDocument holds the numbers that hold for the whole system.
type LimitsDocument struct {
	// RetryShare is the share of successes that may be spent on retries.
	RetryShare float64 `json:"retryShare"`
	// ClaimKeepMs is how long a claim's answer is kept for a repeat.
	ClaimKeepMs int `json:"claimKeepMs"`
}

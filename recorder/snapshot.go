package recorder

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// The types in this file make up the JSON that a node returns to operators. Their fields
// are exported because encoding/json requires it.

// Snapshot is a copy of the counts of one node.
type Snapshot struct {
	Node    definer.VM `json:"node"`
	TakenAt time.Time  `json:"takenAt"`
	// Since is the time at which the node began to count.
	Since time.Time `json:"since"`
	// Classes are sorted by name.
	Classes []ClassSnapshot `json:"classes"`
	// Control holds the counts of the node's control traffic by kind.
	Control map[ControlKind]ControlCounts `json:"control"`
}

// Counts holds sums over requests that were completed or refused.
type Counts struct {
	Requests uint64 `json:"requests"`
	// Counted is the number of requests that count towards the class's targets: all
	// except those that were not served because of their caller or organisation.
	Counted uint64 `json:"counted"`
	// Met is the number of requests in Counted that met their class's targets.
	Met uint64 `json:"met"`
	// Complete is the number of requests whose caller received the whole answer.
	Complete uint64 `json:"complete"`
	Retries  uint64 `json:"retries"`
	// Tokens is the number of tokens delivered; UsefulTokens is the part of them that
	// belongs to whole answers.
	Tokens       uint64 `json:"tokens"`
	UsefulTokens uint64 `json:"usefulTokens"`
	// WastedTokens is the number of tokens that were computed and discarded.
	WastedTokens uint64 `json:"wastedTokens"`
}

// add adds other to counts in place.
func (counts *Counts) add(other Counts) {
	counts.Requests += other.Requests
	counts.Counted += other.Counted
	counts.Met += other.Met
	counts.Complete += other.Complete
	counts.Retries += other.Retries
	counts.Tokens += other.Tokens
	counts.UsefulTokens += other.UsefulTokens
	counts.WastedTokens += other.WastedTokens
}

// Plus returns the sum of counts and other.
func (counts Counts) Plus(other Counts) Counts {
	counts.add(other)
	return counts
}

// ClassSnapshot is a copy of one node's counts of one class.
type ClassSnapshot struct {
	Class definer.ClassName `json:"class"`
	// Total holds the counts since the node began to count.
	Total Counts `json:"total"`
	// Refused is the number of requests without a whole answer, by reason.
	Refused map[messenger.RefusalReason]uint64 `json:"refused"`
	// Windows are ordered by length, the shortest first.
	Windows []WindowSnapshot `json:"windows"`
	// The distributions cover about the last hour.
	FirstToken    Distribution `json:"firstToken"`
	BetweenTokens Distribution `json:"betweenTokens"`
	Duration      Distribution `json:"duration"`
}

// WindowSnapshot holds the counts of one sliding window.
type WindowSnapshot struct {
	// Seconds is the length of the window.
	Seconds int `json:"seconds"`
	Counts
}

// Distribution is the distribution of a duration over complete requests.
type Distribution struct {
	Count uint64 `json:"count"`
	// The quantiles are in milliseconds, accurate to within a hundredth of their value.
	P50Ms float64 `json:"p50Ms"`
	P90Ms float64 `json:"p90Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`
	MaxMs float64 `json:"maxMs"`
	// Bars is the histogram itself, which Merge needs to join several distributions.
	Bars []Bar `json:"bars,omitempty"`
}

// Bar is one bucket of a histogram: durations that are equal to within a hundredth.
type Bar struct {
	// Units is the bucket's lower bound in units of histogramUnit, 100 microseconds.
	Units int64 `json:"units"`
	Count int64 `json:"count"`
}

// ControlKind is a kind of control traffic: messages between nodes and calls of the
// platform.
type ControlKind string

const (
	// MessageSent is a message to a peer.
	MessageSent ControlKind = "messageSent"
	// MessageReceived is a message from a peer.
	MessageReceived ControlKind = "messageReceived"
	// PlatformCall is a call of the platform; a watch that waits counts as one call.
	PlatformCall ControlKind = "platformCall"
)

// ControlCounts holds the number and total size of the messages or calls of one kind.
type ControlCounts struct {
	Count uint64 `json:"count"`
	Bytes uint64 `json:"bytes"`
}

package recorder

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// The types in this file are what a node tells operators. Their fields are
// exported because the JSON codec needs it.

// Snapshot is what one node has counted.
type Snapshot struct {
	Node    definer.VM `json:"node"`
	TakenAt time.Time  `json:"takenAt"`
	// Since is when the node began to count.
	Since time.Time `json:"since"`
	// Classes are sorted by name.
	Classes []ClassSnapshot `json:"classes"`
	// Control is the traffic of the system's own, by kind.
	Control map[ControlKind]ControlCounts `json:"control"`
}

// Counts are sums over ended requests.
type Counts struct {
	Requests uint64 `json:"requests"`
	// Counted are those that the targets hold for: all but those that their
	// caller or organisation kept from being served.
	Counted uint64 `json:"counted"`
	// Met are those of Counted that met their class's targets.
	Met uint64 `json:"met"`
	// Complete are those whose caller got the whole answer.
	Complete uint64 `json:"complete"`
	Retries  uint64 `json:"retries"`
	// Tokens were delivered; UsefulTokens belong to whole answers.
	Tokens       uint64 `json:"tokens"`
	UsefulTokens uint64 `json:"usefulTokens"`
	// WastedTokens were computed and discarded.
	WastedTokens uint64 `json:"wastedTokens"`
}

// add adds other counts to these.
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

// Plus returns the sum of two counts.
func (counts Counts) Plus(other Counts) Counts {
	counts.add(other)
	return counts
}

// ClassSnapshot is what one node has counted of one class.
type ClassSnapshot struct {
	Class definer.ClassName `json:"class"`
	// Total holds the counts since the node began to count.
	Total Counts `json:"total"`
	// Refused counts the requests without a whole answer, by reason.
	Refused map[messenger.RefusalReason]uint64 `json:"refused"`
	// Windows are ordered by length, the shortest first.
	Windows []WindowSnapshot `json:"windows"`
	// The three distributions are of about the last hour.
	FirstToken    Distribution `json:"firstToken"`
	BetweenTokens Distribution `json:"betweenTokens"`
	Duration      Distribution `json:"duration"`
}

// WindowSnapshot is what was counted within the last while.
type WindowSnapshot struct {
	// Seconds is the length of the window.
	Seconds int `json:"seconds"`
	Counts
}

// Distribution tells how durations of complete requests are spread.
type Distribution struct {
	Count uint64 `json:"count"`
	// The quantiles are in milliseconds, within a hundredth.
	P50Ms float64 `json:"p50Ms"`
	P90Ms float64 `json:"p90Ms"`
	P95Ms float64 `json:"p95Ms"`
	P99Ms float64 `json:"p99Ms"`
	MaxMs float64 `json:"maxMs"`
	// Bars let the distributions of several nodes be merged.
	Bars []Bar `json:"bars,omitempty"`
}

// Bar is a number of durations that are equal within a hundredth.
type Bar struct {
	// Units are of histogramUnit, 100 microseconds.
	Units int64 `json:"units"`
	Count int64 `json:"count"`
}

// ControlKind names a kind of the system's own traffic.
type ControlKind string

const (
	// MessageSent is a message to a peer.
	MessageSent ControlKind = "messageSent"
	// MessageReceived is a message from a peer.
	MessageReceived ControlKind = "messageReceived"
	// PlatformCall is a call of the platform, a waiting watch counted as one.
	PlatformCall ControlKind = "platformCall"
)

// ControlCounts are the sums of one kind.
type ControlCounts struct {
	Count uint64 `json:"count"`
	Bytes uint64 `json:"bytes"`
}

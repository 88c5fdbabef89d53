// Package reporter makes the burn report: how each class stands against its
// target, how fast its error budget goes, and how much work was wasted.
package reporter

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/recorder"
)

// goodputWindow is the window over which goodput and waste are taken.
const goodputWindow = time.Hour

// The types in this file are what operators read. Their fields are exported
// because the JSON codec and the page's template need it.

// Report is the burn report of the whole system.
type Report struct {
	// TakenAt is the time of the latest snapshot.
	TakenAt time.Time `json:"takenAt"`
	// Since is the earliest start of a node's counts. Nodes keep nothing when
	// they are replaced, so the long windows may hold less than their length.
	Since time.Time `json:"since"`
	// Nodes are those whose counts are in the report, sorted.
	Nodes []definer.VM `json:"nodes"`
	// Missing are those that could not be asked, sorted.
	Missing []definer.VM `json:"missing,omitempty"`
	// Classes are in the order of their tiers.
	Classes []ClassReport                                   `json:"classes"`
	Control map[recorder.ControlKind]recorder.ControlCounts `json:"control"`
}

// ClassReport is the report of one class.
type ClassReport struct {
	Class     definer.ClassName `json:"class"`
	Tier      int               `json:"tier"`
	Protected bool              `json:"protected"`
	// Target is the share of requests that must meet the targets below.
	Target  float64 `json:"target"`
	Targets Targets `json:"targets"`
	// Attainment is the share that did, in the longest window; it is absent
	// while there is no request to tell it from.
	Attainment *float64 `json:"attainment,omitempty"`
	// BudgetLeft is the share of the error budget of the longest window that
	// is left; below zero it is overdrawn.
	BudgetLeft float64 `json:"budgetLeft"`
	State      State   `json:"state"`
	// Windows are ordered by length, the shortest first.
	Windows []WindowReport `json:"windows"`
	// Goodput and Waste are those of the last hour.
	Goodput Goodput `json:"goodput"`
	// WastedShare is the share of tokens that were computed and discarded.
	WastedShare float64 `json:"wastedShare"`
	// Total holds the counts since the nodes began to count.
	Total         recorder.Counts                    `json:"total"`
	Refused       map[messenger.RefusalReason]uint64 `json:"refused"`
	FirstToken    recorder.Distribution              `json:"firstToken"`
	BetweenTokens recorder.Distribution              `json:"betweenTokens"`
	Duration      recorder.Distribution              `json:"duration"`
}

// Targets are the latency targets of a class, in milliseconds; 0 is none.
type Targets struct {
	FirstTokenMs    int64 `json:"firstTokenMs,omitempty"`
	BetweenTokensMs int64 `json:"betweenTokensMs,omitempty"`
	TotalMs         int64 `json:"totalMs,omitempty"`
}

// WindowReport tells of the last while of one class.
type WindowReport struct {
	// Name is the length, such as "5m".
	Name    string `json:"name"`
	Seconds int    `json:"seconds"`
	// Attainment is absent while there is no request to tell it from.
	Attainment *float64 `json:"attainment,omitempty"`
	// BurnRate is 1 when the error budget goes exactly as fast as it may.
	BurnRate float64 `json:"burnRate"`
	recorder.Counts
}

// Goodput is completed useful work a second.
type Goodput struct {
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond"`
}

// Build merges the snapshots of nodes into the report of the classes.
func Build(snapshots []recorder.Snapshot, classes ...*definer.Class) Report {
	report := Report{Control: make(map[recorder.ControlKind]recorder.ControlCounts)}
	for _, snapshot := range snapshots {
		report.take(snapshot)
	}
	slices.Sort(report.Nodes)
	for _, class := range classes {
		report.Classes = append(report.Classes, build(class, snapshots))
	}
	return report
}

// WithMissing returns the report with the names of nodes that could not be
// asked.
func (report Report) WithMissing(nodes ...definer.VM) Report {
	report.Missing = slices.Sorted(slices.Values(nodes))
	return report
}

// take adds what concerns no single class.
func (report *Report) take(snapshot recorder.Snapshot) {
	report.Nodes = append(report.Nodes, snapshot.Node)
	if snapshot.TakenAt.After(report.TakenAt) {
		report.TakenAt = snapshot.TakenAt
	}
	if report.Since.IsZero() || snapshot.Since.Before(report.Since) {
		report.Since = snapshot.Since
	}
	for kind, counts := range snapshot.Control {
		sum := report.Control[kind]
		sum.Count += counts.Count
		sum.Bytes += counts.Bytes
		report.Control[kind] = sum
	}
}

// build returns the report of one class.
func build(class *definer.Class, snapshots []recorder.Snapshot) ClassReport {
	report := ClassReport{
		Class:     class.Name(),
		Tier:      class.Tier(),
		Protected: class.Protected(),
		Target:    class.Attainment(),
		Targets: Targets{
			FirstTokenMs:    class.FirstToken().Milliseconds(),
			BetweenTokensMs: class.BetweenTokens().Milliseconds(),
			TotalMs:         class.Total().Milliseconds(),
		},
		Refused: make(map[messenger.RefusalReason]uint64),
	}
	merger := newMerger()
	for _, snapshot := range snapshots {
		for _, counted := range snapshot.Classes {
			if counted.Class == class.Name() {
				merger.add(counted, snapshot.TakenAt.Sub(snapshot.Since))
			}
		}
	}
	merger.fill(&report)
	return report
}

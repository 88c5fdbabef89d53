// Package reporter builds the error-budget burn report from the snapshots of all nodes:
// for each class the attainment of its service-level target, the burn rates of its error
// budget, goodput and wasted work. Reports are written as text, JSON or HTML.
package reporter

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/recorder"
)

// goodputWindow is the window over which goodput and the wasted share are computed.
const goodputWindow = time.Hour

// The types in this file make up the report. Their fields are exported because
// encoding/json and the HTML template require it.

// Report is the burn report of the whole system.
type Report struct {
	// TakenAt is the time of the latest snapshot.
	TakenAt time.Time `json:"takenAt"`
	// Since is the earliest time at which a node began to count. A node that is replaced
	// loses its counts, so the long windows may cover less time than their length.
	Since time.Time `json:"since"`
	// Nodes lists the nodes whose counts are in the report, sorted by name.
	Nodes []definer.VM `json:"nodes"`
	// Missing lists the nodes that could not be queried, sorted.
	Missing []definer.VM `json:"missing,omitempty"`
	// Classes are in the order in which they were passed to Build: that of their tiers.
	Classes []ClassReport                                   `json:"classes"`
	Control map[recorder.ControlKind]recorder.ControlCounts `json:"control"`
}

// ClassReport is the report of one class.
type ClassReport struct {
	Class     definer.ClassName `json:"class"`
	Tier      int               `json:"tier"`
	Protected bool              `json:"protected"`
	// Target is the share of counted requests that must meet all of Targets.
	Target  float64 `json:"target"`
	Targets Targets `json:"targets"`
	// Attainment is the share of counted requests that met Targets in the longest
	// window; nil if no requests were counted.
	Attainment *float64 `json:"attainment,omitempty"`
	// BudgetLeft is the share of the error budget of the longest window that is left. It
	// is negative if the budget is exceeded.
	BudgetLeft float64 `json:"budgetLeft"`
	State      State   `json:"state"`
	// Windows are ordered by length, the shortest first.
	Windows []WindowReport `json:"windows"`
	// Goodput covers the last hour.
	Goodput Goodput `json:"goodput"`
	// WastedShare is the share of wasted tokens in the useful and wasted tokens of the
	// last hour.
	WastedShare float64 `json:"wastedShare"`
	// Total holds the counts since each node began to count.
	Total         recorder.Counts                    `json:"total"`
	Refused       map[messenger.RefusalReason]uint64 `json:"refused"`
	FirstToken    recorder.Distribution              `json:"firstToken"`
	BetweenTokens recorder.Distribution              `json:"betweenTokens"`
	Duration      recorder.Distribution              `json:"duration"`
}

// Targets holds the latency targets of a class in milliseconds; 0 means no target.
type Targets struct {
	FirstTokenMs    int64 `json:"firstTokenMs,omitempty"`
	BetweenTokensMs int64 `json:"betweenTokensMs,omitempty"`
	TotalMs         int64 `json:"totalMs,omitempty"`
}

// WindowReport holds the attainment, burn rate and counts of one class in one sliding
// window.
type WindowReport struct {
	// Name is the length of the window, for example "5m".
	Name    string `json:"name"`
	Seconds int    `json:"seconds"`
	// Attainment is the share of counted requests that met the targets; nil if no
	// requests were counted.
	Attainment *float64 `json:"attainment,omitempty"`
	// BurnRate is the speed at which the error budget is used up; at 1 the budget lasts
	// exactly for its period.
	BurnRate float64 `json:"burnRate"`
	recorder.Counts
}

// Goodput is the rate of complete requests and of their tokens.
type Goodput struct {
	RequestsPerSecond float64 `json:"requestsPerSecond"`
	TokensPerSecond   float64 `json:"tokensPerSecond"`
}

// Build merges the snapshots of the nodes into a report on the given classes, in the
// given order.
func Build(snapshots []recorder.Snapshot, classes ...*definer.Class) Report {
	report := Report{Control: make(map[recorder.ControlKind]recorder.ControlCounts)}
	for _, snapshot := range snapshots {
		report.addNode(snapshot)
	}
	slices.Sort(report.Nodes)
	for _, class := range classes {
		report.Classes = append(report.Classes, newClassReport(class, snapshots))
	}
	return report
}

// WithMissing returns a copy of the report whose Missing lists the nodes that could not
// be queried.
func (report Report) WithMissing(nodes ...definer.VM) Report {
	report.Missing = slices.Sorted(slices.Values(nodes))
	return report
}

// addNode adds the parts of a node's snapshot that belong to no single class.
func (report *Report) addNode(snapshot recorder.Snapshot) {
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

// newClassReport returns the report of one class.
func newClassReport(class *definer.Class, snapshots []recorder.Snapshot) ClassReport {
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

package messenger

import (
	"math"
	"slices"
	"time"
)

// The bounds of what a report may contain. They are far above what a deployment of 10,000 upstreams
// reports, and low enough that sums over all nodes do not overflow.
const (
	maxNameBytes       = 256
	maxNodes           = 1_000_000
	maxRequestCount    = 1_000_000
	maxTokenCount      = 1_000_000_000
	maxLengthSum       = 1e15
	maxObservationTime = time.Hour
	maxGapObjective    = time.Hour
	maxWork            = 100 * time.Hour
	maxHeard           = 10 * 365 * 24 * time.Hour
)

// Validated returns the report without the loads, the works and the number of nodes that are not
// possible, and how many of them there are. It returns the report itself if there are none, and
// never changes it.
func (loadReport *LoadReport) Validated() (valid *LoadReport, rejected int) {
	for index := range loadReport.Loads {
		if !loadReport.Loads[index].valid() {
			rejected++
		}
	}
	for index := range loadReport.Kinds {
		if !loadReport.Kinds[index].valid() {
			rejected++
		}
	}
	nodesValid := within(loadReport.Nodes, maxNodes)
	if rejected == 0 && nodesValid {
		return loadReport, 0
	}
	report := *loadReport
	report.Loads = slices.DeleteFunc(slices.Clone(loadReport.Loads), func(load UpstreamLoad) bool { return !load.valid() })
	report.Kinds = slices.DeleteFunc(slices.Clone(loadReport.Kinds), func(kind KindWork) bool { return !kind.valid() })
	if !nodesValid {
		report.Nodes = 0
		rejected++
	}
	return &report, rejected
}

// valid reports whether a node may have such a load.
func (load *UpstreamLoad) valid() bool {
	const maxMs = int(maxObservationTime / time.Millisecond)
	return len(load.Upstream) <= maxNameBytes &&
		within(load.InFlight, maxRequestCount) && within(load.Streams, maxRequestCount) && within(load.Beyond, maxRequestCount) &&
		within(load.Tokens, maxTokenCount) && within(load.Unread, maxTokenCount) && within(load.Deferred, maxTokenCount) &&
		within(load.ExpectedMs, maxMs) && within(load.ActualMs, maxMs) && within(load.Heard, maxHeard)
}

// valid reports whether the requests of a rule may have taken that work.
func (work *KindWork) valid() bool {
	return len(work.Service) <= maxNameBytes && len(work.Rule) <= maxNameBytes && within(work.Tier, math.MaxInt32) &&
		within(work.Work, maxWork) && within(work.Reading, maxWork) && within(work.GapObjective, maxGapObjective) &&
		within(work.PromptTokens, maxLengthSum) && within(work.Requests, maxLengthSum)
}

// within reports whether a number is from 0 to most; NaN is not.
func within[Number ~int | ~int64 | ~float64](number, most Number) bool {
	return number >= 0 && number <= most
}

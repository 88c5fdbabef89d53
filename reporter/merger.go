package reporter

import (
	"time"

	"limpetcleat/messenger"
	"limpetcleat/recorder"
)

// merger sums the counts that the nodes hold of one class.
type merger struct {
	total   recorder.Counts
	refused map[messenger.RefusalReason]uint64
	// windows holds the sums of each window by its length in seconds.
	windows map[int]recorder.Counts
	goodput Goodput
	// The slices hold one distribution for each node.
	firstToken    []recorder.Distribution
	betweenTokens []recorder.Distribution
	duration      []recorder.Distribution
}

func newMerger() *merger {
	return &merger{refused: make(map[messenger.RefusalReason]uint64), windows: make(map[int]recorder.Counts)}
}

// add adds the counts of a node that has been counting for the duration up.
func (merger *merger) add(counted recorder.ClassSnapshot, up time.Duration) {
	merger.total = merger.total.Plus(counted.Total)
	for reason, count := range counted.Refused {
		merger.refused[reason] += count
	}
	for _, window := range counted.Windows {
		merger.windows[window.Seconds] = merger.windows[window.Seconds].Plus(window.Counts)
		if window.Seconds == int(goodputWindow/time.Second) {
			merger.addGoodput(window.Counts, min(up, goodputWindow))
		}
	}
	merger.firstToken = append(merger.firstToken, counted.FirstToken)
	merger.betweenTokens = append(merger.betweenTokens, counted.BetweenTokens)
	merger.duration = append(merger.duration, counted.Duration)
}

// addGoodput adds the goodput of one node, whose counts were collected within the
// duration over.
func (merger *merger) addGoodput(counts recorder.Counts, over time.Duration) {
	if over <= 0 {
		return
	}
	merger.goodput.RequestsPerSecond += float64(counts.Complete) / over.Seconds()
	merger.goodput.TokensPerSecond += float64(counts.UsefulTokens) / over.Seconds()
}

// fill writes the sums, and the rates and the state computed from them, into a report.
func (merger *merger) fill(report *ClassReport) {
	report.Total = merger.total
	report.Refused = merger.refused
	report.Goodput = merger.goodput
	report.FirstToken = mergeWithoutBars(merger.firstToken)
	report.BetweenTokens = mergeWithoutBars(merger.betweenTokens)
	report.Duration = mergeWithoutBars(merger.duration)
	for _, length := range recorder.Windows() {
		counts := merger.windows[int(length/time.Second)]
		report.Windows = append(report.Windows, WindowReport{
			Name:       windowName(length),
			Seconds:    int(length / time.Second),
			Attainment: attainment(counts),
			BurnRate:   burnRate(counts, report.Target),
			Counts:     counts,
		})
		if length == goodputWindow {
			report.WastedShare = wastedShare(counts)
		}
	}
	longest := report.Windows[len(report.Windows)-1]
	report.Attainment = longest.Attainment
	report.BudgetLeft = 1 - longest.BurnRate
	report.State = stateOf(report)
}

// mergeWithoutBars merges the distributions of the nodes and drops the bars, which only
// merging needs.
func mergeWithoutBars(distributions []recorder.Distribution) recorder.Distribution {
	merged := recorder.Merge(distributions...)
	merged.Bars = nil
	return merged
}

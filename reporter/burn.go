package reporter

import (
	"fmt"
	"time"

	"limpetcleat/recorder"
)

// State tells whether someone has to act on a class.
type State string

const (
	// Fine asks for nothing.
	Fine State = "ok"
	// Ticket asks for a look in working hours.
	Ticket State = "ticket"
	// Page asks for someone at once.
	Page State = "page"
)

// alert is a pair of windows; it fires while both burn at least at the rate.
// The long one shows that it matters, the short one that it still goes on.
type alert struct {
	state       State
	long, short time.Duration
	rate        float64
}

// alerts returns the pairs of the SRE workbook (chapter 5, Alerting on SLOs)
// for a budget of 30 days, the most urgent first: 2% of the budget in an hour,
// 5% in six hours, 10% in three days.
func alerts() []alert {
	return []alert{
		{state: Page, long: time.Hour, short: 5 * time.Minute, rate: 14.4},
		{state: Page, long: 6 * time.Hour, short: 30 * time.Minute, rate: 6},
		{state: Ticket, long: 72 * time.Hour, short: 6 * time.Hour, rate: 1},
	}
}

// highestShare bounds an alert's rate to this share of the highest rate that
// is possible, so that a class with a low target pages too when all fails.
const highestShare = 0.8

// judge returns the state of a class from its windows.
func judge(report *ClassReport) State {
	rates := make(map[int]float64)
	for _, window := range report.Windows {
		rates[window.Seconds] = window.BurnRate
	}
	for _, alert := range alerts() {
		rate := min(alert.rate, highestShare/(1-report.Target))
		if rates[int(alert.long/time.Second)] >= rate && rates[int(alert.short/time.Second)] >= rate {
			return alert.state
		}
	}
	return Fine
}

// attainment returns the share that met the targets, or nil of nothing.
func attainment(counts recorder.Counts) *float64 {
	if counts.Counted == 0 {
		return nil
	}
	share := float64(counts.Met) / float64(counts.Counted)
	return &share
}

// burnRate returns the share of misses over the share that is allowed; 0 when
// nothing was counted.
func burnRate(counts recorder.Counts, target float64) float64 {
	share := attainment(counts)
	if share == nil {
		return 0
	}
	return (1 - *share) / (1 - target)
}

// wastedShare returns the discarded tokens over all that were computed.
func wastedShare(counts recorder.Counts) float64 {
	computed := counts.UsefulTokens + counts.WastedTokens
	if computed == 0 {
		return 0
	}
	return float64(counts.WastedTokens) / float64(computed)
}

// windowName returns a length in its largest whole unit.
func windowName(length time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case length%day == 0:
		return fmt.Sprintf("%dd", length/day)
	case length%time.Hour == 0:
		return fmt.Sprintf("%dh", length/time.Hour)
	default:
		return fmt.Sprintf("%dm", length/time.Minute)
	}
}

package reporter

import (
	"fmt"
	"time"

	"limpetcleat/recorder"
)

// State is the alert state of a class: whether operators have to act, and how soon.
type State string

const (
	// Fine means that nobody has to act.
	Fine State = "ok"
	// Ticket means that someone has to look at the class in working hours.
	Ticket State = "ticket"
	// Page means that someone has to act at once.
	Page State = "page"
)

// alert is a burn-rate alert over two windows. It fires while the burn rate of both is at
// least rate: the long window shows that the loss is significant, the short one that it
// is still going on.
type alert struct {
	state       State
	long, short time.Duration
	rate        float64
}

// alerts returns the multi-window, multi-burn-rate alerts of the SRE workbook (chapter 5,
// Alerting on SLOs) for an error budget of 30 days, the most urgent first: 2% of the
// budget in an hour, 5% in six hours, 10% in three days.
func alerts() []alert {
	return []alert{
		{state: Page, long: time.Hour, short: 5 * time.Minute, rate: 14.4},
		{state: Page, long: 6 * time.Hour, short: 30 * time.Minute, rate: 6},
		{state: Ticket, long: 72 * time.Hour, short: 6 * time.Hour, rate: 1},
	}
}

// maxRateShare limits the rate of an alert to this share of the highest possible burn
// rate. Without the limit, a class with a low target could never reach the rate of an
// alert that pages, even if all of its requests failed.
const maxRateShare = 0.8

// stateOf returns the state of a class, computed from the burn rates of its windows.
func stateOf(report *ClassReport) State {
	rates := make(map[int]float64)
	for _, window := range report.Windows {
		rates[window.Seconds] = window.BurnRate
	}
	for _, alert := range alerts() {
		rate := min(alert.rate, maxRateShare/(1-report.Target))
		if rates[int(alert.long/time.Second)] >= rate && rates[int(alert.short/time.Second)] >= rate {
			return alert.state
		}
	}
	return Fine
}

// attainment returns the share of the counted requests that met the targets, or nil if
// none were counted.
func attainment(counts recorder.Counts) *float64 {
	if counts.Counted == 0 {
		return nil
	}
	share := float64(counts.Met) / float64(counts.Counted)
	return &share
}

// burnRate returns the share of counted requests that missed the targets, divided by the
// share that may miss them. It is 0 if no requests were counted.
func burnRate(counts recorder.Counts, target float64) float64 {
	share := attainment(counts)
	if share == nil {
		return 0
	}
	return (1 - *share) / (1 - target)
}

// wastedShare returns the wasted tokens as a share of the useful and wasted tokens.
func wastedShare(counts recorder.Counts) float64 {
	computed := counts.UsefulTokens + counts.WastedTokens
	if computed == 0 {
		return 0
	}
	return float64(counts.WastedTokens) / float64(computed)
}

// windowName returns a length in the largest of the units day, hour and minute that
// divides it.
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

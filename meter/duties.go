package meter

import (
	"limpetcleat/steward"
)

// The names of the metrics of duties, each of which one node performs at a time.
const (
	holderMetric          = "duty_holder"
	tokenMetric           = "duty_token"
	reportedWindowMetric  = "usage_told_window"
	windowsMetric         = "usage_windows"
	enginesOrderedMetric  = "engines_ordered"
	enginesStandingMetric = "engines_standing"
)

// SetDuties sets the metrics of the duties: whether this node holds each duty, the usage that it
// reported and the engines that were ordered.
func (meter *Meter) SetDuties(status steward.Status) {
	meter.setDuty(steward.UsageDuty, &status.Usage.DutyStatus)
	meter.setDuty(steward.ScalingDuty, &status.Scaling.DutyStatus)
	meter.scope.Gauge(reportedWindowMetric).Update(float64(status.Usage.ReportedUntil))
	for outcome, count := range map[string]int{"whole": status.Usage.Whole, "partial": status.Usage.Partial, "skipped": status.Usage.Skipped} {
		meter.scope.Tagged(map[string]string{"outcome": outcome}).Gauge(windowsMetric).Update(float64(count))
	}
	for index := range status.Scaling.Engines {
		meter.setEngines(&status.Scaling.Engines[index])
	}
}

// setDuty sets whether this node holds a duty, and the duty's fencing token.
func (meter *Meter) setDuty(name string, status *steward.DutyStatus) {
	holds := 0.0
	if status.Holds {
		holds = 1
	}
	scope := meter.scope.Tagged(map[string]string{"duty": name})
	scope.Gauge(holderMetric).Update(holds)
	scope.Gauge(tokenMetric).Update(float64(status.Token))
}

// setEngines sets the numbers of engines of a service in a data centre that were ordered and that
// accept work, by kind.
func (meter *Meter) setEngines(status *steward.EngineStatus) {
	for kind, counts := range map[string][2]int{
		"ordinary": {status.Ordered.Ordinary, status.Standing.Ordinary},
		"spot":     {status.Ordered.Spot, status.Standing.Spot},
	} {
		scope := meter.scope.Tagged(map[string]string{"service": string(status.Service), "data_centre": string(status.DataCentre), "kind": kind})
		scope.Gauge(enginesOrderedMetric).Update(float64(counts[0]))
		scope.Gauge(enginesStandingMetric).Update(float64(counts[1]))
	}
}

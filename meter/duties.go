package meter

import (
	"limpetcleat/steward"
)

// The names of the metrics of duties that are one node's at a time.
const (
	holderMetric   = "duty_holder"
	tokenMetric    = "duty_token"
	toldMetric     = "usage_told_window"
	windowsMetric  = "usage_windows"
	orderedMetric  = "engines_ordered"
	standingMetric = "engines_standing"
)

// Duties shows what this node knows of the duties: who held them last, and what it told and
// ordered itself.
func (meter *Meter) Duties(status steward.Status) {
	meter.duty(steward.UsageDuty, &status.Usage.DutyStatus)
	meter.duty(steward.ScalingDuty, &status.Scaling.DutyStatus)
	meter.scope.Gauge(toldMetric).Update(float64(status.Usage.ReportedUntil))
	for outcome, count := range map[string]int{"whole": status.Usage.Whole, "partial": status.Usage.Partial, "skipped": status.Usage.Skipped} {
		meter.scope.Tagged(map[string]string{"outcome": outcome}).Gauge(windowsMetric).Update(float64(count))
	}
	for index := range status.Scaling.Engines {
		meter.engines(&status.Scaling.Engines[index])
	}
}

// duty shows who holds a duty.
func (meter *Meter) duty(name string, status *steward.DutyStatus) {
	holds := 0.0
	if status.Holds {
		holds = 1
	}
	scope := meter.scope.Tagged(map[string]string{"duty": name})
	scope.Gauge(holderMetric).Update(holds)
	scope.Gauge(tokenMetric).Update(float64(status.Token))
}

// engines shows what was ordered of a service in a data centre, and what takes work.
func (meter *Meter) engines(status *steward.EngineStatus) {
	for kind, counts := range map[string][2]int{
		"ordinary": {status.Ordered.Ordinary, status.Standing.Ordinary},
		"spot":     {status.Ordered.Spot, status.Standing.Spot},
	} {
		scope := meter.scope.Tagged(map[string]string{"service": string(status.Service), "data_centre": string(status.DataCentre), "kind": kind})
		scope.Gauge(orderedMetric).Update(float64(counts[0]))
		scope.Gauge(standingMetric).Update(float64(counts[1]))
	}
}

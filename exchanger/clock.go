package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Clock estimates the time of day, which decides the window of time that usage is counted
// in, as precisely as the clocks of VMs allow. Its methods may be called while the lock
// of the Exchanger is held.
type Clock interface {
	// VMTime returns the time by this VM's clock alone.
	VMTime() time.Time
	// Now returns the time estimated from the clocks of this VM and of the peers that
	// report to it.
	Now() time.Time
	// RecordPeerClock stores the time that a peer's own clock showed.
	RecordPeerClock(from definer.VM, shown time.Time)
	// RecordAggregatorTime stores the time as estimated by this node's aggregator.
	RecordAggregatorTime(estimated time.Time)
}

// noClock is the default Clock; reports then carry no time.
type noClock struct{}

// VMTime returns the zero time.
func (noClock) VMTime() time.Time { return time.Time{} }

// Now returns the zero time.
func (noClock) Now() time.Time { return time.Time{} }

// RecordPeerClock ignores the time.
func (noClock) RecordPeerClock(definer.VM, time.Time) {}

// RecordAggregatorTime ignores the time.
func (noClock) RecordAggregatorTime(time.Time) {}

// setClock sets the time in a report. Reports between members and aggregators carry the
// clock of the sender, reports of aggregators to their members the time estimated from
// all clocks. The mutex is held.
func (exchanger *Exchanger) setClock(report *messenger.LoadReport) {
	shown := exchanger.clock.VMTime()
	if report.Scope == messenger.FleetLoad {
		shown = exchanger.clock.Now()
	}
	if !shown.IsZero() {
		report.Clock = time.Duration(shown.UnixNano())
	}
}

// readClock passes the time in a report to the clock. The mutex is held.
func (exchanger *Exchanger) readClock(from definer.VM, report *messenger.LoadReport) {
	if report.Clock == 0 {
		return
	}
	shown := time.Unix(0, int64(report.Clock))
	if report.Scope == messenger.FleetLoad {
		exchanger.clock.RecordAggregatorTime(shown)
		return
	}
	exchanger.clock.RecordPeerClock(from, shown)
}

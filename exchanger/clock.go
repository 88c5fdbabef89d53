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
	// Own returns the time by this VM's clock alone.
	Own() time.Time
	// Now returns the time estimated from the clocks of this VM and of the peers that
	// report to it.
	Now() time.Time
	// Hear stores the time that a peer's own clock showed.
	Hear(from definer.VM, shown time.Time)
	// Follow stores the time as estimated by this node's aggregator.
	Follow(estimated time.Time)
}

// unclocked is the default Clock; reports then carry no time.
type unclocked struct{}

// Own returns the zero time.
func (unclocked) Own() time.Time { return time.Time{} }

// Now returns the zero time.
func (unclocked) Now() time.Time { return time.Time{} }

// Hear ignores the time.
func (unclocked) Hear(definer.VM, time.Time) {}

// Follow ignores the time.
func (unclocked) Follow(time.Time) {}

// setClock sets the time in a report. Reports between members and aggregators carry the
// clock of the sender, reports of aggregators to their members the time estimated from
// all clocks. The mutex is held.
func (exchanger *Exchanger) setClock(report *messenger.LoadReport) {
	shown := exchanger.clock.Own()
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
		exchanger.clock.Follow(shown)
		return
	}
	exchanger.clock.Hear(from, shown)
}

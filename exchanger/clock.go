package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Clock tells the time of day, by which windows of usage are told apart, as far as clocks
// of VMs can. It may be called with the lock of the exchanger held.
type Clock interface {
	// Own returns the time by this VM's clock alone.
	Own() time.Time
	// Now returns it by the clocks of all that this node hears.
	Now() time.Time
	// Hear takes in what a peer's own clock shows.
	Hear(from definer.VM, shown time.Time)
	// Follow takes in what this node's aggregator takes for the time.
	Follow(told time.Time)
}

// unclocked is for nodes that compare no clocks.
type unclocked struct{}

// Own knows no time.
func (unclocked) Own() time.Time { return time.Time{} }

// Now knows no time.
func (unclocked) Now() time.Time { return time.Time{} }

// Hear takes in nothing.
func (unclocked) Hear(definer.VM, time.Time) {}

// Follow takes in nothing.
func (unclocked) Follow(time.Time) {}

// show sets the time in a report: members and aggregators show each other their own
// clocks, and each aggregator tells its members what it makes of them. The mutex is held.
func (exchanger *Exchanger) show(report *messenger.LoadReport) {
	shown := exchanger.clock.Own()
	if report.Scope == messenger.FleetLoad {
		shown = exchanger.clock.Now()
	}
	if !shown.IsZero() {
		report.Clock = time.Duration(shown.UnixNano())
	}
}

// readClock takes in the time in a report; mutex is held.
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

package steward

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/scaler"
	"limpetcleat/tallier"
)

// maxHistory is how many reports or decisions of a duty are kept for operators.
const maxHistory = 20

// DutyStatus is a node's view of who holds a duty.
type DutyStatus struct {
	// Holds is set if this node performed the last act that it knows of; Holder is the node
	// that wrote the newest claim known here, with the fencing token Token.
	Holds  bool
	Holder definer.VM
	Token  uint64
}

// Report is one usage window that this node reported to the platform.
type Report struct {
	Window   tallier.Window
	Token    uint64
	Requests uint64
	Whole    bool
	// Late is how long after the end of the window it was reported, At when.
	Late time.Duration
	At   time.Time
}

// UsageStatus is a node's view of the usage duty.
type UsageStatus struct {
	DutyStatus
	// ReportedUntil is the newest window known to be reported.
	ReportedUntil tallier.Window
	// Reports are the most recent reports of this node, the newest last; Whole, Partial and
	// Skipped count its windows by whether all, some or none of their usage was reported.
	Reports []Report
	Whole   int
	Partial int
	Skipped int
}

// Decision is one order that this node placed.
type Decision struct {
	Order Order
	Token uint64
	// Need is the number of engines that the recent peak load requires in all, Busy the
	// number that the load occupied when the order was placed.
	Need float64
	Busy float64
	At   time.Time
	// Failure is why the platform did not accept the order; nil if it did.
	Failure error
}

// EngineStatus compares the ordered engines of a service in a data centre with those that
// accept work.
type EngineStatus struct {
	Service    definer.PoolName
	DataCentre definer.DataCentre
	Ordered    scaler.Counts
	Standing   scaler.Counts
}

// ScalingStatus is a node's view of the scaling duty.
type ScalingStatus struct {
	DutyStatus
	// Engines is the latest plan of this node, if it holds the duty.
	Engines []EngineStatus
	// Decisions are the most recent decisions of this node, the newest last.
	Decisions []Decision
}

// Status is a node's view of all duties.
type Status struct {
	Usage   UsageStatus
	Scaling ScalingStatus
}

// statusStore holds the status of the duties. It is safe for concurrent use.
type statusStore struct {
	// changed is called with a copy of the status after each change.
	changed func(status Status)
	// mutex guards status; no other lock is taken under it.
	mutex  sync.Mutex
	status Status
}

// update applies change to the status and passes a copy to changed.
func (statusStore *statusStore) update(change func(status *Status)) {
	statusStore.mutex.Lock()
	change(&statusStore.status)
	copied := statusStore.copy()
	statusStore.mutex.Unlock()
	statusStore.changed(copied)
}

// copy returns a copy of the status. The caller holds mutex.
func (statusStore *statusStore) copy() Status {
	status := statusStore.status
	status.Usage.Reports = slices.Clone(status.Usage.Reports)
	status.Scaling.Engines = slices.Clone(status.Scaling.Engines)
	status.Scaling.Decisions = slices.Clone(status.Scaling.Decisions)
	return status
}

// Status returns this node's view of the duties.
func (steward *Steward) Status() Status {
	steward.statuses.mutex.Lock()
	defer steward.statuses.mutex.Unlock()
	return steward.statuses.copy()
}

// appendBounded appends an act and drops the oldest ones beyond maxHistory.
func appendBounded[Act any](acts []Act, act Act) []Act {
	acts = append(acts, act)
	return acts[max(len(acts)-maxHistory, 0):]
}

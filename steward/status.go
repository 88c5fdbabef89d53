package steward

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/scaler"
	"limpetcleat/tallier"
)

// keptActs is how many acts of a duty are kept for operators.
const keptActs = 20

// DutyStatus is what a node knows of who holds a duty.
type DutyStatus struct {
	// Holds is set if this node acted last of those that it knows of; Holder is who wrote
	// the claim that it knows, under Token.
	Holds  bool
	Holder definer.VM
	Token  uint64
}

// Report is one window of usage that this node told.
type Report struct {
	Window   tallier.Window
	Token    uint64
	Requests uint64
	Whole    bool
	// Late is how long after the window's end it was told, At when.
	Late time.Duration
	At   time.Time
}

// UsageStatus is what a node knows of the telling of usage.
type UsageStatus struct {
	DutyStatus
	// ToldUntil is the last window that is known to be told.
	ToldUntil tallier.Window
	// Reports are the last ones of this node, the newest last; Whole, Partial and Skipped
	// count its windows by what could be told.
	Reports []Report
	Whole   int
	Partial int
	Skipped int
}

// Decision is one order that this node placed.
type Decision struct {
	Order Order
	Token uint64
	// Need is how many engines the most work of late wants in all, Busy how many the work
	// took then.
	Need float64
	Busy float64
	At   time.Time
	// Failure is why the platform did not take it; nil is when it did.
	Failure error
}

// EngineStatus is what was ordered of a service in a data centre, and what takes work.
type EngineStatus struct {
	Service    definer.PoolName
	DataCentre definer.DataCentre
	Ordered    scaler.Counts
	Standing   scaler.Counts
}

// ScalingStatus is what a node knows of the orders of engines.
type ScalingStatus struct {
	DutyStatus
	// Engines are as this node planned them last, if it holds the duty.
	Engines []EngineStatus
	// Decisions are the last ones of this node, the newest last.
	Decisions []Decision
}

// Status is what a node knows of the duties.
type Status struct {
	Usage   UsageStatus
	Scaling ScalingStatus
}

// board keeps the status for whoever asks. It is safe for concurrent use.
type board struct {
	// observe is told of each change.
	observe func(status Status)
	// mutex guards status; no other lock is taken under it.
	mutex  sync.Mutex
	status Status
}

// change changes the status and tells of it.
func (board *board) change(change func(status *Status)) {
	board.mutex.Lock()
	change(&board.status)
	copied := board.copy()
	board.mutex.Unlock()
	board.observe(copied)
}

// copy returns a copy of the status; mutex is held.
func (board *board) copy() Status {
	status := board.status
	status.Usage.Reports = slices.Clone(status.Usage.Reports)
	status.Scaling.Engines = slices.Clone(status.Scaling.Engines)
	status.Scaling.Decisions = slices.Clone(status.Scaling.Decisions)
	return status
}

// Status returns what this node knows of the duties.
func (steward *Steward) Status() Status {
	steward.board.mutex.Lock()
	defer steward.board.mutex.Unlock()
	return steward.board.copy()
}

// latest appends an act to those kept.
func latest[Act any](acts []Act, act Act) []Act {
	acts = append(acts, act)
	return acts[max(len(acts)-keptActs, 0):]
}

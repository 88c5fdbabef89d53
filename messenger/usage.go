package messenger

import (
	"time"

	"limpetcleat/definer"
)

// UsageReport tells how many requests of each organisation began at upstreams, as
// counted by the sender and other processes. Counts only grow, so that of two reports
// the larger count is valid.
type UsageReport struct {
	// Organisations are the names to which the counts refer by index.
	Organisations []definer.OrganisationName
	Processes     []ProcessUsage
	// The report holds the changes of the sender's counts after revision Since, up to Revision.
	// Since is 0 if it holds all counts of the newest windows; both are 0 in reports of senders
	// that do not state them.
	Since    uint64
	Revision uint64
	// Whole is the first of the newest windows in a report whose Since is 0. Of earlier ones it holds the changes
	// after revision Earlier.
	Whole   uint64
	Earlier uint64
}

// ProcessUsage is the usage that one process counted.
type ProcessUsage struct {
	Member definer.Member
	// Until is the time up to which the counts are complete, as true time since 1970. It
	// is an instant, since windows of usage are aligned to the wall clock.
	Until time.Duration
	// MissingFrom and MissingUntil are a span before Until of which counts may be missing; both are 0 if there
	// is none.
	MissingFrom  time.Duration
	MissingUntil time.Duration
	Windows      []WindowUsage
}

// WindowUsage is the usage that a process counted in one window.
type WindowUsage struct {
	Window uint64
	// Organisations are indexes into Organisations of the report; Requests has the count
	// for each.
	Organisations []int
	Requests      []uint64
}

func (usageReport *UsageReport) place(frame *Frame) { frame.UsageReport = usageReport }

// DutyNotice tells the progress of a duty that one node at a time fulfils, so that
// other nodes need not ask the store.
type DutyNotice struct {
	Duty string
	// Token is the fencing token under which the sender acted; 0 if it did not act.
	Token uint64
	// Window is the last window whose usage has been reported, if that is the duty.
	Window uint64
	// Yields is set by a sender that cannot fulfil the duty for now.
	Yields bool
}

func (dutyNotice *DutyNotice) place(frame *Frame) { frame.DutyNotice = dutyNotice }

package messenger

import (
	"time"

	"limpetcleat/definer"
)

// UsageReport tells how many requests of each organisation began at upstreams, as the
// sender and others counted them. Counts only grow: the largest one holds.
type UsageReport struct {
	// Organisations are the names that the counts refer to.
	Organisations []definer.OrganisationName
	Processes     []ProcessUsage
}

// ProcessUsage is what one process counted.
type ProcessUsage struct {
	Member definer.Member
	// Until is up to when its counts are whole, as true time since 1970: windows of usage
	// lie on the wall clock, so that an instant is meant here.
	Until   time.Duration
	Windows []WindowUsage
}

// WindowUsage is what a process counted in one window.
type WindowUsage struct {
	Window uint64
	// Organisations are places in the report's names, Requests the count of each.
	Organisations []int
	Requests      []uint64
}

func (usageReport *UsageReport) place(frame *Frame) { frame.UsageReport = usageReport }

// DutyNotice tells what has become of a duty that is one node's at a time, so that others
// need not ask the store.
type DutyNotice struct {
	Duty string
	// Token is the fencing token that the sender acted under; 0 if it did not act.
	Token uint64
	// Window is the last one of which usage is told, if that is the duty.
	Window uint64
	// Yields is set by a sender that cannot fulfil the duty for the time being.
	Yields bool
}

func (dutyNotice *DutyNotice) place(frame *Frame) { frame.DutyNotice = dutyNotice }

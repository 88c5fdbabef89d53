// Package tallier counts the requests of each organisation that began at upstreams, by
// window of time. Each process counts its own; nodes tell each other what they and others
// counted. Counts only grow, and each is told under the process that counted it, so that
// messages may be lost, repeated, late, or come by several ways.
package tallier

import (
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// keptWindows is how many windows are kept before the current one, for a store that is
	// away: 2 min of windows of 5 s. At 2,100 requests a second that is some 20 MB.
	keptWindows = 24
	// repeatedWindows is how many windows are told whole again and again: those whose last
	// counts may just have been lost on the way.
	repeatedWindows = 3
	// heardLife is how long a process counts as running after it was heard.
	heardLife = 2500 * time.Millisecond
	// wholeEvery is how many reports to a node make one that holds all that is known, for
	// what was lost on the way.
	wholeEvery = 4
	// mostProcesses bounds what is kept: several starts of each node of a large deployment.
	mostProcesses = 4096
)

// Window is the number of a window of time: it begins that many widths after 1970.
type Window uint64

// count is one organisation's in one window of one process.
type count struct {
	requests uint64
	// revision is that of the last change.
	revision uint64
}

// sheet is what is known of one process's counts.
type sheet struct {
	// until is the true time, since 1970, up to which the counts are whole.
	until time.Duration
	// heardAt is when until was last told; for the own process it does not count.
	heardAt time.Time
	// direct is set if the process itself told, so that this node passes it on.
	direct  bool
	windows map[Window]map[definer.OrganisationName]*count
}

// receiver is what a node was told.
type receiver struct {
	// revision is that up to which it was told, reports counts the reports to it.
	revision uint64
	reports  int
}

// Tallier counts. It is safe for concurrent use.
type Tallier struct {
	self  definer.Member
	width time.Duration

	// mutex guards the rest; no other lock is taken under it.
	mutex    sync.Mutex
	revision uint64
	// newest is the newest window that was begun; older ones than keptWindows before it
	// are forgotten.
	newest    Window
	sheets    map[definer.Member]*sheet
	receivers map[definer.VM]*receiver
}

// New returns a Tallier of a process for windows of the width.
func New(self definer.Member, width time.Duration) *Tallier {
	tallier := &Tallier{self: self, width: width, sheets: make(map[definer.Member]*sheet), receivers: make(map[definer.VM]*receiver)}
	tallier.sheets[self] = newSheet()
	tallier.sheets[self].direct = true
	return tallier
}

func newSheet() *sheet {
	return &sheet{windows: make(map[Window]map[definer.OrganisationName]*count)}
}

// At returns the window that a true time is in.
func (tallier *Tallier) At(now time.Time) Window {
	return Window(time.Duration(now.UnixNano()) / tallier.width)
}

// End returns when a window ends.
func (tallier *Tallier) End(window Window) time.Time {
	return time.Unix(0, int64(time.Duration(window+1)*tallier.width))
}

// Count counts one request that began at the true time.
func (tallier *Tallier) Count(now time.Time, organisation definer.OrganisationName) {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	window := tallier.At(now)
	tallier.advance(window)
	known := tallier.sheets[tallier.self].count(window, organisation)
	tallier.revision++
	known.requests++
	known.revision = tallier.revision
}

// count returns an organisation's count in a window.
func (sheet *sheet) count(window Window, organisation definer.OrganisationName) *count {
	counts := sheet.windows[window]
	if counts == nil {
		counts = make(map[definer.OrganisationName]*count)
		sheet.windows[window] = counts
	}
	known := counts[organisation]
	if known == nil {
		known = &count{}
		counts[organisation] = known
	}
	return known
}

// advance forgets what is too old beside the window; mutex is held.
func (tallier *Tallier) advance(window Window) {
	if window <= tallier.newest {
		return
	}
	tallier.newest = window
	for member, sheet := range tallier.sheets {
		for known := range sheet.windows {
			if !tallier.keeps(known) {
				delete(sheet.windows, known)
			}
		}
		if len(sheet.windows) == 0 && member != tallier.self && !tallier.keeps(Window(sheet.until/tallier.width)) {
			delete(tallier.sheets, member)
		}
	}
}

// keeps tells whether counts of a window are kept; mutex is held.
func (tallier *Tallier) keeps(window Window) bool {
	return window+keptWindows >= tallier.newest && window <= tallier.newest+1
}

// Tell returns the report to a node at the true time, of what this node and those that
// report to it counted: what has changed since the last one, and now and then all of the
// newest windows.
func (tallier *Tallier) Tell(now time.Time, to definer.VM) *messenger.UsageReport {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	tallier.advance(tallier.At(now))
	tallier.sheets[tallier.self].until = time.Duration(now.UnixNano())
	told := tallier.receivers[to]
	if told == nil {
		told = &receiver{}
		tallier.receivers[to] = told
	}
	since := told.revision
	repeats := told.reports%wholeEvery == 0
	told.reports++
	told.revision = tallier.revision
	composed := &composition{report: &messenger.UsageReport{}, places: make(map[definer.OrganisationName]int)}
	for member, sheet := range tallier.sheets {
		if !sheet.direct {
			continue
		}
		process := messenger.ProcessUsage{Member: member, Until: sheet.until}
		for window, counts := range sheet.windows {
			from := since
			if repeats && window+repeatedWindows > tallier.newest {
				from = 0
			}
			process.Windows = composed.add(process.Windows, window, counts, from)
		}
		composed.report.Processes = append(composed.report.Processes, process)
	}
	return composed.report
}

// composition is a report in the making.
type composition struct {
	report *messenger.UsageReport
	// places are those of the organisations that are named so far.
	places map[definer.OrganisationName]int
}

// add appends what has changed in a window after a revision, if anything has.
func (composition *composition) add(windows []messenger.WindowUsage, window Window, counts map[definer.OrganisationName]*count, since uint64) []messenger.WindowUsage {
	usage := messenger.WindowUsage{Window: uint64(window)}
	for organisation, count := range counts {
		if count.revision <= since {
			continue
		}
		place, named := composition.places[organisation]
		if !named {
			place = len(composition.report.Organisations)
			composition.places[organisation] = place
			composition.report.Organisations = append(composition.report.Organisations, organisation)
		}
		usage.Organisations = append(usage.Organisations, place)
		usage.Requests = append(usage.Requests, count.requests)
	}
	if len(usage.Organisations) == 0 {
		return windows
	}
	return append(windows, usage)
}

// Take takes in what a peer told at the true time. What cannot be is left out.
func (tallier *Tallier) Take(now time.Time, from definer.Member, report *messenger.UsageReport) {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	tallier.advance(tallier.At(now))
	for index := range report.Processes {
		process := &report.Processes[index]
		if process.Member == tallier.self {
			continue
		}
		known := tallier.sheets[process.Member]
		if known == nil && len(tallier.sheets) >= mostProcesses {
			continue
		}
		if known == nil {
			known = newSheet()
			tallier.sheets[process.Member] = known
		}
		known.direct = known.direct || process.Member == from
		if process.Until > known.until {
			known.until, known.heardAt = process.Until, now
		}
		for _, usage := range process.Windows {
			tallier.merge(known, &usage, report.Organisations)
		}
	}
}

// merge takes in one window of a process; mutex is held.
func (tallier *Tallier) merge(sheet *sheet, usage *messenger.WindowUsage, names []definer.OrganisationName) {
	if !tallier.keeps(Window(usage.Window)) || len(usage.Organisations) != len(usage.Requests) {
		return
	}
	for index, place := range usage.Organisations {
		if place < 0 || place >= len(names) {
			continue
		}
		known := sheet.count(Window(usage.Window), names[place])
		if usage.Requests[index] > known.requests {
			tallier.revision++
			known.requests, known.revision = usage.Requests[index], tallier.revision
		}
	}
}

// Usage is what is known of a window.
type Usage struct {
	Requests map[definer.OrganisationName]uint64
	// Running counts the processes that run, this one among them; Whole those of them
	// whose counts of the window are whole.
	Running int
	Whole   int
	// Lost counts the processes that ended within the window or before their counts of it
	// were whole.
	Lost int
}

// Usage returns what is known of a window at the true time.
func (tallier *Tallier) Usage(now time.Time, window Window) Usage {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	tallier.advance(tallier.At(now))
	end := time.Duration(tallier.End(window).UnixNano())
	usage := Usage{Requests: make(map[definer.OrganisationName]uint64)}
	for member, sheet := range tallier.sheets {
		for organisation, count := range sheet.windows[window] {
			usage.Requests[organisation] += count.requests
		}
		whole := sheet.until >= end || member == tallier.self
		running := member == tallier.self || now.Sub(sheet.heardAt) < heardLife
		switch {
		case running && whole:
			usage.Running++
			usage.Whole++
		case running:
			usage.Running++
		case !whole && sheet.until > end-tallier.width:
			usage.Lost++
		}
	}
	return usage
}

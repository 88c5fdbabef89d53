// Package tallier counts the requests of each organisation that began at upstreams, per
// window of time, and merges the counts of all processes. Each process counts its own
// requests; nodes exchange reports of the counts they know. Counts only grow and are kept
// by the process that counted them, so that merging is idempotent and commutative:
// reports may be lost, repeated, delayed, or arrive over several paths.
package tallier

import (
	"maps"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// keptWindows is the number of windows kept before the current one: 2 min of windows
	// of 5 s, to bridge an outage of the store. At 2,100 requests a second that takes
	// some 20 MB.
	keptWindows = 24
	// resentWindows is the number of newest windows that full reports contain whole, in
	// case the report with their last counts was lost.
	resentWindows = 3
	// processTimeout is how long a process counts as running after its last report.
	processTimeout = 2500 * time.Millisecond
	// reportsPerFullReport makes one of so many reports to a node a full one, which
	// repeats the counts of the newest windows in case earlier reports were lost.
	reportsPerFullReport = 4
	// maxProcesses bounds the processes whose counts are kept: several starts of each
	// node of a large deployment.
	maxProcesses = 4096
)

// Window is the number of a window of time: window n begins n window widths after the
// start of 1970.
type Window uint64

// count is the number of requests of one organisation in one window of one process.
type count struct {
	requests uint64
	// revision is the revision of the Tallier at the last change.
	revision uint64
}

// processRecord holds the known counts of one process.
type processRecord struct {
	// completeUntil is the true time, as a duration since 1970, up to which the counts
	// known here are complete, statedUntil that up to which a report stated them to be. The
	// latter is later if this node lacks an earlier report.
	completeUntil time.Duration
	statedUntil   time.Duration
	// missing is the span before completeUntil of which counts may be missing nevertheless.
	missing gap
	// updatedAt is when statedUntil last advanced; it is not used for the own process.
	updatedAt time.Time
	// direct is set if the process itself reported to this node, which then passes its
	// counts on.
	direct  bool
	windows map[Window]map[definer.OrganisationName]*count
}

// senderState records what a process has sent.
type senderState struct {
	// revision is the revision of the sender up to which this node has all its changes.
	revision uint64
	// receivedAt is when its last report was received.
	receivedAt time.Time
}

// receiverState records what a node has been sent.
type receiverState struct {
	// incarnation is that of the latest message of the node; 0 if none has come.
	incarnation definer.Incarnation
	// revision is the revision up to which the node has been sent changes, reportCount
	// the number of reports to it.
	revision    uint64
	reportCount int
}

// Tallier counts the requests of its process and merges the reports of others. The times
// passed to its methods are true times of day, as far as the node knows them, not
// readings of the VM's clock. It is safe for concurrent use.
type Tallier struct {
	self  definer.Member
	width time.Duration

	// mutex guards the fields below. No other lock is acquired while it is held.
	mutex    sync.Mutex
	revision uint64
	// newest is the newest window seen; windows more than keptWindows before it are
	// removed.
	newest    Window
	records   map[definer.Member]*processRecord
	receivers map[definer.VM]*receiverState
	// senders holds the processes that reported within the windows kept.
	senders map[definer.Member]senderState
}

// New returns a Tallier for the process self with windows of the given width.
func New(self definer.Member, width time.Duration) *Tallier {
	tallier := &Tallier{self: self, width: width, records: make(map[definer.Member]*processRecord), receivers: make(map[definer.VM]*receiverState), senders: make(map[definer.Member]senderState)}
	tallier.records[self] = newProcessRecord()
	tallier.records[self].direct = true
	return tallier
}

func newProcessRecord() *processRecord {
	return &processRecord{windows: make(map[Window]map[definer.OrganisationName]*count)}
}

// WindowAt returns the window that contains a time.
func (tallier *Tallier) WindowAt(now time.Time) Window {
	return Window(time.Duration(now.UnixNano()) / tallier.width)
}

// WindowEnd returns the end of a window.
func (tallier *Tallier) WindowEnd(window Window) time.Time {
	return time.Unix(0, int64(time.Duration(window+1)*tallier.width))
}

// Count counts one request of an organisation that began at now.
func (tallier *Tallier) Count(now time.Time, organisation definer.OrganisationName) {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	window := tallier.WindowAt(now)
	tallier.advance(window)
	known := tallier.records[tallier.self].count(window, organisation)
	tallier.revision++
	known.requests++
	known.revision = tallier.revision
}

// RecordPeer notes that a message of a process was received. If it is a new process of a node
// that this one reports to, it lacks what the earlier process was sent: the next report to it
// contains all counts. Incarnations have no order, since clocks may be set back; a late message of the earlier
// process costs another such report.
func (tallier *Tallier) RecordPeer(peer definer.Member) {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	state := tallier.receivers[peer.VM]
	if state == nil || peer.Incarnation == state.incarnation {
		return
	}
	*state = receiverState{incarnation: peer.Incarnation}
}

// count returns the count of an organisation in a window, and creates it if there is
// none.
func (record *processRecord) count(window Window, organisation definer.OrganisationName) *count {
	counts := record.windows[window]
	if counts == nil {
		counts = make(map[definer.OrganisationName]*count)
		record.windows[window] = counts
	}
	known := counts[organisation]
	if known == nil {
		known = &count{}
		counts[organisation] = known
	}
	return known
}

// advance makes window the newest one, if it is newer, and removes counts that are too
// old. The mutex is held.
func (tallier *Tallier) advance(window Window) {
	if window <= tallier.newest {
		return
	}
	tallier.newest = window
	maps.DeleteFunc(tallier.senders, func(_ definer.Member, sender senderState) bool {
		return !tallier.retains(tallier.WindowAt(sender.receivedAt))
	})
	for member, record := range tallier.records {
		for known := range record.windows {
			if !tallier.retains(known) {
				delete(record.windows, known)
			}
		}
		if len(record.windows) == 0 && member != tallier.self && !tallier.retains(Window(record.statedUntil/tallier.width)) {
			delete(tallier.records, member)
		}
	}
}

// retains reports whether counts of a window are kept. The mutex is held.
func (tallier *Tallier) retains(window Window) bool {
	return window+keptWindows >= tallier.newest && window <= tallier.newest+1
}

// NextReport returns the report to send to a node at now: the counts of this process and of
// those that report to it directly, as far as they have changed since the last report to
// that node. Full reports also repeat all counts of the newest windows.
func (tallier *Tallier) NextReport(now time.Time, to definer.VM) *messenger.UsageReport {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	tallier.advance(tallier.WindowAt(now))
	tallier.records[tallier.self].completeUntil = time.Duration(now.UnixNano())
	state := tallier.receivers[to]
	if state == nil {
		state = &receiverState{}
		tallier.receivers[to] = state
	}
	since := state.revision
	full := state.reportCount%reportsPerFullReport == 0
	state.reportCount++
	state.revision = tallier.revision
	builder := &reportBuilder{report: &messenger.UsageReport{Since: since, Revision: tallier.revision}, indexes: make(map[definer.OrganisationName]int)}
	if full {
		builder.report.Since, builder.report.Earlier = 0, since
		builder.report.Whole = uint64(max(tallier.newest, resentWindows) - resentWindows + 1)
	}
	for member, record := range tallier.records {
		if !record.direct {
			continue
		}
		process := messenger.ProcessUsage{Member: member, Until: record.completeUntil, MissingFrom: record.missing.from, MissingUntil: record.missing.until}
		for window, counts := range record.windows {
			from := since
			if full && window+resentWindows > tallier.newest {
				from = 0
			}
			process.Windows = builder.appendWindow(process.Windows, window, counts, from)
		}
		builder.report.Processes = append(builder.report.Processes, process)
	}
	return builder.report
}

// reportBuilder assembles a report.
type reportBuilder struct {
	report *messenger.UsageReport
	// indexes holds the indexes of the organisations that are in the report so far.
	indexes map[definer.OrganisationName]int
}

// appendWindow appends the counts of a window that have changed since a revision, if
// there are any, to windows.
func (builder *reportBuilder) appendWindow(windows []messenger.WindowUsage, window Window, counts map[definer.OrganisationName]*count, since uint64) []messenger.WindowUsage {
	usage := messenger.WindowUsage{Window: uint64(window)}
	for organisation, count := range counts {
		if count.revision <= since {
			continue
		}
		position, named := builder.indexes[organisation]
		if !named {
			position = len(builder.report.Organisations)
			builder.indexes[organisation] = position
			builder.report.Organisations = append(builder.report.Organisations, organisation)
		}
		usage.Organisations = append(usage.Organisations, position)
		usage.Requests = append(usage.Requests, count.requests)
	}
	if len(usage.Organisations) == 0 {
		return windows
	}
	return append(windows, usage)
}

// Merge merges the report of a peer that was received at now. Invalid entries are ignored.
func (tallier *Tallier) Merge(now time.Time, from definer.Member, report *messenger.UsageReport) {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	tallier.advance(tallier.WindowAt(now))
	revision := tallier.senders[from].revision
	gapless := tallier.recordSender(now, from, report)
	for index := range report.Processes {
		process := &report.Processes[index]
		if process.Member == tallier.self {
			continue
		}
		known := tallier.records[process.Member]
		if known == nil && len(tallier.records) >= maxProcesses {
			continue
		}
		if known == nil {
			known = newProcessRecord()
			tallier.records[process.Member] = known
		}
		if process.Member == from && !known.direct {
			tallier.makeDirect(known)
		}
		if process.Until > known.statedUntil {
			known.statedUntil, known.updatedAt = process.Until, now
		}
		known.missing.extend(gap{from: process.MissingFrom, until: process.MissingUntil})
		if gapless && process.Until > known.completeUntil {
			known.missing.extend(tallier.gapBefore(known, report, revision))
			known.completeUntil = process.Until
		}
		for _, usage := range process.Windows {
			tallier.merge(known, &usage, report.Organisations)
		}
	}
}

// recordSender notes a report of a process and reports whether this node has all earlier changes
// of its counts: otherwise the times up to which the report states them to be complete do not
// hold for this node. The mutex is held.
func (tallier *Tallier) recordSender(now time.Time, from definer.Member, report *messenger.UsageReport) bool {
	sender := tallier.senders[from]
	gapless := report.Since <= sender.revision
	if gapless {
		sender.revision = max(sender.revision, report.Revision)
	}
	sender.receivedAt = now
	if _, known := tallier.senders[from]; known || len(tallier.senders) < maxProcesses {
		tallier.senders[from] = sender
	}
	return gapless
}

// makeDirect makes this node pass on the counts of a process. All of them count as changed, since
// the receivers were not sent them before. The mutex is held.
func (tallier *Tallier) makeDirect(record *processRecord) {
	record.direct = true
	tallier.revision++
	for _, counts := range record.windows {
		for _, count := range counts {
			count.revision = tallier.revision
		}
	}
}

// merge merges the counts of one window of a process. The mutex is held.
func (tallier *Tallier) merge(record *processRecord, usage *messenger.WindowUsage, names []definer.OrganisationName) {
	if !tallier.retains(Window(usage.Window)) || len(usage.Organisations) != len(usage.Requests) {
		return
	}
	for index, position := range usage.Organisations {
		if position < 0 || position >= len(names) {
			continue
		}
		known := record.count(Window(usage.Window), names[position])
		if usage.Requests[index] > known.requests {
			tallier.revision++
			known.requests, known.revision = usage.Requests[index], tallier.revision
		}
	}
}

// Usage is the usage of a window, as far as it is known.
type Usage struct {
	Requests map[definer.OrganisationName]uint64
	// Running is the number of running processes, this one included; Complete is the number
	// of them whose counts of the window are complete.
	Running  int
	Complete int
	// Lost is the number of processes that ended within the window or before their counts
	// of it were complete.
	Lost int
}

// Usage returns the usage of a window as it is known at now.
func (tallier *Tallier) Usage(now time.Time, window Window) Usage {
	tallier.mutex.Lock()
	defer tallier.mutex.Unlock()
	tallier.advance(tallier.WindowAt(now))
	end := time.Duration(tallier.WindowEnd(window).UnixNano())
	usage := Usage{Requests: make(map[definer.OrganisationName]uint64)}
	for member, record := range tallier.records {
		for organisation, count := range record.windows[window] {
			usage.Requests[organisation] += count.requests
		}
		whole := record.completeUntil >= end && !record.missing.overlaps(end-tallier.width, end) || member == tallier.self
		running := member == tallier.self || now.Sub(record.updatedAt) < processTimeout
		switch {
		case running && whole:
			usage.Running++
			usage.Complete++
		case running:
			usage.Running++
		case !whole && record.completeUntil > end-tallier.width:
			usage.Lost++
		}
	}
	return usage
}

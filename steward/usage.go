package steward

import (
	"context"
	"maps"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/leaseholder"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/tallier"
	"limpetcleat/timer"
)

const (
	// The delay shares are parts of Settings.UsageDeadline. A window is settled after
	// completeDelayShare if all running processes have reported their counts, and after
	// partialDelayShare if some have not.
	completeDelayShare = 0.12
	partialDelayShare  = 0.3
	// unheardDelayShare is the additional delay of a node that has reports from nobody. The
	// delay falls in proportion to the share of listed nodes that report, and is zero from
	// fullReportingShare on, since the list may hold nodes that are gone.
	unheardDelayShare  = 0.4
	fullReportingShare = 0.9
	// minorityDelayShare is the least delay of a node that has reports from less than
	// majorityShare of the listed nodes. It is longer than the wait of a node that receives more reports, two ranks
	// included: one that waited for the counts of a killed process was overtaken by the
	// smaller part of a partition, which missed nobody and settled the window with its own
	// counts only.
	minorityDelayShare = 0.6
	majorityShare      = 0.5
	// rankDelayShare is the additional delay for each node that goes before in precedence,
	// and for each failure of this node.
	rankDelayShare = 0.06
	// maxDelayShare bounds the sum of these delays, to leave time for the calls.
	maxDelayShare = 0.7
	// minKeptWindows is the least number of windows that the book keeps, so that a node that
	// takes over finds the last ones.
	minKeptWindows = 2
	// maxBacklog bounds how many windows are reported after a long outage.
	maxBacklog = 24
	// firstPause and longestPause bound the pause after a failure.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// unreadablePause is the pause after a claim that cannot be read: an operator has to
	// remove it.
	unreadablePause = 10 * time.Second
)

// usageDuty reports usage. A single goroutine calls its step.
type usageDuty struct {
	steward *Steward
	lease   *leaseholder.Leaseholder[Book]
	// firstWindow is the window in which this process started.
	firstWindow tallier.Window
	// pausedUntil is when the pause after a failure ends.
	pausedUntil time.Time
	// watchedToken is the token of another node's claim that this node has found with windows
	// settled but not reported.
	watchedToken uint64

	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// reported is the newest window known to be reported.
	reported tallier.Window
	// failures is the number of this node's failures less the number of times that reported
	// advanced since, and at least 0.
	failures int
}

func newUsageDuty(steward *Steward) *usageDuty {
	return &usageDuty{
		steward:     steward,
		lease:       leaseholder.New[Book](steward.parts.Store, UsageDuty, steward.self, steward.settings.Lease),
		firstWindow: steward.tallier.WindowAt(steward.parts.Clock.Now()),
	}
}

// markReported notes that usage is reported up to a window.
func (duty *usageDuty) markReported(window tallier.Window) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if window > duty.reported {
		duty.reported, duty.failures = window, max(duty.failures-1, 0)
	}
}

// failureCount returns the number of failures that delay this node.
func (duty *usageDuty) failureCount() int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.failures
}

// reportedUntil returns the newest window known to be reported.
func (duty *usageDuty) reportedUntil() tallier.Window {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.reported
}

// step settles and reports the windows that are due for this node.
func (duty *usageDuty) step(ctx context.Context) {
	if time.Now().Before(duty.pausedUntil) {
		return
	}
	steward := duty.steward
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.hasYielded)
	if !precedence.Eligible {
		return
	}
	now := steward.parts.Clock.Now()
	due := duty.dueWindow(now, &precedence)
	if due <= duty.reportedUntil() || due < duty.firstWindow && precedence.Rank > 0 {
		// Windows that ended before this process started are left to the first node in
		// precedence, which notifies the others once they are reported.
		return
	}
	if !duty.holdsClaimFor(due) {
		if err := duty.claim(ctx, now, due, precedence.NodeCount); err != nil {
			duty.handleFailure("claim", err)
			return
		}
	}
	duty.reportAll(ctx)
}

// claim claims the duty and records all windows up to the due one as settled. The error is of
// package leaseholder.
func (duty *usageDuty) claim(ctx context.Context, now time.Time, due tallier.Window, listed int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.lease.Acquire(ctx, now, func(current *leaseholder.Claim[Book]) (Book, bool) {
		return duty.settle(now, due, current, listed)
	})
}

// dueWindow returns the newest window that this node is to report by now.
func (duty *usageDuty) dueWindow(now time.Time, precedence *exchanger.Precedence) tallier.Window {
	tallier := duty.steward.tallier
	window := tallier.WindowAt(now) - 1
	for ; window > duty.reportedUntil() && now.Before(tallier.WindowEnd(window).Add(duty.reportDelay(now, window, precedence))); window-- {
	}
	return window
}

// reportDelay returns how long after the end of a window this node tries to report it: nodes
// with reports from more of the others go first.
func (duty *usageDuty) reportDelay(now time.Time, window tallier.Window, precedence *exchanger.Precedence) time.Duration {
	usage := duty.steward.tallier.Usage(now, window)
	share := completeDelayShare
	if usage.Complete < usage.Running {
		share = partialDelayShare
	}
	reporting := reportingShare(&usage, precedence.NodeCount)
	share += unheardDelayShare * max(0, fullReportingShare-reporting) / fullReportingShare
	if reporting < majorityShare {
		share = max(share, minorityDelayShare)
	}
	share += rankDelayShare * float64(precedence.Rank+duty.failureCount())
	return time.Duration(min(share, maxDelayShare) * float64(duty.steward.settings.UsageDeadline))
}

// reportingShare returns the share of the listed nodes that report to this one.
func reportingShare(usage *tallier.Usage, listed int) float64 {
	return float64(usage.Running) / float64(max(listed, 1))
}

// holdsClaimFor reports whether this node's claim is valid and covers the window.
func (duty *usageDuty) holdsClaimFor(window tallier.Window) bool {
	if _, held := duty.lease.Token(); !held {
		return false
	}
	last, found := duty.lease.Current().Record.lastWindow()
	return found && last >= window
}

// settle returns the book with all windows settled up to the due one, or false if nothing is
// to be claimed: all windows are reported, or another node has settled them and is given time
// to report them.
func (duty *usageDuty) settle(now time.Time, due tallier.Window, current *leaseholder.Claim[Book], listed int) (Book, bool) {
	var book Book
	next := duty.firstWindow
	if current != nil {
		book.Settled = retainedWindows(current.Record.Settled)
		if last, found := current.Record.lastWindow(); found {
			next = last + 1
		}
	}
	if next > due && !duty.shouldTakeOver(current) {
		return Book{}, false
	}
	if due >= next+maxBacklog {
		duty.steward.parts.Log(logger.EventUsageSkipped, "from", next, "to", due-maxBacklog)
		skipped := int(due - maxBacklog + 1 - next)
		next = due - maxBacklog + 1
		duty.steward.statuses.update(func(status *Status) { status.Usage.Skipped += skipped })
	}
	for window := next; window <= due; window++ {
		usage := duty.steward.tallier.Usage(now, window)
		whole := usage.Complete == usage.Running && usage.Lost == 0 && reportingShare(&usage, listed) >= fullReportingShare && window >= duty.firstWindow
		book.Settled = append(book.Settled, SettledWindow{Window: window, Requests: usage.Requests, Complete: whole})
		duty.steward.parts.Log(logger.EventUsageSettled, "window", window, "organisations", len(usage.Requests), "requests", sumRequests(usage.Requests),
			"whole", whole, "running", usage.Running, "toldAll", usage.Complete, "lost", usage.Lost, "listed", listed)
	}
	return book, true
}

// shouldTakeOver reports whether this node is to report the windows that are settled in the
// current claim. Windows that another node has settled are left to it while its claim is
// valid.
func (duty *usageDuty) shouldTakeOver(current *leaseholder.Claim[Book]) bool {
	if current == nil {
		duty.markReported(duty.firstWindow - 1) // No request began before the first process started.
		return false
	}
	if len(current.Record.unreported()) == 0 {
		last, _ := current.Record.lastWindow()
		duty.markReported(last)
		return false
	}
	if current.Holder == duty.steward.self.VM || current.Token == duty.watchedToken {
		return true
	}
	duty.watchedToken = current.Token
	duty.pause(duty.steward.settings.Lease)
	return false
}

// retainedWindows returns copies of the windows of a book that are still needed.
func retainedWindows(settled []SettledWindow) []SettledWindow {
	var windows []SettledWindow
	for index, window := range settled {
		if !window.Reported || index+minKeptWindows >= len(settled) {
			window.Requests = maps.Clone(window.Requests)
			windows = append(windows, window)
		}
	}
	return windows
}

// sumRequests returns the number of requests of all organisations.
func sumRequests(requests map[definer.OrganisationName]uint64) uint64 {
	var sum uint64
	for _, count := range requests {
		sum += count
	}
	return sum
}

// reportAll reports each window that is settled but not reported, under this node's claim,
// until one fails or the lease ends.
func (duty *usageDuty) reportAll(ctx context.Context) {
	steward := duty.steward
	for _, settled := range duty.lease.Current().Record.unreported() {
		token, held := duty.lease.Token()
		if !held {
			return
		}
		err := duty.reportWindow(ctx, Grant{Holder: steward.self.VM, Token: token}, settled)
		duty.lease.RecordResult(err)
		if err != nil {
			duty.handleFailure("tell", err)
			return
		}
		settled.Reported = true
		duty.markReported(settled.Window)
		duty.recordReport(settled, token)
		steward.notifyAudience(ctx, &messenger.DutyNotice{Duty: UsageDuty, Token: token, Window: uint64(settled.Window)})
	}
}

// recordReport logs that a window is reported and adds it to the status.
func (duty *usageDuty) recordReport(settled *SettledWindow, token uint64) {
	steward := duty.steward
	now := steward.parts.Clock.Now()
	late := now.Sub(steward.tallier.WindowEnd(settled.Window))
	steward.parts.Log(logger.EventUsageReported, "window", settled.Window, "token", token, "whole", settled.Complete, "lateMs", late.Milliseconds())
	steward.statuses.update(func(status *Status) {
		usage := &status.Usage
		usage.DutyStatus = DutyStatus{Holds: true, Holder: steward.self.VM, Token: token}
		usage.ReportedUntil = settled.Window
		usage.Reports = appendBounded(usage.Reports, Report{Window: settled.Window, Token: token, Requests: sumRequests(settled.Requests), Whole: settled.Complete, Late: late, At: now})
		if settled.Complete {
			usage.Whole++
		} else {
			usage.Partial++
		}
	})
}

func (duty *usageDuty) reportWindow(ctx context.Context, grant Grant, settled *SettledWindow) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.steward.parts.Platform.ReportUsage(ctx, grant, settled)
}

// handleFailure counts and logs a failed step, and pauses the duty.
func (duty *usageDuty) handleFailure(step string, err error) {
	switch {
	case leaseholder.IsKind(err, leaseholder.Unneeded):
		duty.lease.Forget()
		return
	case leaseholder.IsKind(err, leaseholder.HeldByOther) || leaseholder.IsKind(err, leaseholder.Conflict):
		duty.pause(firstPause)
	case leaseholder.IsKind(err, leaseholder.Unreadable):
		duty.pause(unreadablePause)
	default:
		duty.mutex.Lock()
		duty.failures++
		duty.mutex.Unlock()
		duty.pause(timer.Doubled(firstPause, longestPause, duty.failureCount()-1))
	}
	duty.steward.parts.Log(logger.EventDutyFailed, "duty", UsageDuty, "step", step, "failures", duty.failureCount(), "cause", err)
}

func (duty *usageDuty) pause(pause time.Duration) { duty.pausedUntil = time.Now().Add(pause) }

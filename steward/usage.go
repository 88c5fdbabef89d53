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
	// Parts of the time within which a window has to be told. It is settled after
	// wholeShare if all nodes that run have told what they counted, after partialShare if
	// some have not.
	wholeShare   = 0.12
	partialShare = 0.3
	// unheardShare is how much later a node tries that hears nobody; one that hears some
	// tries in proportion, from wellHeard of those listed on at once. The list may hold
	// nodes that are gone.
	unheardShare = 0.4
	wellHeard    = 0.9
	// rankShare is how much later than the one before it each node tries, and how much
	// later for each of its failures.
	rankShare = 0.06
	// latestShare bounds all that, so that there is time for the calls.
	latestShare = 0.7
	// keptSettled is how many windows the book keeps at least, so that whoever takes over
	// finds the last ones.
	keptSettled = 2
	// mostBehind bounds how many windows are told when nobody could for long.
	mostBehind = 24
	// firstPause and longestPause bound the pause behind a failure.
	firstPause   = 250 * time.Millisecond
	longestPause = 4 * time.Second
	// unreadablePause is that behind a claim that cannot be read: somebody has to remove it.
	unreadablePause = 10 * time.Second
)

// usageDuty tells usage. Its step is called by one goroutine.
type usageDuty struct {
	steward *Steward
	lease   *leaseholder.Leaseholder[Book]
	// first is the window in which this process started.
	first tallier.Window
	// pausedUntil is until when nothing is tried.
	pausedUntil time.Time
	// watched is the token of another's claim that this node has found with windows that
	// are settled and not told.
	watched uint64

	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// told is the last window that is known to be told.
	told tallier.Window
	// failures counts this node's, less the windows that were told since.
	failures int
}

func newUsageDuty(steward *Steward) *usageDuty {
	return &usageDuty{
		steward: steward,
		lease:   leaseholder.New[Book](steward.parts.Shelf, UsageDuty, steward.self, steward.settings.Lease),
		first:   steward.tallier.At(steward.parts.Clock.Now()),
	}
}

// hear takes in up to which window usage is told.
func (duty *usageDuty) hear(told tallier.Window) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if told > duty.told {
		duty.told, duty.failures = told, max(duty.failures-1, 0)
	}
}

// failing returns how many failures count against this node.
func (duty *usageDuty) failing() int {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.failures
}

// toldUntil returns up to which window usage is known to be told.
func (duty *usageDuty) toldUntil() tallier.Window {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.told
}

// step settles and tells what is due, if it is for this node to do so.
func (duty *usageDuty) step(ctx context.Context) {
	if time.Now().Before(duty.pausedUntil) {
		return
	}
	steward := duty.steward
	precedence := steward.parts.Fleet.Precedence(time.Now(), steward.yields)
	if !precedence.Eligible {
		return
	}
	now := steward.parts.Clock.Now()
	due := duty.due(now, &precedence)
	if due <= duty.toldUntil() || due < duty.first && precedence.Rank > 0 {
		// What ended before this process started is left to the first, which tells the
		// others that it is told.
		return
	}
	if !duty.holds(due) {
		if err := duty.claim(ctx, now, due, precedence.Listed); err != nil {
			duty.failed("claim", err)
			return
		}
	}
	duty.tellAll(ctx)
}

// claim claims the duty with all windows settled up to the one that is due. The error is of
// package leaseholder.
func (duty *usageDuty) claim(ctx context.Context, now time.Time, due tallier.Window, listed int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.lease.Take(ctx, now, func(standing *leaseholder.Claim[Book]) (Book, bool) {
		return duty.settle(now, due, standing, listed)
	})
}

// due returns the newest window that this node is to see to by now.
func (duty *usageDuty) due(now time.Time, precedence *exchanger.Precedence) tallier.Window {
	tallier := duty.steward.tallier
	window := tallier.At(now) - 1
	for ; window > duty.toldUntil() && now.Before(tallier.End(window).Add(duty.patience(now, window, precedence))); window-- {
	}
	return window
}

// patience returns how long after a window's end this node sees to it: who hears from more
// nodes goes first.
func (duty *usageDuty) patience(now time.Time, window tallier.Window, precedence *exchanger.Precedence) time.Duration {
	usage := duty.steward.tallier.Usage(now, window)
	share := wholeShare
	if usage.Whole < usage.Running {
		share = partialShare
	}
	share += unheardShare * max(0, wellHeard-heardShare(&usage, precedence.Listed)) / wellHeard
	share += rankShare * float64(precedence.Rank+duty.failing())
	return time.Duration(min(share, latestShare) * float64(duty.steward.settings.UsageDeadline))
}

// heardShare returns the part of the listed nodes that is heard.
func heardShare(usage *tallier.Usage, listed int) float64 {
	return float64(usage.Running) / float64(max(listed, 1))
}

// holds tells whether this node's claim holds and covers the window.
func (duty *usageDuty) holds(window tallier.Window) bool {
	if _, held := duty.lease.Token(); !held {
		return false
	}
	last, any := duty.lease.Standing().Record.last()
	return any && last >= window
}

// settle returns the book with all windows settled up to the one that is due, or false if
// another node has settled them just now and is to be let tell them.
func (duty *usageDuty) settle(now time.Time, due tallier.Window, standing *leaseholder.Claim[Book], listed int) (Book, bool) {
	var book Book
	next := duty.first
	if standing != nil {
		book.Settled = kept(standing.Record.Settled)
		if last, any := standing.Record.last(); any {
			next = last + 1
		}
	}
	if next > due && !duty.takesOver(standing) {
		return Book{}, false
	}
	if due >= next+mostBehind {
		duty.steward.parts.Log(logger.EventUsageSkipped, "from", next, "to", due-mostBehind)
		skipped := int(due - mostBehind + 1 - next)
		next = due - mostBehind + 1
		duty.steward.board.change(func(status *Status) { status.Usage.Skipped += skipped })
	}
	for window := next; window <= due; window++ {
		usage := duty.steward.tallier.Usage(now, window)
		whole := usage.Whole == usage.Running && usage.Lost == 0 && heardShare(&usage, listed) >= wellHeard && window >= duty.first
		book.Settled = append(book.Settled, Settled{Window: window, Requests: usage.Requests, Whole: whole})
		duty.steward.parts.Log(logger.EventUsageSettled, "window", window, "organisations", len(usage.Requests), "requests", total(usage.Requests),
			"whole", whole, "running", usage.Running, "toldAll", usage.Whole, "lost", usage.Lost, "listed", listed)
	}
	return book, true
}

// takesOver tells whether this node is to tell what stands settled. What another has settled
// is left to it for as long as its claim holds.
func (duty *usageDuty) takesOver(standing *leaseholder.Claim[Book]) bool {
	if standing == nil {
		duty.hear(duty.first - 1) // Nothing began before the first process did.
		return false
	}
	if len(standing.Record.untold()) == 0 {
		last, _ := standing.Record.last()
		duty.hear(last)
		return false
	}
	if standing.Holder == duty.steward.self.VM || standing.Token == duty.watched {
		return true
	}
	duty.watched = standing.Token
	duty.pause(duty.steward.settings.Lease)
	return false
}

// kept returns the windows of a book that are still needed, copied.
func kept(settled []Settled) []Settled {
	var windows []Settled
	for index, window := range settled {
		if !window.Told || index+keptSettled >= len(settled) {
			window.Requests = maps.Clone(window.Requests)
			windows = append(windows, window)
		}
	}
	return windows
}

// total returns the sum over organisations.
func total(requests map[definer.OrganisationName]uint64) uint64 {
	var sum uint64
	for _, each := range requests {
		sum += each
	}
	return sum
}

// tellAll tells each window that is settled and not told, under this node's claim.
func (duty *usageDuty) tellAll(ctx context.Context) {
	steward := duty.steward
	for _, settled := range duty.lease.Standing().Record.untold() {
		token, held := duty.lease.Token()
		if !held {
			return
		}
		err := duty.tell(ctx, Grant{Holder: steward.self.VM, Token: token}, settled)
		duty.lease.Acted(err)
		if err != nil {
			duty.failed("tell", err)
			return
		}
		settled.Told = true
		duty.hear(settled.Window)
		duty.report(settled, token)
		steward.notify(ctx, &messenger.DutyNotice{Duty: UsageDuty, Token: token, Window: uint64(settled.Window)})
	}
}

// report logs that a window is told, and shows it to operators.
func (duty *usageDuty) report(settled *Settled, token uint64) {
	steward := duty.steward
	now := steward.parts.Clock.Now()
	late := now.Sub(steward.tallier.End(settled.Window))
	steward.parts.Log(logger.EventUsageTold, "window", settled.Window, "token", token, "whole", settled.Whole, "lateMs", late.Milliseconds())
	steward.board.change(func(status *Status) {
		usage := &status.Usage
		usage.DutyStatus = DutyStatus{Holds: true, Holder: steward.self.VM, Token: token}
		usage.ToldUntil = settled.Window
		usage.Reports = latest(usage.Reports, Report{Window: settled.Window, Token: token, Requests: total(settled.Requests), Whole: settled.Whole, Late: late, At: now})
		if settled.Whole {
			usage.Whole++
		} else {
			usage.Partial++
		}
	})
}

func (duty *usageDuty) tell(ctx context.Context, grant Grant, settled *Settled) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return duty.steward.parts.Platform.Tell(ctx, grant, settled)
}

// failed notes and logs that a step failed, and pauses.
func (duty *usageDuty) failed(step string, err error) {
	switch {
	case leaseholder.IsKind(err, leaseholder.Needless):
		duty.lease.Forget()
		return
	case leaseholder.IsKind(err, leaseholder.Resting) || leaseholder.IsKind(err, leaseholder.Conflict):
		duty.pause(firstPause)
	case leaseholder.IsKind(err, leaseholder.Unreadable):
		duty.pause(unreadablePause)
	default:
		duty.mutex.Lock()
		duty.failures++
		duty.mutex.Unlock()
		duty.pause(timer.Doubled(firstPause, longestPause, duty.failing()-1))
	}
	duty.steward.parts.Log(logger.EventDutyFailed, "duty", UsageDuty, "step", step, "failures", duty.failing(), "cause", err)
}

func (duty *usageDuty) pause(pause time.Duration) { duty.pausedUntil = time.Now().Add(pause) }

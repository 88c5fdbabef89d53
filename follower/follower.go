// Package follower keeps a local copy of entries in the platform's store up to date: it
// lists all entries of one kind once and then watches for changes by long polling. While
// watches fail and lists are answered, it polls by lists. It reports up to when the copy
// is known to have been current, and how calls to the store end.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"limpetcleat/failer"
	"limpetcleat/timer"
)

// Kind classifies an Error.
type Kind string

const (
	// Gone marks a watch from a revision older than the store's history.
	Gone Kind = "gone"
	// TooLarge marks a call whose answer exceeds the size limit and was not read to its
	// end. After a watch, a list returns the same entries in fewer bytes.
	TooLarge Kind = "tooLarge"
	// Rejected marks a call that the store refused without any effect.
	Rejected Kind = "rejected"
	// Lost marks a call without an answer.
	Lost Kind = "lost"
	// Malformed marks an answer that could not be decoded.
	Malformed Kind = "malformed"
)

// Error is the error type of this package and of its feeds.
type Error = failer.Error[Kind]

const (
	// DefaultWait is how long a watch waits for a change. While the store answers, the
	// local copy is then at most about 2.2 s old, so that keys stay valid for another
	// 2.5 s of an outage: a revoked key may be accepted for up to 5 s.
	DefaultWait = 1200 * time.Millisecond
	// WatchLag is how far a watch may lag behind the store: according to the platform,
	// watches report no change for a second when it drops its history.
	WatchLag = time.Second
	// quickWait is the wait of the first watch after a failure, after an interrupted
	// watch, and after the duty is turned on. checkTimeout is how long it may be silent
	// before a list is asked for beside it; the store answers in some 240 ms at bad times.
	quickWait    = 20 * time.Millisecond
	checkTimeout = 250 * time.Millisecond
	// pollStep is the interval at which a follower that polls looks for the end of its pause.
	pollStep = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failure, which doubles. A node
	// has to learn of a change within about 2 s of the store's return.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Feed reads one kind of entries from the store. Its calls last until they are answered
// or their context ends, and report the progress of their answers to AnswerProgressOf the
// context. Their errors are of type Error.
type Feed[Entry, Change any] interface {
	// List returns all entries that can be decoded, and the store's revision.
	List(ctx context.Context) ([]Entry, uint64, error)
	// Watch returns the changes after the revision as soon as there is one, or none
	// after the wait, and the revisions that the answer names.
	Watch(ctx context.Context, revision uint64, wait time.Duration) ([]Change, Revisions, error)
}

// Revisions are the revisions of the store that the answer to a watch names.
type Revisions struct {
	// Changed is set if there are changes, Newest the highest revision among them, also those that cannot be
	// decoded. A removal may have that of the entry's last write.
	Changed bool
	Newest  uint64
	// Current is the revision of the store. A watch may lag behind it.
	Current uint64
	// Complete is the revision up to which no change is missing that matters, even if the watch lags; 0 if that
	// does not follow from the answer.
	Complete uint64
}

// Reading describes an answer that is handed to a Sink.
type Reading struct {
	// Revision is the revision up to which the sink has all changes after this answer. Changes of a watch may
	// be later.
	Revision uint64
	// Current is the store's revision that the answer names, After the one after which the changes of a watch were
	// made.
	Current uint64
	After   uint64
	// Outage reports that the store has just been away, so that an entry that is missing may be back.
	Outage bool
	// Stale reports that the answer may be seconds old.
	Stale bool
}

// Sink receives what a feed reads: Replace all entries, Apply the changes since the last
// answer.
type Sink[Entry, Change any] interface {
	Replace(entries []Entry, reading Reading)
	Apply(changes []Change, reading Reading)
}

// Follower keeps a Sink up to date with a Feed.
type Follower[Entry, Change any] struct {
	caller *caller[Entry, Change]
	sink   Sink[Entry, Change]
	wait   func() time.Duration
	now    func() time.Time
	pause  func(ctx context.Context, wait time.Duration)
	// gatherPause returns the pause after a watch that returned changes.
	gatherPause func() time.Duration
	onOutage    func(outage Outage)
	onRecovery  func(after time.Duration)
	onWatch     func(answer WatchAnswer)
	// settling reports whether the store has just been away for everyone. The calls of one follower
	// can't tell.
	settling func() bool
	// duty tells whether this node polls the store.
	duty *Duty
	// pollAge is how long ago a list must have been answered for the next one to be asked for before its
	// time, in nanoseconds; 0 for its time.
	pollAge atomic.Int64
	// position returns the revision that the sink is up to date with by other means; 0
	// means unknown.
	position func() uint64
	// newerKnown reports whether there is a newer version than the sink holds.
	newerKnown func() bool
	// maxPause returns the bound of the pause after a failure.
	maxPause func() time.Duration

	// mutex guards confirmed, answered, owedSince, unansweredAt, healthy and failing; no other lock is acquired
	// while it is held.
	mutex     sync.Mutex
	confirmed time.Time
	answered  time.Time
	// owedSince is when the store owed an answer to the first call that failed since it last answered; zero
	// while none has.
	owedSince time.Time
	// unansweredAt is when the last call was due that failed; zero if none has.
	unansweredAt time.Time
	// healthy is set while the last call was answered, failing while it failed. Neither
	// is set before the first call.
	healthy bool
	failing bool

	// The fields below are used by the goroutine of Run alone.

	listed bool
	// gatherDue is set when the last watch returned changes, so that a pause follows;
	// gathered is the length of the last pause until the next watch has begun.
	gatherDue bool
	gathered  time.Duration
	// changed is set when the last answer was a list or held changes.
	changed bool
	// resumes is set from the beginning of a duty until a call is answered.
	resumes bool
	// quickNext is set when the next watch waits for quickWait only.
	quickNext bool
	// forms records which forms of call the store answers.
	forms forms
	// read is how far the changes have been read.
	read position
	// audit checks the copy.
	audit audit
	// settleDelay is how long after an answer with changes the follower reads again what it may lack.
	settleDelay time.Duration
	// done is closed when Run returns.
	done chan struct{}
}

// New returns a Follower that hands what the feed reads to the sink. Run starts it.
func New[Entry, Change any](feed Feed[Entry, Change], sink Sink[Entry, Change], options ...Option[Entry, Change]) *Follower[Entry, Change] {
	follower := &Follower[Entry, Change]{
		caller: newCaller(feed), sink: sink, wait: func() time.Duration { return DefaultWait }, now: time.Now, pause: sleep,
		onOutage: func(Outage) {}, onRecovery: func(time.Duration) {}, onWatch: func(WatchAnswer) {},
		gatherPause: func() time.Duration { return 0 }, settling: func() bool { return false },
		duty: NewDuty(true), position: func() uint64 { return 0 }, newerKnown: func() bool { return false },
		maxPause: func() time.Duration { return maxBackoff }, settleDelay: SettleDelay, audit: audit{interval: func() time.Duration { return 0 }},
		done: make(chan struct{}),
	}
	for _, option := range options {
		option(follower)
	}
	return follower
}

// InterruptWatch ends a watch that has been waiting for minAge, or the pause between two lists that has lasted
// so long, so that the next call shows whether the store answers. Callers use it when they learn from
// elsewhere that the watch may hang or that there is a newer version. A call whose answer is coming in
// continues. InterruptWatch is safe for concurrent use.
func (follower *Follower[Entry, Change]) InterruptWatch(minAge time.Duration) {
	follower.caller.interruptWatch(minAge)
	follower.pollAge.Store(int64(minAge))
}

// Done returns a channel that is closed when Run has returned.
func (follower *Follower[Entry, Change]) Done() <-chan struct{} { return follower.done }

// Run follows the feed until the context ends. It may be called once.
func (follower *Follower[Entry, Change]) Run(ctx context.Context) {
	defer close(follower.done)
	defer follower.caller.close()
	for ctx.Err() == nil {
		if !follower.duty.On() {
			follower.standBy(ctx)
			continue
		}
		query := follower.next()
		asked := follower.now()
		confirmed, err := follower.step(ctx, query)
		if ctx.Err() != nil {
			return
		}
		follower.quickNext = errors.Is(err, errInterrupted)
		if follower.quickNext {
			continue
		}
		if err != nil {
			follower.recordFailure(ctx, query, asked, err)
			continue
		}
		follower.recordSuccess(confirmed)
		if follower.gatherDue {
			follower.gatherDue = false
			follower.gathered = follower.gatherPause()
			follower.pause(ctx, follower.gathered)
		}
	}
}

// step makes one call, hands the answer to the sink, and returns the time up to which
// the answer confirms the contents of the sink.
func (follower *Follower[Entry, Change]) step(ctx context.Context, query query) (time.Time, error) {
	answer, err := follower.caller.ask(ctx, query)
	if err != nil {
		return time.Time{}, err
	}
	follower.resumes = false
	follower.recordAnswer(answer.query)
	follower.changed = answer.query.list || len(answer.changes) > 0
	if answer.query.list {
		follower.sink.Replace(answer.entries, Reading{Revision: answer.revision, Current: answer.revision, Outage: follower.settling()})
		follower.listed = true
		follower.read = positionAt(follower.now(), answer.revision)
		follower.audit.listedAt, follower.audit.bytes = follower.now(), answer.bytes
		return answer.asked, nil
	}
	return follower.applyWatch(answer), nil
}

// recordAnswer records that the store answered the query.
func (follower *Follower[Entry, Change]) recordAnswer(query query) {
	now, forms := follower.now(), &follower.forms
	if failed := forms.failures > 0; failed && (forms.away || !query.list) {
		follower.onRecovery(now.Sub(forms.failedSince))
	}
	forms.recordAnswer(now, query)
}

// next returns the next query.
func (follower *Follower[Entry, Change]) next() query {
	if !follower.listed || follower.forms.relist {
		return query{list: true, patience: silenceTimeout, reason: follower.reason()}
	}
	if follower.auditDue() {
		return query{list: true, patience: silenceTimeout, reason: Auditing}
	}
	// The pause counts towards the wait, after which the store has to have answered again.
	wait := max(follower.wait()-follower.gathered, quickWait)
	follower.gathered = 0
	if follower.forms.watchFailures > 0 || follower.quickNext {
		wait = quickWait
	}
	revision, reason := follower.read.reached, follower.reason()
	if !follower.read.settled() {
		left := follower.settleDelay - follower.now().Sub(follower.read.namedAt)
		wait = min(wait, max(left, quickWait))
		if left <= 0 {
			revision, reason = follower.read.complete, Settling
		}
	}
	return query{revision: revision, wait: wait, patience: follower.patience(wait), reason: reason}
}

// patience returns how long a watch may be silent. A short one that checks whether watches are
// answered is followed by a list soon, unless the store answers neither.
func (follower *Follower[Entry, Change]) patience(wait time.Duration) time.Duration {
	if wait == quickWait && !follower.forms.away {
		return checkTimeout
	}
	return silenceTimeout
}

// reason returns why the next call is made.
func (follower *Follower[Entry, Change]) reason() Reason {
	switch {
	case follower.forms.relist, follower.forms.away && !follower.listed:
		return Relisting
	case follower.forms.watchFailures > 0:
		return Retrying
	case !follower.listed && follower.read.reached == 0:
		return Starting
	case !follower.listed && follower.resumes:
		return Resuming
	case !follower.listed:
		return CatchingUp
	case follower.quickNext:
		return Hurried
	case follower.changed:
		return Changed
	}
	return Standing
}

// applyWatch hands the changes of a watch to the sink, and returns the time up to which
// the answer confirms the contents of the sink; zero if it does not.
func (follower *Follower[Entry, Change]) applyWatch(answer answer[Entry, Change]) time.Time {
	// The answer may have been on its way for long. One with changes may have been made at once.
	answered := answer.asked
	if answer.revisions.Changed {
		follower.onWatch(WatchAnswer{Revisions: answer.revisions, After: answer.query.revision, Changes: len(answer.changes)})
	} else {
		answered = answered.Add(min(follower.now().Sub(answer.asked), answer.query.wait))
	}
	read := &follower.read
	before := *read
	read.record(follower.now(), answered, answer.query.revision, answer.revisions, follower.settleDelay)
	if len(answer.changes) > 0 || !before.settled() && read.complete > before.complete {
		follower.sink.Apply(answer.changes, Reading{Revision: read.complete, Current: answer.revisions.Current, After: answer.query.revision, Outage: follower.settling()})
	}
	if read.reached > before.reached && !read.settled() {
		follower.gatherDue = follower.gatherPause() > 0 && !follower.settling()
	}
	if answer.query.revision > before.complete {
		return time.Time{} // What is missing before that revision may be older than the answer.
	}
	return answered.Add(-WatchLag)
}

// recordFailure records that the query failed, and pauses unless the store is to be asked in another way at
// once.
func (follower *Follower[Entry, Change]) recordFailure(ctx context.Context, query query, asked time.Time, err error) {
	if query.reason == Auditing {
		// The next watch shows whether the store answers.
		follower.setOwed(asked)
		follower.audit.listedAt, follower.quickNext = follower.now(), true
		return
	}
	if follower.listed && (isKind(err, Gone) || isKind(err, TooLarge)) {
		// The store did answer; a list returns what the watch could not.
		follower.listed, follower.resumes = false, false
		follower.onOutage(Outage{Cause: err})
		return
	}
	forms, now := &follower.forms, follower.now()
	due := asked.Add(query.wait)
	if query.reason == Settling {
		// A silence is judged alike whichever watch it meets.
		due = asked.Add(follower.wait())
	}
	if due.After(now) {
		due = now
	}
	if query.list || !forms.polls() {
		// Watches that fail while lists are answered prove no silence of the store.
		follower.setOwed(due)
	}
	pauses := forms.recordFailure(now, query)
	if isPowerOfTwo(forms.failures) {
		follower.onOutage(Outage{Cause: err, Failures: forms.failures, Lasted: now.Sub(forms.failedSince), WatchesOnly: !forms.away})
	}
	if forms.away || forms.relist && !forms.polls() {
		// A list that follows may be silent for long; until it is answered, others need not rely on this node.
		follower.setFailing()
	}
	switch {
	case !pauses:
	case forms.polls():
		follower.awaitPoll(ctx)
	default:
		backoff := timer.Doubled(firstBackoff, follower.maxPause(), forms.failures-1)
		pause := backoff/2 + time.Duration(rand.Int64N(int64(backoff)))
		follower.backOff(ctx, min(pause, follower.maxPause()))
	}
}

// awaitPoll pauses until the wait of a watch has passed since the last list, in steps: the wait may become
// shorter meanwhile, InterruptWatch may be called, and the duty may end.
func (follower *Follower[Entry, Change]) awaitPoll(ctx context.Context) {
	follower.pollAge.Store(0)
	for ctx.Err() == nil && follower.duty.On() {
		wait := follower.wait()
		if age := time.Duration(follower.pollAge.Load()); age > 0 {
			wait = min(wait, age)
		}
		left := wait - follower.now().Sub(follower.forms.polledAt)
		if left <= 0 {
			return
		}
		follower.pause(ctx, min(left, pollStep))
	}
}

// backOff pauses after a failure, in steps of at most maxBackoff: maxPause may fall
// meanwhile, when other nodes begin to rely on this node, and the duty may end.
func (follower *Follower[Entry, Change]) backOff(ctx context.Context, left time.Duration) {
	for left > 0 && ctx.Err() == nil && follower.duty.On() {
		step := min(left, maxBackoff)
		follower.pause(ctx, step)
		left = min(left-step, follower.maxPause())
	}
}

// sleep waits for the duration or the end of the context, which Run checks itself.
func sleep(ctx context.Context, wait time.Duration) { _ = timer.Sleep(ctx, wait) }

// Package follower keeps what the platform's store holds up to date: it lists a
// kind of entries once, then watches it, and tells how old its knowledge is.
package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"limpetcleat/failer"
	"limpetcleat/timer"
)

// Kind classifies an Error.
type Kind string

const (
	// Gone marks a watch that the store's history no longer reaches back to.
	Gone Kind = "gone"
	// TooLarge marks a watch whose answer was not read to its end, since a list returns
	// the same in less.
	TooLarge Kind = "tooLarge"
	// Rejected marks a call that the store turned away without doing anything.
	Rejected Kind = "rejected"
	// Lost marks a call without an answer.
	Lost Kind = "lost"
	// Malformed marks an answer that could not be read.
	Malformed Kind = "malformed"
)

// Error is the one error type of this package and of the feeds.
type Error = failer.Error[Kind]

const (
	// DefaultWait is how long a watch waits for a change. What is known is then at
	// most some 2.2 s old while the store answers, so that keys are honoured for
	// another 2.5 s of an outage: a revoked one may be for 5 s.
	DefaultWait = 1200 * time.Millisecond
	// watchLag is how far a watch may be behind: the platform says that, when it
	// drops its history, watches hear of no change for a second.
	watchLag = time.Second
	// quickWait is how long the first watch after a failure waits, and one in a
	// hurry.
	quickWait = 20 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failure, which doubles.
	// A node has to know of a change within some 2 s of the store's return.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// settleTime is how long after an outage a removed entry may come back; the
	// platform says within about 2 s.
	settleTime = 2500 * time.Millisecond
	// advanceAfter is how long the store's revision must have been known before a
	// watch without events moves up to it: an event that a watch missed is then
	// still delivered by the next. It is well within the store's history (20 s).
	advanceAfter = 6 * time.Second
)

// Feed reads one kind of entries. Its calls last until they are answered or their context
// ends, and tell the context's Arrivals of their answers. The errors are of this package.
type Feed[Entry, Change any] interface {
	// List returns all entries that can be read and the store's revision.
	List(ctx context.Context) ([]Entry, uint64, error)
	// Watch returns the changes after the revision as soon as there is one, or
	// none after the wait, and the revision to go on from.
	Watch(ctx context.Context, revision uint64, wait time.Duration) ([]Change, uint64, error)
}

// Reading tells of an answer that a sink takes in.
type Reading struct {
	// Revision is the store's up to which the sink knows all with it.
	Revision uint64
	// Outage tells that the store was away until just now.
	Outage bool
	// Stale tells that the answer may be seconds old.
	Stale bool
}

// Sink takes in what a feed reads.
type Sink[Entry, Change any] interface {
	Replace(entries []Entry, reading Reading)
	Apply(changes []Change, reading Reading)
}

// Follower follows one feed.
type Follower[Entry, Change any] struct {
	caller *caller[Entry, Change]
	sink   Sink[Entry, Change]
	wait   func() time.Duration
	now    func() time.Time
	pause  func(ctx context.Context, wait time.Duration)
	// gather is the pause behind a watch with changes.
	gather time.Duration
	away   func(outage Outage)
	back   func(after time.Duration)
	// duty tells when the store is to be asked.
	duty *Duty
	// position returns up to where the sink knows all by other ways; 0 is unknown.
	position func() uint64
	// wanted tells whether there is something newer than the sink holds.
	wanted func() bool
	// longest bounds the pause behind a failure.
	longest func() time.Duration

	// mutex guards the next three; no other lock is taken under it.
	mutex     sync.Mutex
	confirmed time.Time
	// healthy is set while the last call was answered, failing while it failed; neither is
	// before the first.
	healthy bool
	failing bool

	// The rest belongs to Run.

	listed bool
	// gathering is set when there were changes, behind which to wait.
	gathering bool
	// changed is set when the last answer held changes, or all entries.
	changed bool
	// hurried is set when the next watch is to be a quick one.
	hurried bool
	// revision is what the next watch goes on from.
	revision uint64
	// ahead is a later revision of the store, known since aheadSince.
	ahead      uint64
	aheadSince time.Time
	// failures counts those in a row; failedSince is when they began.
	failures    int
	failedSince time.Time
	backSince   time.Time
	// done is closed by Run.
	done chan struct{}
}

// New returns a follower that hands what the feed reads to the sink.
func New[Entry, Change any](feed Feed[Entry, Change], sink Sink[Entry, Change], options ...Option[Entry, Change]) *Follower[Entry, Change] {
	follower := &Follower[Entry, Change]{
		caller: newCaller(feed), sink: sink, wait: func() time.Duration { return DefaultWait }, now: time.Now, pause: sleep,
		away: func(Outage) {}, back: func(time.Duration) {},
		duty: NewDuty(true), position: func() uint64 { return 0 }, wanted: func() bool { return false },
		longest: func() time.Duration { return maxBackoff },
		done:    make(chan struct{}),
	}
	for _, option := range options {
		option(follower)
	}
	return follower
}

// Confirmed returns the time up to which what the sink holds is known to have been
// the store's newest. A list tells that of when it was asked for; a watch without
// a change of when it had waited, less its lag.
func (follower *Follower[Entry, Change]) Confirmed() time.Time {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.confirmed
}

// Healthy tells whether the last call was answered.
func (follower *Follower[Entry, Change]) Healthy() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.healthy
}

// Failing tells whether the last call failed.
func (follower *Follower[Entry, Change]) Failing() bool {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.failing
}

// Hurry ends a watch that has been waiting for hurryAfter, so that the next call shows
// whether the store answers. It is for who learns elsewhere that the watch may hang or
// that there is something newer. A call whose answer is coming in is left alone.
func (follower *Follower[Entry, Change]) Hurry() { follower.caller.hurry() }

// Done is closed once Run has ended.
func (follower *Follower[Entry, Change]) Done() <-chan struct{} { return follower.done }

// Run follows the feed until the context ends.
func (follower *Follower[Entry, Change]) Run(ctx context.Context) {
	defer close(follower.done)
	defer follower.caller.close()
	for ctx.Err() == nil {
		if !follower.duty.On() {
			follower.rest(ctx)
			continue
		}
		confirmed, err := follower.step(ctx)
		if ctx.Err() != nil {
			return
		}
		follower.hurried = errors.Is(err, errHurried)
		if follower.hurried {
			continue
		}
		if err != nil {
			follower.failed(ctx, err)
			continue
		}
		follower.succeeded(confirmed)
		if follower.gathering {
			follower.gathering = false
			follower.pause(ctx, follower.gather)
		}
	}
}

// step asks once, takes in the answer, and returns up to when that confirms what the
// sink holds.
func (follower *Follower[Entry, Change]) step(ctx context.Context) (time.Time, error) {
	answer, err := follower.caller.ask(ctx, follower.next())
	if err != nil {
		return time.Time{}, err
	}
	follower.changed = answer.question.list || len(answer.changes) > 0
	if answer.question.list {
		follower.sink.Replace(answer.entries, Reading{Revision: answer.revision, Outage: follower.settling()})
		follower.listed = true
		follower.goOn(answer.revision)
		return answer.asked, nil
	}
	return follower.take(answer), nil
}

// next returns what is to be asked.
func (follower *Follower[Entry, Change]) next() question {
	if !follower.listed {
		return question{list: true, reason: follower.reason()}
	}
	wait := follower.wait()
	if follower.failures > 0 || follower.hurried {
		wait = quickWait
	}
	return question{revision: follower.revision, wait: wait, reason: follower.reason()}
}

// reason returns why the store is asked next.
func (follower *Follower[Entry, Change]) reason() Reason {
	switch {
	case follower.failures > 0:
		return Retrying
	case !follower.listed && follower.revision == 0:
		return Starting
	case !follower.listed:
		return CatchingUp
	case follower.hurried:
		return Hurried
	case follower.changed:
		return Changed
	}
	return Standing
}

// take takes in the answer to a watch.
func (follower *Follower[Entry, Change]) take(answer answer[Entry, Change]) time.Time {
	if len(answer.changes) > 0 {
		follower.sink.Apply(answer.changes, Reading{Revision: answer.revision, Outage: follower.settling()})
		follower.goOn(answer.revision)
		follower.gathering = follower.gather > 0 && !follower.settling()
		return answer.asked
	}
	follower.advance(answer.revision)
	waited := min(follower.now().Sub(answer.asked), answer.question.wait)
	return answer.asked.Add(waited - watchLag)
}

// goOn sets what the next watch goes on from.
func (follower *Follower[Entry, Change]) goOn(revision uint64) {
	follower.revision = revision
	follower.ahead = revision
	follower.aheadSince = follower.now()
}

// advance moves up to a revision that has been known for long enough.
func (follower *Follower[Entry, Change]) advance(revision uint64) {
	if follower.now().Sub(follower.aheadSince) < advanceAfter {
		return
	}
	follower.revision = max(follower.revision, follower.ahead)
	follower.ahead = revision
	follower.aheadSince = follower.now()
}

// settling tells whether the store is just back from an outage.
func (follower *Follower[Entry, Change]) settling() bool {
	if follower.failures > 0 {
		return true
	}
	return !follower.backSince.IsZero() && follower.now().Sub(follower.backSince) < settleTime
}

func (follower *Follower[Entry, Change]) failed(ctx context.Context, err error) {
	if follower.listed && (isKind(err, Gone) || isKind(err, TooLarge)) {
		// The store answered; a list tells what the watch did not.
		follower.listed = false
		follower.away(Outage{Cause: err})
		return
	}
	if follower.failures == 0 {
		follower.failedSince = follower.now()
	}
	follower.failures++
	if isPowerOfTwo(follower.failures) {
		follower.away(Outage{Cause: err, Failures: follower.failures, Lasted: follower.now().Sub(follower.failedSince)})
	}
	follower.setFailing()
	backoff := timer.Doubled(firstBackoff, follower.longest(), follower.failures-1)
	follower.waitBehind(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff))))
}

// waitBehind waits behind a failure, in steps: the bound of the pause may fall meanwhile,
// when the node is the one that others rely on now, and the duty may end.
func (follower *Follower[Entry, Change]) waitBehind(ctx context.Context, left time.Duration) {
	for left > 0 && ctx.Err() == nil && follower.duty.On() {
		step := min(left, maxBackoff)
		follower.pause(ctx, step)
		left = min(left-step, follower.longest())
	}
}

func (follower *Follower[Entry, Change]) succeeded(confirmed time.Time) {
	if follower.failures > 0 {
		follower.backSince = follower.now()
		follower.back(follower.backSince.Sub(follower.failedSince))
	}
	follower.failures = 0
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if confirmed.After(follower.confirmed) {
		follower.confirmed = confirmed
	}
	follower.healthy, follower.failing = true, false
}

// setUnknown notes that nothing is known of whether the store answers.
func (follower *Follower[Entry, Change]) setUnknown() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.healthy, follower.failing = false, false
}

func (follower *Follower[Entry, Change]) setFailing() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.healthy, follower.failing = false, true
}

// sleep waits; Run sees by itself when the context ends.
func sleep(ctx context.Context, wait time.Duration) { _ = timer.Sleep(ctx, wait) }

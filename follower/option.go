package follower

import (
	"context"
	"time"
)

// Option configures a Follower.
type Option[Entry, Change any] func(*Follower[Entry, Change])

// WithClock sets the clock and the function that pauses. The default is the system
// clock.
func WithClock[Entry, Change any](now func() time.Time, pause func(context.Context, time.Duration)) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) {
		follower.now, follower.pause = now, pause
		follower.caller.now = now
	}
}

// WithWait sets how long each watch waits for a change. The default is DefaultWait.
func WithWait[Entry, Change any](wait func() time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.wait = wait }
}

// WithGatherPause sets the pause between an answer with changes and the next watch, so that
// one call returns a series of changes: each call is billed. Changes may be late by the
// pause, which is part of the wait of the next watch. By default there is none.
func WithGatherPause[Entry, Change any](gatherPause func() time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.gatherPause = gatherPause }
}

// WithDuty sets the Duty that tells whether this node polls the store. By default it
// always does.
func WithDuty[Entry, Change any](duty *Duty) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.duty = duty }
}

// WithPosition sets the function that returns the revision that the sink is up to date
// with by other means, 0 if unknown; a node that comes on duty watches from that
// revision on. By default it is unknown.
func WithPosition[Entry, Change any](position func() uint64) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.position = position }
}

// WithNewerKnown sets the function that reports, while the node is off duty, whether there
// is a newer version than the sink holds. Duty.RequestLookup starts
// the lookup of that version.
func WithNewerKnown[Entry, Change any](newerKnown func() bool) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.newerKnown = newerKnown }
}

// WithMaxPause sets the bound of the pause after failures, which doubles. The
// default is maxBackoff.
func WithMaxPause[Entry, Change any](maxPause func() time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.maxPause = maxPause }
}

// WithSettling sets the function that reports whether the store is away or has just returned. By
// default it never is: one follower's calls can't tell.
func WithSettling[Entry, Change any](settling func() bool) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.settling = settling }
}

// WithReports sets the functions that are called when the store fails, and when it
// answers again after the given time.
func WithReports[Entry, Change any](onOutage func(outage Outage), onRecovery func(after time.Duration)) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.onOutage, follower.onRecovery = onOutage, onRecovery }
}

// WithWatchReports sets the function that is called with each answer to a watch that holds changes.
func WithWatchReports[Entry, Change any](onWatch func(answer WatchAnswer)) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.onWatch = onWatch }
}

// WithSettleDelay sets how long after an answer with changes the follower reads again what that answer may lack. The
// default is SettleDelay, which is also the least.
func WithSettleDelay[Entry, Change any](delay time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.settleDelay = max(delay, SettleDelay) }
}

// WithAudit sets the interval at which the copy is checked by a list, in steps of watches. It is longer for lists of more
// than some KB. 0, the default, means that it is not.
func WithAudit[Entry, Change any](interval func() time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.audit.interval = interval }
}

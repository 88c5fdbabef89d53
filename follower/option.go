package follower

import (
	"context"
	"time"
)

// Option changes one setting of a Follower.
type Option[Entry, Change any] func(*Follower[Entry, Change])

// WithClock sets the clock and how to wait; the system's without it.
func WithClock[Entry, Change any](now func() time.Time, pause func(context.Context, time.Duration)) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) {
		follower.now, follower.pause = now, pause
		follower.caller.now = now
	}
}

// WithWait sets how long each watch waits for a change; DefaultWait without it.
func WithWait[Entry, Change any](wait func() time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.wait = wait }
}

// WithGather sets how long to wait behind changes before the next watch, so that
// those that come in a row come together: each call is billed. Changes are late by
// as much; without it there is no such wait.
func WithGather[Entry, Change any](gather time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.gather = gather }
}

// WithReports sets what is told when the store is lost and regained.
func WithReports[Entry, Change any](away func(outage Outage), back func(after time.Duration)) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.away, follower.back = away, back }
}

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

// WithDuty sets when the store is to be asked; always without it.
func WithDuty[Entry, Change any](duty *Duty) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.duty = duty }
}

// WithPosition sets what tells up to where the sink knows all by other ways, so that a
// watch goes on from there.
func WithPosition[Entry, Change any](position func() uint64) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.position = position }
}

// WithWanted sets what tells, while the store is not to be asked, that there is something
// newer than what the sink holds; Look has it looked for.
func WithWanted[Entry, Change any](wanted func() bool) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.wanted = wanted }
}

// WithLongestPause sets the bound of the pause behind failures, which doubles;
// maxBackoff without it.
func WithLongestPause[Entry, Change any](longest func() time.Duration) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.longest = longest }
}

// WithReports sets what is told when the store is lost and regained.
func WithReports[Entry, Change any](away func(outage Outage), back func(after time.Duration)) Option[Entry, Change] {
	return func(follower *Follower[Entry, Change]) { follower.away, follower.back = away, back }
}

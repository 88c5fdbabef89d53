// Package delayer shows a value as it was some time ago, as a lagging report
// does.
package delayer

import "time"

// Delayer keeps the values of the last lag. It has no lock of its own.
type Delayer[T any] struct {
	lag time.Duration
	// values are in order of time and never empty.
	values []timed[T]
}

type timed[T any] struct {
	at    time.Time
	value T
}

// New returns a Delayer that shows the first value until a later one is older
// than lag.
func New[T any](lag time.Duration, first T) *Delayer[T] {
	return &Delayer[T]{lag: lag, values: []timed[T]{{value: first}}}
}

// Put records the value that holds from now on.
func (delayer *Delayer[T]) Put(now time.Time, value T) {
	delayer.trim(now)
	delayer.values = append(delayer.values, timed[T]{at: now, value: value})
}

// Get returns the value that held lag before now.
func (delayer *Delayer[T]) Get(now time.Time) T {
	delayer.trim(now)
	return delayer.values[0].value
}

func (delayer *Delayer[T]) trim(now time.Time) {
	limit := now.Add(-delayer.lag)
	shown := 0
	for shown+1 < len(delayer.values) && !delayer.values[shown+1].at.After(limit) {
		shown++
	}
	delayer.values = delayer.values[shown:]
}

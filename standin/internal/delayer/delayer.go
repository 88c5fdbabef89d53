// Package delayer provides a value that is read with a fixed lag. It simulates a report that
// arrives late.
package delayer

import "time"

// Delayer stores the recent values of a variable, as far back as the lag requires. It is not safe
// for concurrent use.
type Delayer[T any] struct {
	lag time.Duration
	// values is ordered by time and never empty.
	values []timed[T]
}

type timed[T any] struct {
	at    time.Time
	value T
}

// New returns a Delayer whose value is first until a value passed to Put is at least lag old.
func New[T any](lag time.Duration, first T) *Delayer[T] {
	return &Delayer[T]{lag: lag, values: []timed[T]{{value: first}}}
}

// Put records a new current value as of now. Successive calls of Put and Get must not go back in
// time.
func (delayer *Delayer[T]) Put(now time.Time, value T) {
	delayer.trim(now)
	delayer.values = append(delayer.values, timed[T]{at: now, value: value})
}

// Get returns the value that was current at now minus the lag.
func (delayer *Delayer[T]) Get(now time.Time) T {
	delayer.trim(now)
	return delayer.values[0].value
}

// trim drops the values that are older than the one current at now minus the lag.
func (delayer *Delayer[T]) trim(now time.Time) {
	cutoff := now.Add(-delayer.lag)
	index := 0
	for index+1 < len(delayer.values) && !delayer.values[index+1].at.After(cutoff) {
		index++
	}
	delayer.values = delayer.values[index:]
}

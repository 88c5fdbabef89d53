// Package rationer bounds the bytes that a node holds in memory for others. A holder that finds the
// memory used up waits in order of arrival, and meanwhile reads nothing from its sender, which
// passes the back pressure on.
package rationer

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

const (
	// TooLarge marks bytes that exceed what all holders together may hold.
	TooLarge Kind = "tooLarge"
	// Exhausted marks bytes for which there was no memory in time.
	Exhausted Kind = "exhausted"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(kind Kind, format string, values ...any) *Error {
	return failer.New("rationer.grow", kind, format, values...)
}

// Rationer bounds the total size of its shares. It is safe for concurrent use.
type Rationer struct {
	limit int64
	// free has the weight limit; its users wait in order of arrival.
	free *semaphore.Weighted
	held atomic.Int64
	// holders is the number of shares that are not empty.
	holders atomic.Int64
}

// New returns a Rationer for a number of bytes.
func New(limit int64) *Rationer {
	return &Rationer{limit: limit, free: semaphore.NewWeighted(limit)}
}

// Held returns the total size of all shares in bytes.
func (rationer *Rationer) Held() int64 { return rationer.held.Load() }

// Free returns how many bytes no share holds.
func (rationer *Rationer) Free() int64 { return rationer.limit - rationer.held.Load() }

// NewShare returns an empty share, which its owner releases.
func (rationer *Rationer) NewShare() *Share { return &Share{rationer: rationer} }

// Share is the memory of one holder. It is owned by one goroutine.
type Share struct {
	rationer *Rationer
	size     int64
}

// Size returns the size of the share in bytes.
func (share *Share) Size() int64 { return share.size }

// Grow enlarges the share by a number of bytes. An empty share waits for them until the context
// ends; bytes that are free are granted even if it has ended. A share that is not empty does not
// wait, because holders that wait for each other would never end; it needs the memory at once. The
// error is of kind TooLarge or Exhausted.
func (share *Share) Grow(ctx context.Context, bytes int64) error {
	rationer := share.rationer
	if bytes <= 0 {
		return nil
	}
	if share.size+bytes > rationer.limit {
		return fail(TooLarge, "%d bytes exceed the limit of %d", share.size+bytes, rationer.limit)
	}
	waited := share.size == 0 && rationer.free.Acquire(ctx, bytes) == nil
	// Acquire fails once the context has ended even if the memory is free, for example when this
	// goroutine was not scheduled for as long as it was to wait.
	if !waited {
		return share.GrowNow(bytes)
	}
	share.add(bytes)
	return nil
}

// GrowNow enlarges the share by a number of bytes if they are free; it never waits. The error is of kind
// Exhausted.
func (share *Share) GrowNow(bytes int64) error {
	rationer := share.rationer
	if !rationer.free.TryAcquire(bytes) {
		return fail(Exhausted, "%d bytes are held", rationer.Held())
	}
	share.add(bytes)
	return nil
}

// Outsized reports whether the share has at least the part of the limit that is left to each if all holders have
// equal parts. When the memory is used up, this is true of the largest share and false of those that others leave
// no room.
func (share *Share) Outsized() bool {
	return share.size*share.rationer.holders.Load() >= share.rationer.limit
}

// add counts bytes that were acquired.
func (share *Share) add(bytes int64) {
	if share.size == 0 {
		share.rationer.holders.Add(1)
	}
	share.size += bytes
	share.rationer.held.Add(bytes)
}

// Shrink makes the share smaller by a number of bytes, at most its size.
func (share *Share) Shrink(bytes int64) {
	bytes = min(bytes, share.size)
	if bytes == 0 {
		return // Most shares never hold anything; they need no lock.
	}
	share.rationer.free.Release(bytes)
	share.rationer.held.Add(-bytes)
	share.size -= bytes
	if share.size == 0 {
		share.rationer.holders.Add(-1)
	}
}

// Release empties the share.
func (share *Share) Release() { share.Shrink(share.size) }

package follower

import (
	"context"
	"sync"
	"time"

	"limpetcleat/timer"
)

const (
	// maxStaleLists is how many lists of a lookup may be answered seconds old, at a
	// tenth of the price, before the store itself is asked.
	maxStaleLists = 1
	// minLookupPause and maxLookupPause bound the pause between two lists of a lookup,
	// which doubles.
	minLookupPause = 250 * time.Millisecond
	maxLookupPause = 4 * time.Second
)

// Duty tells followers whether this node polls the store. A node that gets the contents
// of the store from its peers is off duty and sends the store nothing but lookups. It is
// safe for concurrent use.
type Duty struct {
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	on    bool
	// changed is closed and replaced whenever the duty changes or a lookup is requested.
	changed         chan struct{}
	lookupRequested bool
}

// NewDuty returns a Duty that is on or off.
func NewDuty(on bool) *Duty { return &Duty{on: on, changed: make(chan struct{})} }

// On reports whether this node polls the store.
func (duty *Duty) On() bool {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	return duty.on
}

// Set turns the duty on or off.
func (duty *Duty) Set(on bool) {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if duty.on != on {
		duty.on = on
		duty.notify()
	}
}

// RequestLookup requests a lookup: a follower that is off duty lists until it has the newer
// version that WithNewerKnown reports.
func (duty *Duty) RequestLookup() {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if !duty.lookupRequested {
		duty.lookupRequested = true
		duty.notify()
	}
}

// notify wakes the waiting followers; the caller holds mutex.
func (duty *Duty) notify() {
	close(duty.changed)
	duty.changed = make(chan struct{})
}

// await blocks until the duty is on, a lookup is requested, or the context ends. It
// returns true only for a lookup.
func (duty *Duty) await(ctx context.Context) (lookupRequested bool) {
	for ctx.Err() == nil {
		duty.mutex.Lock()
		on, lookupRequested, changed := duty.on, duty.lookupRequested, duty.changed
		duty.lookupRequested = false
		duty.mutex.Unlock()
		if on || lookupRequested {
			return lookupRequested
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return false
}

// standBy waits until the duty is on, and runs a lookup if one is requested. It cancels
// the calls that are still open before and after, so that an answer that may be old is
// not taken for the present state of the store.
func (follower *Follower[Entry, Change]) standBy(ctx context.Context) {
	defer follower.caller.cancelAll()
	follower.caller.cancelAll()
	// What the calls of an earlier duty showed must not pass for the state of the next one.
	follower.clearHealth()
	if follower.duty.await(ctx) {
		follower.lookUp(ctx)
		return
	}
	follower.resume()
}

// resume prepares the next call to go on from the position of the sink. The next watch
// has a short wait, so that it shows at once whether the store answers this node.
func (follower *Follower[Entry, Change]) resume() {
	follower.quickNext, follower.gatherDue, follower.resumes = true, false, true
	follower.forms = noFailures()
	follower.clearHealth()
	follower.audit.listedAt = follower.now()
	position := follower.position()
	follower.listed = position > 0
	if follower.listed {
		follower.read = positionAt(follower.now(), position)
	}
}

// lookUp lists until the sink has the newer version, the duty is on, or the context
// ends. The first maxStaleLists lists allow a stale answer, which costs least; the rest
// ask the store itself.
func (follower *Follower[Entry, Change]) lookUp(ctx context.Context) {
	for tries := 0; follower.newerKnown() && !follower.duty.On() && ctx.Err() == nil; tries++ {
		answer, err := follower.caller.ask(ctx, query{list: true, stale: tries < maxStaleLists, patience: silenceTimeout, reason: Told})
		if err == nil {
			follower.sink.Replace(answer.entries, Reading{Revision: answer.revision, Stale: answer.query.stale})
		}
		if follower.newerKnown() {
			follower.pause(ctx, timer.Doubled(minLookupPause, maxLookupPause, tries))
		}
	}
}

package follower

import (
	"context"
	"sync"
	"time"

	"limpetcleat/timer"
)

const (
	// staleLooks is how often what a peer told of is looked for where it costs a tenth
	// and may be seconds old, before the store itself is asked.
	staleLooks = 1
	// lookPause and longestLookPause bound the time between two looks, which doubles.
	lookPause        = 250 * time.Millisecond
	longestLookPause = 4 * time.Second
)

// Duty tells followers whether the store is to be asked: a node to which others tell what
// the store says rests. It is safe for concurrent use.
type Duty struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	on    bool
	// turned is closed and replaced whenever the duty changes or a look is asked for.
	turned chan struct{}
	looks  bool
}

// NewDuty returns a duty that is on or off.
func NewDuty(on bool) *Duty { return &Duty{on: on, turned: make(chan struct{})} }

// On tells whether the store is to be asked.
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
		duty.turn()
	}
}

// Look has a resting follower look for what is wanted.
func (duty *Duty) Look() {
	duty.mutex.Lock()
	defer duty.mutex.Unlock()
	if !duty.looks {
		duty.looks = true
		duty.turn()
	}
}

// turn tells those who wait; mutex is held.
func (duty *Duty) turn() {
	close(duty.turned)
	duty.turned = make(chan struct{})
}

// await returns once the duty is on (false), a look is asked for (true), or the context
// ends (false).
func (duty *Duty) await(ctx context.Context) (looks bool) {
	for ctx.Err() == nil {
		duty.mutex.Lock()
		on, looks, turned := duty.on, duty.looks, duty.turned
		duty.looks = false
		duty.mutex.Unlock()
		if on || looks {
			return looks
		}
		select {
		case <-turned:
		case <-ctx.Done():
		}
	}
	return false
}

// rest waits until the store is to be asked, and looks meanwhile for what is wanted. Calls
// that are still under way from before are ended: the answer to one that may be old must
// not be taken for what the store says now.
func (follower *Follower[Entry, Change]) rest(ctx context.Context) {
	defer follower.caller.endAll()
	follower.caller.endAll()
	if follower.duty.await(ctx) {
		follower.look(ctx)
		return
	}
	follower.resume()
}

// resume has the next call go on from where the sink is by now. It is one that is answered
// at once, so that it shows whether the store answers this node.
func (follower *Follower[Entry, Change]) resume() {
	follower.failures, follower.hurried, follower.gathering = 0, true, false
	follower.setUnknown()
	position := follower.position()
	follower.listed = position > 0
	if follower.listed {
		follower.goOn(position)
	}
}

// look lists until what is wanted has come, the duty is on, or the context ends: first
// where it costs least, then at the store itself.
func (follower *Follower[Entry, Change]) look(ctx context.Context) {
	for tries := 0; follower.wanted() && !follower.duty.On() && ctx.Err() == nil; tries++ {
		stale := tries < staleLooks
		answer, err := follower.caller.ask(ctx, question{list: true, stale: stale, reason: Told})
		if err == nil {
			follower.sink.Replace(answer.entries, Reading{Revision: answer.revision, Stale: stale})
		}
		if follower.wanted() {
			follower.pause(ctx, timer.Doubled(lookPause, longestLookPause, tries))
		}
	}
}

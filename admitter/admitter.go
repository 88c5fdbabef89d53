package admitter

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// fresh is how long a hint is acted on. After that, one ask goes to the
	// owner and brings a new hint.
	fresh = 2 * time.Second
	// believed is how long a hint still tells which of two shards is better.
	believed = 5 * time.Second
	// doubt is the factor by which a hint must exceed the bound: the owner knows
	// better, so only the clear cases are refused here.
	doubt = 1.5
	// leastRetry and longestRetry bound what a refused caller is told.
	leastRetry   = time.Second
	longestRetry = 5 * time.Minute
)

// key is what hints are kept by.
type key struct {
	shard messenger.Shard
	class definer.ClassName
}

// hint is an expected wait as the owner last told it.
type hint struct {
	wait  time.Duration
	heard time.Time
	// probed is when an ask was last let through in spite of the hint.
	probed time.Time
}

// Request is what is judged.
type Request struct {
	Shard messenger.Shard
	Class *definer.Class
	// Arrival is when the request reached this entry VM.
	Arrival time.Time
	// Deadline is zero when there is none.
	Deadline time.Time
}

// Verdict tells what becomes of a request.
type Verdict struct {
	// Reason is empty when the request goes to the owner.
	Reason messenger.RefusalReason
	// RetryAfter is when a refused caller should come again.
	RetryAfter time.Duration
}

// Admitted tells whether the request goes to the owner.
func (verdict Verdict) Admitted() bool { return verdict.Reason == "" }

// Admitter keeps the last hint of each shard and class: what an owner said of
// the wait that a new request has to expect there.
type Admitter struct {
	// hints holds one entry for each pair of shard and class heard of. Their
	// number is bounded by the shards and classes that were configured.
	hints map[key]*hint
}

// New returns an admitter that has heard nothing and admits everything.
func New() *Admitter { return &Admitter{hints: make(map[key]*hint)} }

// Hear takes in the expected wait that an owner told.
func (admitter *Admitter) Hear(now time.Time, shard messenger.Shard, class definer.ClassName, wait time.Duration) {
	admitter.hints[key{shard: shard, class: class}] = &hint{wait: wait, heard: now, probed: now}
}

// Forget drops the hints of a shard, because its owner changed.
func (admitter *Admitter) Forget(shard messenger.Shard) {
	for at := range admitter.hints {
		if at.shard == shard {
			delete(admitter.hints, at)
		}
	}
}

// Wait returns the wait to expect at a shard; 0 when nothing was heard of late.
func (admitter *Admitter) Wait(now time.Time, shard messenger.Shard, class definer.ClassName) time.Duration {
	found, ok := admitter.hints[key{shard: shard, class: class}]
	if !ok || now.Sub(found.heard) > believed {
		return 0
	}
	return found.wait
}

// Judge refuses a request that by the last fresh hint has no hope to start in
// time. Protected classes always go to the owner.
func (admitter *Admitter) Judge(now time.Time, request Request) Verdict {
	found, ok := admitter.hints[key{shard: request.Shard, class: request.Class.Name()}]
	if !ok || request.Class.Protected() {
		return Verdict{}
	}
	if now.Sub(found.heard) >= fresh && now.Sub(found.probed) >= fresh {
		found.probed = now
		return Verdict{}
	}
	wait := max(found.wait-now.Sub(found.heard), 0)
	if !request.Deadline.IsZero() && exceeds(wait, request.Deadline.Sub(now)) {
		return refusal(messenger.DeadlineMissed, wait)
	}
	if exceeds(wait, request.Class.LongestWait()-now.Sub(request.Arrival)) {
		return refusal(messenger.QueueFull, wait-request.Class.LongestWait()/2)
	}
	return Verdict{}
}

func exceeds(wait, bound time.Duration) bool {
	return wait > 0 && float64(wait) > doubt*float64(bound)
}

func refusal(reason messenger.RefusalReason, retry time.Duration) Verdict {
	return Verdict{Reason: reason, RetryAfter: min(max(retry, leastRetry), longestRetry)}
}

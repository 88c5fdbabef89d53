package admitter

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// hintFreshness is how long a hint decides alone. After that, one request in each such span
	// goes to the owner in spite of the hint, and the answer brings a new hint.
	hintFreshness = 2 * time.Second
	// hintLifetime is how long a hint is used to compare the waits of shards.
	hintLifetime = 5 * time.Second
	// safetyFactor is the factor by which a wait must exceed the bound for a refusal: the
	// owner's data is more recent, so only clear cases are refused here.
	safetyFactor = 1.5
	// minRetryAfter and maxRetryAfter bound the retry delay that a refused caller is told.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Minute
)

// hintKey identifies a hint.
type hintKey struct {
	shard messenger.Shard
	class definer.ClassName
}

// hint is the expected wait that the owner last reported.
type hint struct {
	wait       time.Duration
	receivedAt time.Time
	// probedAt is when a request was last sent to the owner in spite of the hint, at first when
	// the hint was received.
	probedAt time.Time
}

// Request is a request for which admission is decided.
type Request struct {
	Shard messenger.Shard
	Class *definer.Class
	// Arrival is when the request reached this entry VM.
	Arrival time.Time
	// Deadline is zero if the request has none.
	Deadline time.Time
}

// Verdict is the decision on a request.
type Verdict struct {
	// Reason is empty if the request goes to the owner.
	Reason messenger.RefusalReason
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// Admitted reports whether the request goes to the owner.
func (verdict Verdict) Admitted() bool { return verdict.Reason == "" }

// Admitter stores the last hint for each shard and class: the wait that the owner expects for a
// new request. It is not safe for concurrent use.
type Admitter struct {
	// hints holds one entry for each pair of shard and class with a hint; their number is
	// bounded by the configured shards and classes.
	hints map[hintKey]*hint
}

// New returns an Admitter without hints, which admits everything.
func New() *Admitter { return &Admitter{hints: make(map[hintKey]*hint)} }

// RecordWait stores the expected wait reported by the owner.
func (admitter *Admitter) RecordWait(now time.Time, shard messenger.Shard, class definer.ClassName, wait time.Duration) {
	admitter.hints[hintKey{shard: shard, class: class}] = &hint{wait: wait, receivedAt: now, probedAt: now}
}

// Forget removes the hints of a shard, because its owner has changed.
func (admitter *Admitter) Forget(shard messenger.Shard) {
	for at := range admitter.hints {
		if at.shard == shard {
			delete(admitter.hints, at)
		}
	}
}

// ExpectedWait returns the expected wait at a shard, 0 if there is no hint within hintLifetime.
func (admitter *Admitter) ExpectedWait(now time.Time, shard messenger.Shard, class definer.ClassName) time.Duration {
	found, ok := admitter.hints[hintKey{shard: shard, class: class}]
	if !ok || now.Sub(found.receivedAt) > hintLifetime {
		return 0
	}
	return found.wait
}

// Decide refuses a request that by the last hint cannot start before its deadline or within its
// class's longest wait. Requests of protected classes are always admitted, and so is one
// request per hintFreshness once the hint is older than that, to get a new hint.
func (admitter *Admitter) Decide(now time.Time, request Request) Verdict {
	found, ok := admitter.hints[hintKey{shard: request.Shard, class: request.Class.Name()}]
	if !ok || request.Class.Protected() {
		return Verdict{}
	}
	if now.Sub(found.receivedAt) >= hintFreshness && now.Sub(found.probedAt) >= hintFreshness {
		found.probedAt = now
		return Verdict{}
	}
	wait := max(found.wait-now.Sub(found.receivedAt), 0)
	if !request.Deadline.IsZero() && exceeds(wait, request.Deadline.Sub(now)) {
		return refusal(messenger.DeadlineMissed, wait)
	}
	if exceeds(wait, request.Class.LongestWait()-now.Sub(request.Arrival)) {
		return refusal(messenger.QueueFull, wait-request.Class.LongestWait()/2)
	}
	return Verdict{}
}

// exceeds reports whether the wait is above the bound by more than safetyFactor.
func exceeds(wait, bound time.Duration) bool {
	return wait > 0 && float64(wait) > safetyFactor*float64(bound)
}

func refusal(reason messenger.RefusalReason, retry time.Duration) Verdict {
	return Verdict{Reason: reason, RetryAfter: min(max(retry, minRetryAfter), maxRetryAfter)}
}

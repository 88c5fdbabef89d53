// Package inquirer asks upstreams whether they are healthy, with one question at a time for each upstream. An
// answer counts for a short time for all requests that want to be sent to the upstream.
package inquirer

import (
	"context"
	"sync"
	"time"

	"limpetcleat/definer"
)

const (
	// AnswerLifetime is how long an answer counts from the begin of its question on. An upstream that begins
	// to leave may be sent requests for as long, so that it must be well below the time that leaving allows.
	AnswerLifetime = 500 * time.Millisecond
	// unhealthyLifetime is how long an answer counts that does not state that. It leaves questions for the other
	// upstreams of a service of which many have left.
	unhealthyLifetime = 2 * time.Second
	// questionTimeout bounds a question. A busy upstream lets it wait for a slot like a request.
	questionTimeout = 500 * time.Millisecond
	// maxQuestions bounds the questions within an AnswerLifetime, and maxAnswers the answers kept, those under way
	// included.
	maxQuestions = 32
	maxAnswers   = 1024
)

// Verdict is what is known of the health of an upstream.
type Verdict int

const (
	// Unknown means that the upstream has not been asked lately and may be asked.
	Unknown Verdict = iota
	// Healthy means that the upstream stated that it is healthy and not leaving.
	Healthy
	// Unhealthy means that it did not state that when asked, or that it cannot be asked now.
	Unhealthy
)

// Subject is who is asked: a start of an upstream at an address.
type Subject struct {
	Start   definer.UpstreamStart
	Address string
}

// Question asks an upstream and reports whether it stated that it is healthy. It must return when the context ends.
type Question func(ctx context.Context) bool

// Inquirer asks upstreams whether they are healthy. It is safe for concurrent use.
type Inquirer struct {
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex sync.Mutex
	// answers has at most maxAnswers elements.
	answers map[Subject]*answer
	// askedAt holds when the latest questions began, the earliest of them at the index oldest.
	askedAt [maxQuestions]time.Time
	oldest  int
}

// answer is the answer to a question, under way or done.
type answer struct {
	askedAt time.Time
	// done is closed once healthy is set, by the goroutine that created the answer.
	done    chan struct{}
	healthy bool
}

// counts reports whether the answer, which is done, still counts.
func (answer *answer) counts(now time.Time) bool {
	if answer.healthy {
		return now.Sub(answer.askedAt) < AnswerLifetime
	}
	return now.Sub(answer.askedAt) < unhealthyLifetime
}

// isDone reports whether the question has ended.
func (answer *answer) isDone() bool {
	select {
	case <-answer.done:
		return true
	default:
		return false
	}
}

// New returns an Inquirer without answers.
func New() *Inquirer {
	return &Inquirer{answers: make(map[Subject]*answer)}
}

// Ask reports whether the upstream is healthy, by an answer that counts or else by the question, which is asked with a
// context that ends with the given parent or after questionTimeout. All requests wait for its answer, until their own
// contexts end.
func (inquirer *Inquirer) Ask(ctx, parent context.Context, subject Subject, question Question) bool {
	current, first := inquirer.findOrAdd(time.Now(), subject)
	if current == nil {
		return false
	}
	if first {
		go current.find(parent, question)
	}
	select {
	case <-current.done:
		return current.healthy && current.counts(time.Now())
	case <-ctx.Done():
		return false
	}
}

// find asks the question, and closes done. The answer is for all waiting requests, so that the end of the first one does
// not cancel it.
func (answer *answer) find(parent context.Context, question Question) {
	defer close(answer.done)
	ctx, cancel := context.WithTimeout(parent, questionTimeout)
	defer cancel()
	answer.healthy = question(ctx)
}

// Verdict returns what is known of an upstream.
func (inquirer *Inquirer) Verdict(now time.Time, subject Subject) Verdict {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	current, known := inquirer.answers[subject]
	switch {
	case known && !current.isDone():
		return Unknown
	case known && current.counts(now) && current.healthy:
		return Healthy
	case known && current.counts(now) || !inquirer.mayAsk(now):
		return Unhealthy
	}
	return Unknown
}

// findOrAdd returns the answer that counts or is under way, or a new one which the caller has to complete (first). It
// returns nil if there is no room for one.
func (inquirer *Inquirer) findOrAdd(now time.Time, subject Subject) (current *answer, first bool) {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	if known, ok := inquirer.answers[subject]; ok && !known.over(now) {
		return known, false
	}
	delete(inquirer.answers, subject)
	if !inquirer.mayAsk(now) {
		return nil, false
	}
	inquirer.askedAt[inquirer.oldest] = now
	inquirer.oldest = (inquirer.oldest + 1) % maxQuestions
	current = &answer{askedAt: now, done: make(chan struct{})}
	inquirer.answers[subject] = current
	return current, true
}

// over reports whether the answer is done and does not count any more.
func (answer *answer) over(now time.Time) bool { return answer.isDone() && !answer.counts(now) }

// mayAsk reports whether another question may be asked, and there is room for its answer; mutex is held.
func (inquirer *Inquirer) mayAsk(now time.Time) bool {
	return now.Sub(inquirer.askedAt[inquirer.oldest]) >= AnswerLifetime && inquirer.makeRoom(now)
}

// makeRoom drops answers that are over if there is no room, and reports whether there is room for another one; mutex
// is held.
func (inquirer *Inquirer) makeRoom(now time.Time) bool {
	if len(inquirer.answers) < maxAnswers {
		return true
	}
	for subject, known := range inquirer.answers {
		if known.over(now) {
			delete(inquirer.answers, subject)
		}
	}
	return len(inquirer.answers) < maxAnswers
}

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
	// questionTimeout bounds a question. A busy upstream lets it wait for a slot like a request.
	questionTimeout = 500 * time.Millisecond
	// maxAnswers bounds the answers kept, those under way included, and with them the questions within an
	// AnswerLifetime.
	maxAnswers = 32
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
	// mutex guards answers. No other lock is taken while it is held.
	mutex sync.Mutex
	// answers has at most maxAnswers elements.
	answers map[Subject]*answer
}

// answer is the answer to a question, under way or done.
type answer struct {
	askedAt time.Time
	// done is closed once healthy is set, by the goroutine that created the answer.
	done    chan struct{}
	healthy bool
}

// counts reports whether the answer still counts.
func (answer *answer) counts(now time.Time) bool { return now.Sub(answer.askedAt) < AnswerLifetime }

// New returns an Inquirer that has asked nobody.
func New() *Inquirer {
	return &Inquirer{answers: make(map[Subject]*answer)}
}

// Ask reports whether the upstream is healthy, by an answer that counts or else by the question. The first request
// asks, with a context that ends with the given parent or after questionTimeout; others wait for its answer, until their
// contexts end.
func (inquirer *Inquirer) Ask(ctx, parent context.Context, subject Subject, question Question) bool {
	current, first := inquirer.findOrAdd(time.Now(), subject)
	if current == nil {
		return false
	}
	if first {
		inquirer.ask(parent, current, question)
	}
	select {
	case <-current.done:
		return current.healthy && current.counts(time.Now())
	case <-ctx.Done():
		return false
	}
}

// ask asks the question. Its answer is for all waiting requests, so that the end of the first one does not cancel it.
func (inquirer *Inquirer) ask(parent context.Context, current *answer, question Question) {
	defer close(current.done)
	ctx, cancel := context.WithTimeout(parent, questionTimeout)
	defer cancel()
	current.healthy = question(ctx)
}

// Verdict returns what is known of an upstream.
func (inquirer *Inquirer) Verdict(now time.Time, subject Subject) Verdict {
	inquirer.mutex.Lock()
	defer inquirer.mutex.Unlock()
	current, known := inquirer.answers[subject]
	switch {
	case known && current.counts(now):
		return current.verdict()
	case inquirer.makeRoom(now):
		return Unknown
	}
	return Unhealthy
}

// verdict returns Unknown until the answer is done.
func (answer *answer) verdict() Verdict {
	select {
	case <-answer.done:
	default:
		return Unknown
	}
	if answer.healthy {
		return Healthy
	}
	return Unhealthy
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
	if !inquirer.makeRoom(now) {
		return nil, false
	}
	current = &answer{askedAt: now, done: make(chan struct{})}
	inquirer.answers[subject] = current
	return current, true
}

// over reports whether the answer is done and does not count any more.
func (answer *answer) over(now time.Time) bool {
	select {
	case <-answer.done:
		return !answer.counts(now)
	default:
		return false
	}
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

package forwarder

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// lookLife is how long the answer counts for all requests at the upstream: when it ends,
// all its connections break within milliseconds, and it takes longer to start again.
const lookLife = 500 * time.Millisecond

// freshRun is how long after the first event of its answer a request may still have made its
// upstream end: one that does so does it soon after it begins. It keeps the streams that had
// run for longer from being suspected, most of those that break off with a busy engine.
const freshRun = time.Second

// looks finds out whether an upstream at which a request broke off has ended, once for all
// requests there. It is safe for concurrent use.
type looks struct {
	ask func(ctx context.Context, address string) connector.Presence
	// mutex guards looks; no other lock is taken under it.
	mutex sync.Mutex
	looks map[definer.UpstreamStart]*look
}

// look is one question and its answer.
type look struct {
	// asked is when the first request there broke off.
	asked time.Time
	// done is closed once presence is set; whoever asks first closes it.
	done     chan struct{}
	presence connector.Presence
}

func newLooks(ask func(ctx context.Context, address string) connector.Presence) *looks {
	return &looks{ask: ask, looks: make(map[definer.UpstreamStart]*look)}
}

// of returns the look at an upstream's address behind a break there, once it is answered.
func (looks *looks) of(now time.Time, upstream *registrar.Upstream) *look {
	current, first := looks.at(now, upstream.Start())
	if first {
		// The answer is for all who wait, so that the first one's end must not end it.
		current.presence = looks.ask(context.Background(), upstream.Address)
		close(current.done)
	}
	<-current.done
	return current
}

// at returns the question to ask or to wait for, and whether it is the caller's to ask.
func (looks *looks) at(now time.Time, start definer.UpstreamStart) (current *look, first bool) {
	looks.mutex.Lock()
	defer looks.mutex.Unlock()
	if known, ok := looks.looks[start]; ok && now.Sub(known.asked) < lookLife {
		return known, false
	}
	for old, known := range looks.looks {
		if now.Sub(known.asked) >= lookLife {
			delete(looks.looks, old)
		}
	}
	current = &look{asked: now, done: make(chan struct{})}
	looks.looks[start] = current
	return current, true
}

// look tells what became of the upstream of an attempt that broke off: whether it still
// listens, has ended, or cannot be told. With one that has ended, the request may have caused
// that. One that was about to leave is not asked, nor one that fell silent: a VM that is off
// or cut off answers no question either.
func (attempt *attempt) look(now time.Time, cause error) connector.Presence {
	forwarder, upstream := attempt.passage.forwarder, attempt.assignment.Upstream()
	if errors.Is(cause, syscall.ETIMEDOUT) || !forwarder.serves(upstream) {
		return connector.Untold
	}
	look := forwarder.looks.of(now, upstream)
	if look.presence == connector.Refused && attempt.isFresh(now) {
		forwarder.quarantine.Fell(look.asked, upstream.Start(), attempt.passage.identity)
	}
	return look.presence
}

// isFresh tells whether the upstream had only just begun with the request, as far as its
// answer shows.
func (attempt *attempt) isFresh(now time.Time) bool {
	return attempt.begunAt.IsZero() || now.Sub(attempt.begunAt) <= freshRun
}

// serves tells whether this start of an upstream is listed for requests: one that leaves
// ends as planned.
func (forwarder *Forwarder) serves(upstream *registrar.Upstream) bool {
	for _, listed := range forwarder.directory.Of(upstream.Service) {
		if listed.Start() == upstream.Start() {
			return true
		}
	}
	return false
}

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
	asked time.Time
	// done is closed once presence is set; whoever asks first closes it.
	done     chan struct{}
	presence connector.Presence
}

func newLooks(ask func(ctx context.Context, address string) connector.Presence) *looks {
	return &looks{ask: ask, looks: make(map[definer.UpstreamStart]*look)}
}

// presence tells whether anything still listens at an upstream's address.
func (looks *looks) presence(now time.Time, upstream *registrar.Upstream) connector.Presence {
	current, first := looks.at(now, upstream.Start())
	if first {
		// The answer is for all who wait, so that the first one's end must not end it.
		current.presence = looks.ask(context.Background(), upstream.Address)
		close(current.done)
	}
	<-current.done
	return current.presence
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

// presence tells what became of the upstream of an attempt that broke off: whether it
// still listens, has ended, or cannot be told. One that was about to leave is not asked, nor
// one that fell silent: a VM that is off or cut off answers no question either.
func (attempt *attempt) presence(cause error) connector.Presence {
	upstream := attempt.assignment.Upstream()
	if errors.Is(cause, syscall.ETIMEDOUT) || !attempt.passage.forwarder.serves(upstream) {
		return connector.Untold
	}
	return attempt.passage.forwarder.looks.presence(time.Now(), upstream)
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

package informer

import (
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/registrar"
)

const (
	// maxQuiet is how long no answer may be known while the store answers and a few nodes read it for all: the wait
	// of the watches on configurations, and the propagation of the answer.
	maxQuiet = 2 * time.Second
	// noticeTime is how late a reader may notice that the store owes an answer.
	noticeTime = 400 * time.Millisecond
)

// lapseTime returns the least time without heartbeats in which entries of living upstreams lapse: the last heartbeat
// was less than one interval before.
func (informer *Informer) lapseTime() time.Duration {
	return informer.expiry - informer.expiry/missedHeartbeats
}

// silenceLimits returns from which length on a silence of the store may have let entries of living upstreams lapse:
// between two answers that are known, and after an answer that is owed. A node that reads the store for itself only
// adds to the former what its watches wait longer than others.
func (informer *Informer) silenceLimits() (quiet, owed time.Duration) {
	owed = max(informer.lapseTime()-noticeTime, noticeTime)
	quiet = max(owed, maxQuiet)
	if informer.delegator == nil {
		quiet += max(informer.copyWait(upstreamWait, informer.bounds.Leaving)-maxQuiet, 0)
	}
	return quiet, owed
}

// storeSilence keeps when the store answered any node, as far as this node knows, and when it last answered none for
// long. It is safe for concurrent use.
//
// The time between two answers is longer than the silence in it, by the wait of the watch that was open when that began
// and by the ways of answers through other nodes. So a silence counts as proven only while an answer is owed to a call
// of this node. Nodes that do not read the store rely on the word of those that do, and on the former for its end.
type storeSilence struct {
	// quiet and owed are the lengths from which on a time between two answers, and after an answer that is owed, is
	// kept.
	quiet time.Duration
	owed  time.Duration

	// mutex guards the fields below; no other lock is taken while it is held.
	mutex sync.Mutex
	// answeredAt is when the store last answered any node; zero if it never did.
	answeredAt time.Time
	// from and until are the begin and the end of the last long time between two answers; zero if there was none.
	from  time.Time
	until time.Time
	// provenAt is when a silence was last proven; zero if none was.
	provenAt time.Time
	// unansweredAt is when the last call of this node was due that failed; zero if none has.
	unansweredAt time.Time
}

// unanswered records when a call of this node was due that failed. A silence is proven to have lasted until then, not until
// a later call is answered: it may have ended before that was made.
func (storeSilence *storeSilence) unanswered(at time.Time) {
	storeSilence.mutex.Lock()
	defer storeSilence.mutex.Unlock()
	storeSilence.unansweredAt = latest(storeSilence.unansweredAt, at)
}

// answered records that the store answered a node. Time before runsSince does not count as silence: this process
// was paused, and answers may have come meanwhile. It returns how long no answer is known if the answer ends a
// long time without one, else 0.
func (storeSilence *storeSilence) answered(at, runsSince time.Time) time.Duration {
	storeSilence.mutex.Lock()
	defer storeSilence.mutex.Unlock()
	switch before := storeSilence.answeredAt; {
	case at.IsZero():
		return 0
	case before.IsZero():
		storeSilence.answeredAt = at
		return 0
	case !at.After(before):
		storeSilence.split(at)
		return 0
	}
	from := latest(storeSilence.answeredAt, runsSince)
	storeSilence.answeredAt = at
	if at.Sub(from) < storeSilence.quiet {
		return 0
	}
	storeSilence.from, storeSilence.until = from, at
	return at.Sub(from)
}

// split shortens the last long time without an answer by one that became known later; the mutex is held.
func (storeSilence *storeSilence) split(at time.Time) {
	switch {
	case !at.After(storeSilence.from) || !at.Before(storeSilence.until):
	case storeSilence.until.Sub(at) >= storeSilence.quiet:
		storeSilence.from = at
	case at.Sub(storeSilence.from) >= storeSilence.quiet:
		storeSilence.until = at
	default:
		storeSilence.from, storeSilence.until = time.Time{}, time.Time{}
	}
}

// observe records since when the store has owed this node answers. One that it has owed since before it answered other
// calls proves nothing: this node's own way has failed, or calls of one kind alone.
func (storeSilence *storeSilence) observe(now time.Time, owedSince []time.Time, runsSince time.Time) {
	storeSilence.mutex.Lock()
	defer storeSilence.mutex.Unlock()
	if storeSilence.answeredAt.IsZero() {
		return
	}
	until := now
	if !storeSilence.unansweredAt.IsZero() {
		until = storeSilence.unansweredAt
	}
	for _, since := range owedSince {
		from := latest(storeSilence.answeredAt, since, runsSince)
		if storeSilence.answeredAt.Sub(since) <= noticeTime && until.Sub(from) >= storeSilence.owed {
			storeSilence.provenAt = now
		}
	}
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// lastAnswer returns when the store last answered any node; zero if it never did.
func (storeSilence *storeSilence) lastAnswer() time.Time {
	storeSilence.mutex.Lock()
	defer storeSilence.mutex.Unlock()
	return storeSilence.answeredAt
}

// ended returns the end of the last long time without an answer, now if it lasts, or zero if there was none.
func (storeSilence *storeSilence) ended(now, runsSince time.Time) time.Time {
	storeSilence.mutex.Lock()
	defer storeSilence.mutex.Unlock()
	if from := latest(storeSilence.answeredAt, runsSince); !storeSilence.answeredAt.IsZero() && now.Sub(from) >= storeSilence.quiet {
		return now
	}
	return storeSilence.until
}

// proven reports whether a silence was proven at the time or later.
func (storeSilence *storeSilence) proven(since time.Time) bool {
	storeSilence.mutex.Lock()
	defer storeSilence.mutex.Unlock()
	return !storeSilence.provenAt.IsZero() && !storeSilence.provenAt.Before(since)
}

// answerer is a follower, whose calls the store answers or owes an answer.
type answerer interface {
	Answered() time.Time
	OwedSince() time.Time
	UnansweredAt() time.Time
}

// answerers returns this node's followers.
func (informer *Informer) answerers() []answerer {
	answerers := []answerer{informer.configurations, informer.upstreams, informer.peers}
	if informer.evacuations != nil {
		answerers = append(answerers, informer.evacuations)
	}
	if informer.versions != nil {
		answerers = append(answerers, informer.versions)
	}
	return answerers
}

// observeStore records when the store last answered this node, and since when it owes it an answer.
func (informer *Informer) observeStore(now time.Time) {
	var answeredAt time.Time
	var owedSince []time.Time
	for _, answerer := range informer.answerers() {
		answeredAt = latest(answeredAt, answerer.Answered())
		informer.silence.unanswered(answerer.UnansweredAt())
		if since := answerer.OwedSince(); !since.IsZero() {
			owedSince = append(owedSince, since)
		}
	}
	runsSince := informer.pulse.runsSince(now)
	informer.logSilence(informer.silence.answered(answeredAt, runsSince), storeOrigin)
	informer.silence.observe(now, owedSince, runsSince)
}

// learnAnswered records a peer's word that the store answered a node at the time.
func (informer *Informer) learnAnswered(at time.Time) {
	informer.logSilence(informer.silence.answered(at, informer.pulse.runsSince(time.Now())), "")
}

// logSilence logs that the store has answered after a long silence, unless it is 0. from is storeOrigin if it
// answered this node.
func (informer *Informer) logSilence(lasted time.Duration, from definer.VM) {
	if lasted > 0 {
		informer.log(logger.EventStoreSilent, "silentMs", lasted.Milliseconds(), "proven", informer.silence.proven(time.Now().Add(-lasted)), "from", from)
	}
}

// backUntil returns until when entries may be back that lapsed in a silence of the store, zero if it was not silent
// for so long. It counts from the answer that ended the silence, whichever node received it, so that all nodes
// end their doubts together.
func (informer *Informer) backUntil(now time.Time) time.Time {
	informer.observeStore(now)
	ended := informer.silence.ended(now, informer.pulse.runsSince(now))
	if ended.IsZero() {
		return ended
	}
	return ended.Add(registrar.LapseDelay)
}

// storeSettling reports whether entries that lapsed in a silence of the store may still be back, by this node's own
// calls.
func (informer *Informer) storeSettling() bool {
	now := time.Now()
	return now.Before(informer.backUntil(now)) && informer.silence.proven(now.Add(-registrar.LapseDelay-tickInterval))
}

// removeLapsed removes the upstreams that are missing and can't be back any more.
func (informer *Informer) removeLapsed(now time.Time) {
	informer.registrar.LimitDoubt(informer.backUntil(now))
	informer.publishChanges(informer.registrar.RemoveLapsed(now), "lapsed", "")
}

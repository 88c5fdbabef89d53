package forwarder

import (
	"sync"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/logger"
)

// maxStated bounds the starts of upstreams whose last word is kept for the log.
const maxStated = 8192

// stated is the last word of one start of an upstream that was logged.
type stated struct {
	limit      definer.RateLimit
	leaving    bool
	unreadable string
}

// statements tells which words of upstreams are news. It is safe for concurrent use.
type statements struct {
	// mutex guards latest; no other lock is taken under it.
	mutex  sync.Mutex
	latest map[definer.UpstreamStart]stated
}

func newStatements() *statements {
	return &statements{latest: make(map[definer.UpstreamStart]stated)}
}

// replace keeps the word of a start and returns the one before.
func (statements *statements) replace(start definer.UpstreamStart, word stated) stated {
	statements.mutex.Lock()
	defer statements.mutex.Unlock()
	before, known := statements.latest[start]
	if word == (stated{}) {
		delete(statements.latest, start)
		return before
	}
	if !known && len(statements.latest) >= maxStated {
		clear(statements.latest) // At worst, words are logged once more.
	}
	statements.latest[start] = word
	return before
}

// heed takes in what the answer to an attempt says of how its upstream wants to be asked.
func (attempt *attempt) heed(statement Statement) {
	forwarder, upstream := attempt.passage.forwarder, attempt.assignment.Upstream()
	now, said := time.Now(), statement.Announcement
	if _, limited := said.Limit.PerSecond(); limited || said.Leaving || statement.Signed {
		// A refusal that names no limit may come from before its upstream had one.
		forwarder.announcements.Hear(now, upstream.Start(), attempt.sentAt, announcer.Announcement{Limit: said.Limit, Leaving: said.Leaving})
	}
	if said.RetryAfter > 0 {
		forwarder.backedOff()
		attempt.assignment.BackOff(now, min(said.RetryAfter, forwarder.longestBackoff))
	}
	word := stated{limit: said.Limit, leaving: said.Leaving, unreadable: said.Unreadable}
	before := forwarder.statements.replace(upstream.Start(), word)
	if word.limit != before.limit || word.leaving != before.leaving || said.RetryAfter > 0 {
		forwarder.log(logger.EventUpstreamStated, "upstream", upstream.ID, "incarnation", upstream.Incarnation, "service", upstream.Service,
			"limit", word.limit, "leaving", word.leaving, "retryAfterMs", said.RetryAfter.Milliseconds(),
			"source", "answer", "request", attempt.passage.call.Attempt, "afterMs", now.Sub(attempt.sentAt).Milliseconds())
	}
	if word.unreadable != "" && word.unreadable != before.unreadable {
		forwarder.log(logger.EventStatementUnreadable, "upstream", upstream.ID, "headers", word.unreadable)
	}
}

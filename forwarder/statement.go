package forwarder

import (
	"sync"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/logger"
)

// maxLoggedStatements bounds the incarnations of upstreams whose last logged announcement is
// kept.
const maxLoggedStatements = 8192

// loggedStatement is the last announcement of one incarnation of an upstream that was logged.
type loggedStatement struct {
	limit      definer.RateLimit
	rejections definer.RateLimit
	leaving    bool
	unreadable string
}

// statementCache holds the last announcement of each upstream, so that only changes are
// logged. It is safe for concurrent use.
type statementCache struct {
	// mutex guards latest; no other lock is taken under it.
	mutex  sync.Mutex
	latest map[definer.UpstreamStart]loggedStatement
}

func newStatementCache() *statementCache {
	return &statementCache{latest: make(map[definer.UpstreamStart]loggedStatement)}
}

// replace stores the announcement of an incarnation and returns the previous one.
func (statementCache *statementCache) replace(start definer.UpstreamStart, current loggedStatement) loggedStatement {
	statementCache.mutex.Lock()
	defer statementCache.mutex.Unlock()
	previous, known := statementCache.latest[start]
	if current == (loggedStatement{}) {
		delete(statementCache.latest, start)
		return previous
	}
	if !known && len(statementCache.latest) >= maxLoggedStatements {
		clear(statementCache.latest) // At worst, announcements are logged once more.
	}
	statementCache.latest[start] = current
	return previous
}

// applyStatement applies what the answer to the attempt announces for its upstream: a rate
// limit, a backoff, or that it is leaving. It logs changes.
func (attempt *attempt) applyStatement(statement Statement) {
	forwarder, upstream := attempt.exchange.forwarder, attempt.assignment.Upstream()
	now, announced := time.Now(), statement.Announcement
	if _, limited := announced.Limit.PerSecond(); limited || announced.Leaving || statement.Signed {
		// A refusal without a limit may have been sent before its upstream had one.
		forwarder.announcements.Record(now, upstream.Start(), attempt.sentAt, announcer.Announcement{Limit: announced.Limit, Leaving: announced.Leaving})
	}
	if _, limited := announced.RejectionLimit.PerSecond(); limited || statement.Signed {
		forwarder.announcements.RecordRejectionLimit(now, upstream.Service, attempt.sentAt, announced.RejectionLimit)
	}
	if announced.RetryAfter > 0 {
		forwarder.backedOff()
		attempt.assignment.RecordBackoff(now, min(announced.RetryAfter, forwarder.longestBackoff))
	}
	if announced.Cold > 0 {
		attempt.assignment.RecordCold(now, announced.Cold)
	}
	current := loggedStatement{limit: announced.Limit, rejections: announced.RejectionLimit, leaving: announced.Leaving, unreadable: announced.Unreadable}
	previous := forwarder.loggedStatements.replace(upstream.Start(), current)
	if current.limit != previous.limit || current.rejections != previous.rejections || current.leaving != previous.leaving || announced.RetryAfter > 0 {
		forwarder.log(logger.EventUpstreamAnnounced, "upstream", upstream.ID, "incarnation", upstream.Incarnation, "service", upstream.Service,
			"limit", current.limit, "rejectionLimit", current.rejections, "leaving", current.leaving, "retryAfterMs", announced.RetryAfter.Milliseconds(),
			"source", "answer", "request", attempt.exchange.call.Attempt, "afterMs", now.Sub(attempt.sentAt).Milliseconds())
	}
	if current.unreadable != "" && current.unreadable != previous.unreadable {
		forwarder.log(logger.EventAnnouncementUnreadable, "upstream", upstream.ID, "headers", current.unreadable)
	}
}

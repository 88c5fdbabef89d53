package forwarder

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/selector"
	"limpetcleat/versioner"
)

// streamBuffer is the size of the read buffer of a stream in bytes.
const streamBuffer = 4 << 10

// stream tells how much of a streamed answer the caller has received, over all sends.
type stream struct {
	// headWritten is set once the answer's head was written.
	headWritten atomic.Bool
	// last is the id of the last event that was written, latest when that was.
	last   string
	latest time.Time
	// identity is that of the stream over all attempts of its caller; empty if the caller takes up a
	// stream without identifying it.
	identity definer.StreamIdentity
	// origin is where the stream began; valid if hasOrigin is set. recorded is set once it was recorded
	// by this exchange.
	origin    versioner.Origin
	hasOrigin bool
	recorded  bool
}

// lastID returns the id of the event to resume after, or an empty one before the first.
func (stream *stream) lastID() string { return stream.last }

// mayResume reports whether another upstream can continue the stream where it broke off.
func (stream *stream) mayResume() bool { return !stream.headWritten.Load() || stream.last != "" }

// relayStream passes a stream to the caller, event by event. The head is written with the
// first event, so that another upstream can start the stream if this one sends no event.
func (attempt *attempt) relayStream(answer *connector.Answer, statement Statement) sendResult {
	exchange := attempt.exchange
	if !statement.acceptable(answer.Status) {
		exchange.result.MayHaveRun = true
		return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, "the stream has no signature or is encoded")
	}
	exchange.result.MayHaveRun = true
	eventSplitter := newEventSplitter(exchange.forwarder.answers)
	defer eventSplitter.release()
	buffer := make([]byte, streamBuffer)
	continued := exchange.stream.headWritten.Load()
	for {
		count, err := answer.Read(buffer)
		events, failure := eventSplitter.add(buffer[:count])
		if excess := excessOf(failure); excess != nil {
			return attempt.endExcessive(excess, eventSplitter.meter.Outsized())
		}
		if len(events) > 0 {
			attempt.noteEvents()
			exchange.stream.recordOrigin(exchange, attempt.assignment.Upstream())
			if written := exchange.writeEvents(answer, events, eventSplitter.lastID); written != nil {
				return attempt.endFailed(selector.Abandoned, sendResult{reason: exchange.unreadReason(written)}, written)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && continued && attempt.firstEventAt.IsZero():
			// The earlier upstream may have had events left: it did not end the stream.
			return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, "the continuation of the stream has no event")
		case errors.Is(err, io.EOF) && len(eventSplitter.partial) == 0:
			return attempt.completeStream(answer)
		case errors.Is(err, io.EOF):
			return attempt.endFailed(selector.Failed, sendResult{reason: Broken}, "the stream ended within an event")
		case err != nil:
			return attempt.judgeBroken(err)
		}
	}
}

// noteEvents notes that events came from the upstream.
func (attempt *attempt) noteEvents() {
	attempt.assignment.RecordFirstEvent(time.Now())
	attempt.recordSignOfLife()
	if attempt.firstEventAt.IsZero() {
		attempt.exchange.markBegun()
		attempt.firstEventAt = time.Now()
		attempt.recordPrediction()
	}
	if now := time.Now(); !attempt.answering && !attempt.beganRecently(now) {
		attempt.answering = true
		attempt.exchange.forwarder.quarantine.RecordAnswering(now, attempt.exchange.parts...)
	}
}

// recordPrediction records what was predicted for the stream and when its first event came.
func (attempt *attempt) recordPrediction() {
	result, assignment := &attempt.exchange.result, attempt.assignment
	result.FirstSinceSend = attempt.firstEventAt.Sub(attempt.sentAt)
	result.ExpectedFirst, result.ExpectedGap = assignment.ExpectedFirstEvent(), assignment.ExpectedPause()
	if assignment.Deferred() {
		// The prediction holds for a request that is not queued behind all others.
		result.ExpectedFirst = 0
	}
}

// writeEvents writes events to the caller, and before them the head if it was not written.
func (exchange *exchange) writeEvents(answer *connector.Answer, events []byte, lastID string) error {
	now := time.Now()
	if exchange.stream.headWritten.Load() {
		exchange.result.Gap = max(exchange.result.Gap, now.Sub(exchange.stream.latest))
	}
	exchange.writeHead(answer)
	exchange.stream.latest = now
	exchange.stream.last = lastID
	exchange.result.Events++
	exchange.result.Bytes += len(events)
	exchange.limitWrite(now)
	if _, err := exchange.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(exchange.writer).Flush()
}

// limitWrite gives the caller stallTimeout from now on to read what is written, at most until writeEnd.
func (exchange *exchange) limitWrite(now time.Time) {
	deadline := now.Add(stallTimeout)
	if deadline.After(exchange.writeEnd) {
		deadline = exchange.writeEnd
	}
	_ = http.NewResponseController(exchange.writer).SetWriteDeadline(deadline) // Only writers in tests support none.
}

// unreadReason returns why a stream could not be passed on: the caller did not read it for too long, is
// disconnected, or may not read it any more.
func (exchange *exchange) unreadReason(err error) Reason {
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return exchange.forwarder.disconnectReason()
	case time.Now().Before(exchange.writeEnd):
		return Stalled
	}
	exchange.expired = true
	return TimedOut
}

// writeHead writes the head of the answer, if no earlier send has done so.
func (exchange *exchange) writeHead(answer *connector.Answer) {
	if exchange.stream.headWritten.Load() {
		return
	}
	exchange.stream.headWritten.Store(true)
	exchange.forwarder.openStreams.Add(1)
	exchange.result.First = time.Since(exchange.arrivedAt)
	exchange.result.Status = answer.Status
	header := exchange.writer.Header()
	copyHeader(header, answer.Header)
	if exchange.forwarder.closing.Load() {
		header.Set("Connection", "close")
	}
	exchange.writer.WriteHeader(answer.Status)
}

// completeStream ends the attempt of a stream that came whole.
func (attempt *attempt) completeStream(answer *connector.Answer) sendResult {
	attempt.exchange.limitWrite(time.Now()) // The server writes the end of the answer.
	attempt.exchange.writeHead(answer)
	attempt.endAnswered(answer)
	attempt.exchange.forwarder.origins.Ended(attempt.exchange.stream.identity)
	return sendResult{reason: Served}
}

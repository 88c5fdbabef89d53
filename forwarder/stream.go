package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"limpetcleat/connector"
	"limpetcleat/selector"
)

// streamBuffer is how many bytes of a stream are read at once.
const streamBuffer = 4 << 10

// stream is what a caller has of a stream, over all sends.
type stream struct {
	// begun is set once the answer's head was written.
	begun bool
	// last is the id of the last event that was passed on, latest when it was.
	last   string
	latest time.Time
}

// lastID returns the event to resume behind, or nothing before the first.
func (stream *stream) lastID() string { return stream.last }

// mayGoOn tells whether another upstream can go on where the stream ended.
func (stream *stream) mayGoOn() bool { return !stream.begun || stream.last != "" }

// relay passes a stream on, event by event. The head is written with the first
// event, so that a stream without one can be begun elsewhere.
func (attempt *attempt) relay(ctx context.Context, answer *connector.Answer, statement Statement) verdict {
	passage := attempt.passage
	if !statement.acceptable(answer.Status) {
		passage.result.MayHaveRun = true
		return attempt.failed(selector.Failed, verdict{reason: Broken}, "the stream has no signature or is encoded")
	}
	passage.result.MayHaveRun = true
	splitter := &splitter{}
	buffer := make([]byte, streamBuffer)
	for {
		count, err := answer.Read(buffer)
		if events := splitter.add(buffer[:count]); len(events) > 0 {
			attempt.arrived()
			if written := passage.pass(answer, events, splitter.lastID); written != nil {
				return attempt.failed(selector.Abandoned, verdict{reason: Left}, written)
			}
		}
		switch {
		case errors.Is(err, io.EOF) && len(splitter.rest) == 0:
			return attempt.complete(answer)
		case errors.Is(err, io.EOF) || len(splitter.rest) > maxEventBytes:
			return attempt.failed(selector.Failed, verdict{reason: Broken}, "the stream ended within an event")
		case err != nil:
			return attempt.broken(ctx, err)
		}
	}
}

// arrived notes that events came.
func (attempt *attempt) arrived() {
	attempt.assignment.Begun(time.Now())
	first := attempt.latest.Swap(int64(time.Since(attempt.sentAt))) == 0
	if first {
		attempt.passage.begin()
		attempt.begunAt = time.Now()
		attempt.watch(attempt.gap)
	}
}

// pass writes events to the caller, behind the head if that is still to come.
func (passage *passage) pass(answer *connector.Answer, events []byte, lastID string) error {
	now := time.Now()
	if passage.stream.begun {
		passage.result.Gap = max(passage.result.Gap, now.Sub(passage.stream.latest))
	}
	passage.open(answer)
	passage.stream.latest = now
	passage.stream.last = lastID
	passage.result.Events++
	passage.result.Bytes += len(events)
	if _, err := passage.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(passage.writer).Flush()
}

// open writes the head of the first upstream's answer.
func (passage *passage) open(answer *connector.Answer) {
	if passage.stream.begun {
		return
	}
	passage.stream.begun = true
	passage.result.First = time.Since(passage.arrived)
	passage.result.Status = answer.Status
	header := passage.writer.Header()
	copyHeader(header, answer.Header)
	if passage.forwarder.closing.Load() {
		header.Set("Connection", "close")
	}
	passage.writer.WriteHeader(answer.Status)
}

// complete ends a stream that came whole.
func (attempt *attempt) complete(answer *connector.Answer) verdict {
	attempt.passage.open(answer)
	attempt.answered(answer)
	return verdict{reason: Served}
}

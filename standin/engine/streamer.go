package engine

import (
	"encoding/json"
	"net/http"

	"limpetcleat/standin/internal/host"
)

// streamer writes a response as server-sent events, one token per chunk.
type streamer struct {
	*completion
	controller *http.ResponseController
	// next is the index of the next token to write; written is the number of distinct tokens
	// written to this stream.
	next    int
	written int
	// duplicateIndex is the index of the token to send twice, or -1.
	duplicateIndex int
	pauses         int
	resumes        int
	headerWritten  bool
	writeFailed    bool
}

func newStreamer(completion *completion) *streamer {
	first := completion.attempt.offset
	streamer := &streamer{
		completion:     completion,
		controller:     http.NewResponseController(completion.writer),
		next:           first,
		duplicateIndex: -1,
		pauses:         completion.reader.pauses,
		resumes:        completion.reader.resumes,
	}
	if completion.plan.doubled {
		streamer.duplicateIndex = first + (completion.reader.sequence.length-first)/2
	}
	return streamer
}

// run writes the stream until the response ends, the client disconnects or a fault closes the
// connection.
func (streamer *streamer) run() {
	for {
		snapshot, ok := streamer.await(streamer.hasUpdates)
		if !ok {
			return
		}
		if snapshot.state == stateCancelled && !streamer.headerWritten {
			streamer.writeCancelled(snapshot)
			return
		}
		streamer.writePauseEvents(snapshot)
		if streamer.writeTokens(snapshot.next) {
			host.CloseConnection(streamer.writer)
			return
		}
		if snapshot.state == stateCancelled {
			streamer.writeEvent(host.ErrorResponse{Error: host.ErrorDetail{
				Message: "the attempt was cancelled", Type: string(KindCancelled),
			}})
			streamer.flush()
			return
		}
		if snapshot.state == stateFinished {
			streamer.writeEnd()
			return
		}
		streamer.flush()
		if streamer.writeFailed {
			return
		}
	}
}

func (streamer *streamer) hasUpdates(snapshot snapshot) bool {
	return snapshot.next > streamer.next || snapshot.pauses > streamer.pauses || snapshot.resumes > streamer.resumes
}

// writePauseEvents writes an event for each pause and resumption since the previous snapshot.
func (streamer *streamer) writePauseEvents(snapshot snapshot) {
	for streamer.pauses < snapshot.pauses || streamer.resumes < snapshot.resumes {
		if streamer.pauses < snapshot.pauses {
			streamer.pauses++
			streamer.write("event: paused\ndata: {}\n\n")
		}
		if streamer.resumes < snapshot.resumes {
			streamer.resumes++
			streamer.write("event: resumed\ndata: {}\n\n")
		}
	}
}

// writeTokens writes the tokens before end, or fewer if a fault cuts the stream. It reports whether
// the caller must close the connection.
func (streamer *streamer) writeTokens(end int) (cut bool) {
	for streamer.next < end {
		if streamer.plan.cut && streamer.written >= streamer.plan.cutAfter {
			break
		}
		index := streamer.next
		streamer.writeToken(index)
		if index == streamer.duplicateIndex {
			streamer.writeToken(index)
		}
		streamer.next++
		streamer.written++
	}
	streamer.engine.recordSent(streamer.reader, streamer.next)
	atCut := streamer.written >= streamer.plan.cutAfter || streamer.next == streamer.reader.sequence.length
	if streamer.plan.cut && atCut {
		streamer.flush()
		return true
	}
	return false
}

func (streamer *streamer) writeToken(index int) {
	sequence := streamer.reader.sequence
	choice := streamer.format.chunkChoice(streamer.text.token(index))
	chunk := streamer.chunk(streamer.format.chunkObject(), choice)
	chunk.TokenIndex = &index
	if index == sequence.length-1 {
		chunk.Choices[0].FinishReason = new(sequence.finishReason())
		if !streamer.attempt.body.StreamOptions.IncludeUsage {
			chunk.Usage = streamer.usage()
		}
	}
	streamer.writeEvent(chunk)
}

// writeEnd writes the events after the last token. A stream without tokens gets an empty chunk that
// carries the finish reason.
func (streamer *streamer) writeEnd() {
	if streamer.written == 0 {
		choice := streamer.format.chunkChoice("")
		choice.FinishReason = new(streamer.reader.sequence.finishReason())
		streamer.writeEvent(streamer.chunk(streamer.format.chunkObject(), choice))
	}
	if streamer.attempt.body.StreamOptions.IncludeUsage {
		chunk := streamer.chunk(streamer.format.chunkObject())
		chunk.Choices = []Choice{}
		chunk.Usage = streamer.usage()
		streamer.writeEvent(chunk)
	}
	streamer.write("data: [DONE]\n\n")
	streamer.flush()
}

func (streamer *streamer) writeEvent(value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		streamer.writeFailed = true
		return
	}
	streamer.write("data: " + string(encoded) + "\n\n")
}

func (streamer *streamer) write(text string) {
	streamer.writeHeader()
	if _, err := streamer.writer.Write([]byte(text)); err != nil {
		streamer.writeFailed = true
	}
}

// writeHeader sends the response header on first use. The delay allows an error status for an
// attempt that is cancelled before its first event.
func (streamer *streamer) writeHeader() {
	if streamer.headerWritten {
		return
	}
	streamer.headerWritten = true
	header := streamer.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderAttemptID, streamer.id)
	streamer.writer.WriteHeader(http.StatusOK)
}

func (streamer *streamer) flush() {
	if streamer.headerWritten && streamer.controller.Flush() != nil {
		streamer.writeFailed = true
	}
}

package engine

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/standin/internal/host"
)

const maxBodyBytes = 8 << 20

// completion writes the response to one accepted attempt.
type completion struct {
	engine  *Engine
	attempt *attempt
	reader  *reader
	plan    faultPlan
	format  format
	writer  http.ResponseWriter
	request *http.Request
	// text and id belong to the attempt, or to another one if a fault crosses the response.
	text    responseText
	id      string
	created int64
}

func (engine *Engine) handleCompletion(format format) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		raw, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
		if err != nil {
			writer.Header().Set(HeaderNotRun, "1")
			host.WriteError(writer, http.StatusRequestEntityTooLarge, string(KindInvalid), err.Error())
			return
		}
		announcement := engine.announcement()
		announcement.SetHeaders(writer.Header())
		attempt, err := newAttempt(request.Header, raw)
		if err != nil {
			writeRefusal(writer, "", err, announcement)
			return
		}
		reader, plan, err := engine.submit(attempt)
		if err != nil {
			writeRefusal(writer, attempt.id, err, announcement)
			return
		}
		defer engine.detach(reader)
		newCompletion(engine, attempt, reader, plan, format, writer, request).respond()
	}
}

func newCompletion(
	engine *Engine, attempt *attempt, reader *reader, plan faultPlan, format format,
	writer http.ResponseWriter, request *http.Request,
) *completion {
	completion := &completion{
		engine: engine, attempt: attempt, reader: reader, plan: plan, format: format,
		writer: writer, request: request,
		text: reader.sequence.text, id: attempt.id, created: time.Now().Unix(),
	}
	if plan.crossedID != "" {
		completion.id = plan.crossedID
		completion.text = newResponseText(attempt.body.Model, plan.crossedID)
	}
	return completion
}

// announcement returns the announcement for response headers. It includes Leaving after POST
// /admin/leave.
func (engine *Engine) announcement() host.Announcement {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	announcement := engine.faults.Announcement
	announcement.Leaving = announcement.Leaving || engine.leaving
	return announcement
}

// writeRefusal writes the error response to an attempt that was refused. An empty attemptID omits
// the attempt header.
func writeRefusal(writer http.ResponseWriter, attemptID string, err error, announcement host.Announcement) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		host.WriteError(writer, http.StatusInternalServerError, string(KindInjected), err.Error())
		return
	}
	if attemptID != "" {
		writer.Header().Set(HeaderAttemptID, attemptID)
	}
	if refusal.notRun() {
		writer.Header().Set(HeaderNotRun, "1")
	}
	if refusal.status() == http.StatusServiceUnavailable {
		announcement.SetRetryAfter(writer.Header())
	}
	host.WriteError(writer, refusal.status(), string(refusal.Kind), refusal.Error())
}

func (completion *completion) respond() {
	if completion.attempt.body.Stream && !completion.plan.failAfter {
		newStreamer(completion).run()
		return
	}
	completion.respondUnstreamed()
}

// respondUnstreamed waits for the sequence to end and sends the response in one JSON body.
func (completion *completion) respondUnstreamed() {
	snapshot, ok := completion.await(untilEnd)
	if !ok {
		return
	}
	if snapshot.state == stateCancelled {
		completion.writeCancelled(snapshot)
		return
	}
	completion.writer.Header().Set(HeaderAttemptID, completion.id)
	if completion.plan.failAfter {
		host.WriteError(completion.writer, http.StatusInternalServerError, string(KindInjected), "failed after computing")
		return
	}
	sequence := completion.reader.sequence
	choice := completion.format.responseChoice(completion.text.join(completion.attempt.offset, sequence.length))
	choice.FinishReason = new(sequence.finishReason())
	chunk := completion.chunk(completion.format.responseObject(), choice)
	chunk.Usage = completion.usage()
	host.WriteJSON(completion.writer, http.StatusOK, chunk)
	completion.engine.recordSent(completion.reader, sequence.length)
}

// untilEnd makes await wait for the end of the sequence.
func untilEnd(snapshot) bool { return false }

// await blocks until the sequence ends or enough returns true for a snapshot. It returns false if
// the client disconnected, the engine was closed or another reader replaced this one; in the last
// two cases it closes the connection.
func (completion *completion) await(enough func(snapshot) bool) (snapshot, bool) {
	for {
		snapshot := completion.engine.snapshot(completion.reader)
		if snapshot.replaced {
			host.CloseConnection(completion.writer)
			return snapshot, false
		}
		if snapshot.state == stateFinished || snapshot.state == stateCancelled || enough(snapshot) {
			return snapshot, true
		}
		select {
		case <-completion.reader.changed:
		case <-completion.request.Context().Done():
			return snapshot, false
		case <-completion.engine.host.Done():
			host.CloseConnection(completion.writer)
			return snapshot, false
		}
	}
}

func (completion *completion) writeCancelled(snapshot snapshot) {
	completion.writer.Header().Set(HeaderAttemptID, completion.id)
	if !snapshot.started {
		completion.writer.Header().Set(HeaderNotRun, "1")
	}
	host.WriteError(completion.writer, http.StatusServiceUnavailable, string(KindCancelled), "the attempt was cancelled")
}

func (completion *completion) chunk(object string, choices ...Choice) Chunk {
	return Chunk{
		ID:        "cmpl-" + completion.id,
		Object:    object,
		Created:   completion.created,
		Model:     completion.attempt.body.Model,
		Choices:   choices,
		AttemptID: completion.id,
	}
}

// usage returns the token counts of the whole response, even if the attempt requested only the part
// from an offset. The sequence is finished, so reading its fields needs no lock.
func (completion *completion) usage() *Usage {
	sequence := completion.reader.sequence
	return &Usage{
		PromptTokens:     sequence.promptTokens,
		CompletionTokens: sequence.length,
		TotalTokens:      sequence.promptTokens + sequence.length,
		PromptDetails:    PromptDetails{CachedTokens: sequence.cachedTokens},
	}
}

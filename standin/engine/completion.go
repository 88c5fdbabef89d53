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

// completion is one attempt being answered.
type completion struct {
	engine  *Engine
	attempt *attempt
	reader  *reader
	plan    plan
	format  format
	writer  http.ResponseWriter
	request *http.Request
	// text and id are the answer's own, or another's when it is crossed.
	text    text
	id      string
	created int64
}

func (engine *Engine) complete(format format) httprouter.Handle {
	return func(writer http.ResponseWriter, request *http.Request, _ httprouter.Params) {
		raw, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
		if err != nil {
			writer.Header().Set(HeaderNotRun, "1")
			host.Fail(writer, http.StatusRequestEntityTooLarge, string(KindInvalid), err.Error())
			return
		}
		said := engine.announcement()
		said.Write(writer.Header())
		attempt, err := newAttempt(request.Header, raw)
		if err != nil {
			refuse(writer, "", err, said)
			return
		}
		reader, plan, err := engine.submit(attempt)
		if err != nil {
			refuse(writer, attempt.id, err, said)
			return
		}
		defer engine.leave(reader)
		newCompletion(engine, attempt, reader, plan, format, writer, request).answer()
	}
}

func newCompletion(
	engine *Engine, attempt *attempt, reader *reader, plan plan, format format,
	writer http.ResponseWriter, request *http.Request,
) *completion {
	completion := &completion{
		engine: engine, attempt: attempt, reader: reader, plan: plan, format: format,
		writer: writer, request: request,
		text: reader.sequence.text, id: attempt.id, created: time.Now().Unix(),
	}
	if plan.crossedID != "" {
		completion.id = plan.crossedID
		completion.text = newText(attempt.body.Model, plan.crossedID)
	}
	return completion
}

// announcement returns how the engine wants to be asked; one that was told to leave says so.
func (engine *Engine) announcement() host.Announcement {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	said := engine.faults.Announcement
	said.SaysLeaving = said.SaysLeaving || engine.leaving
	return said
}

// refuse answers an attempt that was not taken in.
func refuse(writer http.ResponseWriter, attemptID string, err error, said host.Announcement) {
	var refusal *Error
	if !errors.As(err, &refusal) {
		host.Fail(writer, http.StatusInternalServerError, string(KindInjected), err.Error())
		return
	}
	if attemptID != "" {
		writer.Header().Set(HeaderAttemptID, attemptID)
	}
	if refusal.notRun() {
		writer.Header().Set(HeaderNotRun, "1")
	}
	if refusal.status() == http.StatusServiceUnavailable {
		said.WriteRetryAfter(writer.Header())
	}
	host.Fail(writer, refusal.status(), string(refusal.Kind), refusal.Error())
}

func (completion *completion) answer() {
	if completion.attempt.body.Stream && !completion.plan.failAfter {
		newStreamer(completion).run()
		return
	}
	completion.answerWhole()
}

// answerWhole waits for the whole answer and sends it at once.
func (completion *completion) answerWhole() {
	view, ok := completion.await(onlyEnd)
	if !ok {
		return
	}
	if view.state == stateCancelled {
		completion.refuseCancelled(view)
		return
	}
	completion.writer.Header().Set(HeaderAttemptID, completion.id)
	if completion.plan.failAfter {
		host.Fail(completion.writer, http.StatusInternalServerError, string(KindInjected), "failed after computing")
		return
	}
	sequence := completion.reader.sequence
	choice := completion.format.wholeChoice(completion.text.between(completion.attempt.offset, sequence.length))
	choice.FinishReason = new(sequence.finishReason())
	chunk := completion.chunk(completion.format.whole(), choice)
	chunk.Usage = completion.usage()
	host.Answer(completion.writer, http.StatusOK, chunk)
	completion.engine.sent(completion.reader, sequence.length)
}

// onlyEnd lets await wait for the end.
func onlyEnd(view) bool { return false }

// await blocks until the sequence has ended or enough holds. It returns false
// when the client has left, the engine is closed or another reader has the
// sequence.
func (completion *completion) await(enough func(view) bool) (view, bool) {
	for {
		view := completion.engine.view(completion.reader)
		if view.replaced {
			host.Cut(completion.writer)
			return view, false
		}
		if view.state == stateFinished || view.state == stateCancelled || enough(view) {
			return view, true
		}
		select {
		case <-completion.reader.changed:
		case <-completion.request.Context().Done():
			return view, false
		case <-completion.engine.host.Done():
			host.Cut(completion.writer)
			return view, false
		}
	}
}

func (completion *completion) refuseCancelled(view view) {
	completion.writer.Header().Set(HeaderAttemptID, completion.id)
	if !view.started {
		completion.writer.Header().Set(HeaderNotRun, "1")
	}
	host.Fail(completion.writer, http.StatusServiceUnavailable, string(KindCancelled), "the attempt was cancelled")
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

// usage counts the whole answer, also when only a part of it was asked for. The
// sequence is finished, so its fields no longer change.
func (completion *completion) usage() *Usage {
	sequence := completion.reader.sequence
	return &Usage{
		PromptTokens:     sequence.promptTokens,
		CompletionTokens: sequence.length,
		TotalTokens:      sequence.promptTokens + sequence.length,
		PromptDetails:    PromptDetails{CachedTokens: sequence.cachedTokens},
	}
}

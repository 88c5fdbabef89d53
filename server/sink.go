package server

import (
	"net/http"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// sink writes one answer to one caller.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// status is 0 until the answer has begun.
	status int
}

func newSink(writer http.ResponseWriter) *sink {
	return &sink{writer: writer, controller: http.NewResponseController(writer)}
}

// Begin writes the status and the header. The answer counts as one of a request
// that ran unless the header says otherwise.
func (sink *sink) Begin(status int, header http.Header) {
	own := sink.writer.Header()
	for name, values := range header {
		if name != headerRequest {
			own[name] = values
		}
	}
	if own.Get(headerOutcome) == "" {
		own.Set(headerOutcome, string(definer.Ran))
	}
	sink.status = status
	sink.writer.WriteHeader(status)
}

// Write writes a part of the body and pushes it to the caller.
func (sink *sink) Write(data []byte) error {
	if _, err := sink.writer.Write(data); err != nil {
		return err
	}
	return sink.controller.Flush()
}

// Begun tells whether Begin was called.
func (sink *sink) Begun() bool { return sink.status != 0 }

// fail ends the answer with an error: as the whole answer when none has begun,
// else as an explicit last event, never as a silent end.
func (sink *sink) fail(failure callerFailure) {
	if !sink.Begun() {
		sink.status = failure.status
		writeFailure(sink.writer, failure)
		return
	}
	last := append([]byte("data: "), failure.body()...)
	_ = sink.Write(append(last, '\n', '\n'))
}

// replay gives an answer that was kept.
func (sink *sink) replay(answer decider.StoredAnswer) {
	sink.writer.Header().Set("Idempotency-Replayed", "true")
	sink.Begin(answer.Status, answer.Header)
	_ = sink.Write(answer.Body)
}

// relay gives an answer that a peer gave for this request.
func (sink *sink) relay(answer *messenger.CallAnswer) {
	header := http.Header(answer.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerOutcome, string(answer.Outcome))
	sink.Begin(answer.Status, header)
	_ = sink.Write(answer.Body)
}

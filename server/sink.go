package server

import (
	"net/http"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// sink writes the response to one request. It implements dispatcher.Sink.
type sink struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	// status is 0 until the header is written.
	status int
}

func newSink(writer http.ResponseWriter) *sink {
	return &sink{writer: writer, controller: http.NewResponseController(writer)}
}

// Begin writes the status and the header, except for the request id, which the server has set. The
// outcome is Ran unless the header states another.
func (sink *sink) Begin(status int, header http.Header) {
	ownHeader := sink.writer.Header()
	for name, values := range header {
		if name != headerRequestID {
			ownHeader[name] = values
		}
	}
	if ownHeader.Get(headerOutcome) == "" {
		ownHeader.Set(headerOutcome, string(definer.Ran))
	}
	sink.status = status
	sink.writer.WriteHeader(status)
}

// Write writes a part of the body and flushes it to the caller.
func (sink *sink) Write(data []byte) error {
	if _, err := sink.writer.Write(data); err != nil {
		return err
	}
	return sink.controller.Flush()
}

// Begun reports whether the header was written.
func (sink *sink) Begun() bool { return sink.status != 0 }

// fail ends the response with a failure: as the whole response if the header is unwritten,
// otherwise as a last event of the stream, so that callers can distinguish a failure from a normal
// end.
func (sink *sink) fail(failure failure) {
	if !sink.Begun() {
		sink.status = failure.status
		writeFailure(sink.writer, failure)
		return
	}
	last := append([]byte("data: "), failure.body()...)
	_ = sink.Write(append(last, '\n', '\n'))
}

// replay writes a stored answer as the response.
func (sink *sink) replay(answer decider.StoredAnswer) {
	sink.writer.Header().Set("Idempotency-Replayed", "true")
	sink.Begin(answer.Status, answer.Header)
	_ = sink.Write(answer.Body)
}

// relay writes a peer's answer as the response.
func (sink *sink) relay(answer *messenger.CallAnswer) {
	header := http.Header(answer.Header).Clone()
	if header == nil {
		header = make(http.Header)
	}
	header.Set(headerOutcome, string(answer.Outcome))
	sink.Begin(answer.Status, header)
	_ = sink.Write(answer.Body)
}

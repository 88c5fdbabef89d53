package forwarder

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"limpetcleat/logger"
)

// wholeAnswer is an upstream's answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// deliver passes a whole answer on.
func (passage *passage) deliver(answer *wholeAnswer) {
	header := passage.writer.Header()
	copyHeader(header, answer.header)
	if passage.request.Method != http.MethodHead && allowsBody(answer.status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	if passage.forwarder.closing.Load() {
		header.Set("Connection", "close")
	}
	passage.result.Status = answer.status
	passage.result.First = time.Since(passage.arrived)
	passage.result.Bytes = len(answer.body)
	passage.writer.WriteHeader(answer.status)
	if _, err := passage.writer.Write(answer.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		passage.forwarder.log(logger.EventAnswerUndelivered, "request", passage.call.Attempt, "cause", err)
	}
}

func allowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

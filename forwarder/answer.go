package forwarder

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"limpetcleat/logger"
)

// wholeAnswer is an upstream's answer with its body read to the end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// deliver writes a whole answer to the caller.
func (exchange *exchange) deliver(answer *wholeAnswer) {
	header := exchange.writer.Header()
	copyHeader(header, answer.header)
	if exchange.request.Method != http.MethodHead && statusAllowsBody(answer.status) {
		header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	}
	if exchange.forwarder.closing.Load() {
		header.Set("Connection", "close")
	}
	exchange.result.Status = answer.status
	exchange.result.First = time.Since(exchange.arrivedAt)
	exchange.result.Bytes = len(answer.body)
	exchange.writer.WriteHeader(answer.status)
	if _, err := exchange.writer.Write(answer.body); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		exchange.forwarder.log(logger.EventAnswerUndelivered, "request", exchange.call.Attempt, "cause", err)
	}
}

// statusAllowsBody reports whether an answer with the status may have a body.
func statusAllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

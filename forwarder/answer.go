package forwarder

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"limpetcleat/logger"
	"limpetcleat/rationer"
)

// wholeAnswer is an upstream's answer with its body read to the end.
type wholeAnswer struct {
	status int
	header http.Header
	// pieces are the parts of the body in order.
	pieces [][]byte
}

// deliver writes a whole answer to the caller.
func (exchange *exchange) deliver(answer *wholeAnswer) {
	header := exchange.writer.Header()
	copyHeader(header, answer.header)
	size := rationer.Size(answer.pieces)
	if exchange.request.Method != http.MethodHead && statusAllowsBody(answer.status) {
		header.Set("Content-Length", strconv.FormatInt(size, 10))
	}
	if exchange.forwarder.closing.Load() {
		header.Set("Connection", "close")
	}
	exchange.result.Status = answer.status
	exchange.result.First = time.Since(exchange.arrivedAt)
	exchange.result.Bytes = int(size)
	exchange.writer.WriteHeader(answer.status)
	for _, piece := range answer.pieces {
		if _, err := exchange.writer.Write(piece); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
			exchange.forwarder.log(logger.EventAnswerUndelivered, "request", exchange.call.Attempt, "cause", err)
			return
		}
	}
}

// statusAllowsBody reports whether an answer with the status may have a body.
func statusAllowsBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}

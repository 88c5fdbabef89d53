package forwarder

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
)

// deadlineWriter records the write deadline.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	deadline time.Time
}

// SetWriteDeadline records the deadline.
func (writer *deadlineWriter) SetWriteDeadline(deadline time.Time) error {
	writer.deadline = deadline
	return nil
}

// TestEachEventHasTimeToBeWritten writes events with a pause that ends shortly before the latest time at
// which the caller may read the answer.
//
// It guards against streams that are ended as stalled although their callers read them: the deadline of an
// earlier event stayed in force.
func TestEachEventHasTimeToBeWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, pause = 12 * time.Second, 7500 * time.Millisecond
		writer := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
		began := time.Now()
		exchange := &exchange{forwarder: &Forwarder{}, writer: writer, arrivedAt: began, writeEnd: began.Add(limit)}
		answer := &connector.Answer{Status: http.StatusOK, Header: http.Header{}}
		assert.NilError(t, exchange.writeEvents(answer, []byte("id: 1\n\n"), "1"))
		assert.Equal(t, writer.deadline, began.Add(stallTimeout))
		time.Sleep(pause)
		assert.NilError(t, exchange.writeEvents(answer, []byte("id: 2\n\n"), "2"))
		assert.Equal(t, writer.deadline, exchange.writeEnd)
	})
}

// TestLateNodeTakesNoCallerForGone lets writes of a stream fail, before and after the latest time at which the
// caller may read it.
//
// It guards against a node that is short of processor time and logs that callers have left which are there.
func TestLateNodeTakesNoCallerForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		request := httptest.NewRequest(http.MethodPost, "/", http.NoBody).WithContext(ctx)
		cancel() // The server ends the context of a request when a write fails.
		sut := &exchange{forwarder: &Forwarder{}, request: request, writeEnd: time.Now().Add(time.Second)}
		assert.Equal(t, sut.unreadReason(syscall.EPIPE), Left)
		assert.Equal(t, sut.unreadReason(os.ErrDeadlineExceeded), Stalled)
		assert.Equal(t, sut.endReason(ctx), Left)
		time.Sleep(time.Second)
		assert.Equal(t, sut.unreadReason(os.ErrDeadlineExceeded), TimedOut)
		assert.Equal(t, sut.endReason(ctx), TimedOut)
	})
}

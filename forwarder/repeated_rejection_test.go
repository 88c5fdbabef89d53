package forwarder_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRepeatedRejectionIsNotTheNextAnswer guards against requests that run and are answered 503, with a copy of the
// rejection of an earlier request, which names none.
func TestRepeatedRejectionIsNotTheNextAnswer(t *testing.T) {
	const rejection = "HTTP/1.1 503 Service Unavailable\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	var rejected atomic.Bool
	harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		if rejected.Swap(true) {
			answer(http.StatusOK, "ran")(writer, request)
			return
		}
		conn, stream, err := http.NewResponseController(writer).Hijack()
		assert.Check(t, err)
		defer conn.Close()
		_, _ = io.WriteString(conn, rejection)
		if _, err := http.ReadRequest(stream.Reader); err == nil {
			_, _ = io.WriteString(conn, rejection) // The upstream runs this request.
		}
	})
	first, _, err := harness.call("/once/", "", unchanged)
	assert.NilError(t, err)
	assert.Equal(t, first.StatusCode, http.StatusServiceUnavailable)
	second, text, err := harness.call("/once/", "", unchanged)
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusOK)
	assert.Equal(t, text, "ran")
}

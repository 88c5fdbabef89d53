package forwarder_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSurplusAnswersDoNotKeepRequestsFromOtherUpstreams guards against a request that may be repeated and is lost with a sound
// upstream at hand: each surplus answer of the first upstream restarts the wait for its own.
func TestSurplusAnswersDoNotKeepRequestsFromOtherUpstreams(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		for err == nil {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 0\r\n\r\n", attemptHeader)
			time.Sleep(50 * time.Millisecond)
		}
	}()
	harness := newHarness(t)
	harness.add(0, listener.Addr().String())
	sound := newHarness(t, answer(http.StatusOK, "own")) // Only its upstream is used.
	harness.add(1, sound.upstreams[0].Address)
	response, text, err := harness.call("/safe/", "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, text, "own")
}

package dispatcher_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
)

// TestResumedStreamsAreNotAnsweredByCopies guards against a copy of the answer that was cut being taken for the answer
// to the resumption, which has the same attempt id.
func TestResumedStreamsAreNotAnsweredByCopies(t *testing.T) {
	stream := func(events string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", responseHead, len(events), events)
	}
	var first net.Conn
	upstream := serve(t, func(number int64, conn net.Conn, _ *http.Request) bool {
		if number == 1 {
			first = conn
			return write(conn, stream(firstChunk+endChunk))
		}
		if conn == first {
			write(conn, stream(firstChunk+endChunk))
		}
		return write(conn, stream(lastChunk+endChunk))
	})
	client := dispatcher.New()
	defer client.Close()
	start := decider.StartAttempt{Kind: definer.Engine, Repeatable: true}
	ended, _ := upstream.run(t, client, start, dispatcher.Exchange{Method: http.MethodPost, Body: []byte("{}"), Streamed: true})
	assert.Equal(t, ended.Result, decider.AttemptComplete)
	assert.Equal(t, ended.Delivered, 2)
}

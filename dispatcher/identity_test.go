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

// TestRefusalsWithoutIDAreAnswersToTheirOwnRequest guards against a copy of a refusal that names no attempt being taken
// for the refusal of the next request on the connection, which runs.
func TestRefusalsWithoutIDAreAnswersToTheirOwnRequest(t *testing.T) {
	const refusal = "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, copied := range []bool{false, true} {
		t.Run(fmt.Sprintf("copied=%t", copied), func(t *testing.T) {
			var first net.Conn
			upstream := serve(t, func(number int64, conn net.Conn, _ *http.Request) bool {
				switch {
				case number == 1:
					first = conn
					return write(conn, refusal)
				case conn != first && !copied:
					return write(conn, refusal)
				case conn == first:
					write(conn, refusal)
				}
				return write(conn, responseHead+"Content-Length: 2\r\n\r\nok")
			})
			client := dispatcher.New()
			defer client.Close()
			start, exchange := decider.StartAttempt{Kind: definer.Service, Repeatable: true}, dispatcher.Exchange{Method: http.MethodPost}
			refused, _ := upstream.run(t, client, start, exchange)
			assert.Equal(t, refused.Result, decider.AttemptRefused)
			ended, _ := upstream.run(t, client, start, exchange)
			wanted := decider.AttemptBroken // The first send may have run.
			if copied {
				wanted = decider.AttemptComplete
			}
			assert.Equal(t, ended.Result, wanted)
		})
	}
}

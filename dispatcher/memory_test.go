package dispatcher_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/rationer"
)

// TestAnswersStayWithinTheMemory guards against answers, and events that do not end, that each stay below their limit
// and together exceed the memory. All of it is free once an answer was passed on or given up.
func TestAnswersStayWithinTheMemory(t *testing.T) {
	const limit = 256 << 10
	long := strings.Repeat("x", limit)
	cases := []struct {
		name   string
		kind   definer.PoolKind
		answer string
		result decider.AttemptResult
	}{
		{"small", definer.Service, responseHead + "Content-Length: 4\r\n\r\ntext", decider.AttemptComplete},
		{"large", definer.Service, responseHead + "Content-Length: 300000\r\n\r\n" + long, decider.AttemptCut},
		{"chunked", definer.Service, responseHead + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" + long + "\r\n0\r\n\r\n", decider.AttemptCut},
		{"event", definer.Engine, responseHead + "Content-Type: text/event-stream\r\n\r\ndata: " + long, decider.AttemptCut},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			upstream := serve(t, func(_ int64, conn net.Conn, _ *http.Request) bool {
				write(conn, test.answer)
				return false
			})
			memory := rationer.New(limit)
			client := dispatcher.New(dispatcher.WithMemory(memory))
			defer client.Close()
			exchange := dispatcher.Exchange{Method: http.MethodPost, Streamed: test.kind == definer.Engine}
			ended, _ := upstream.run(t, client, decider.StartAttempt{Kind: test.kind}, exchange)
			assert.Equal(t, ended.Result, test.result)
			assert.Equal(t, memory.Held(), int64(0))
		})
	}
}

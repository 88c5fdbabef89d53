package dispatcher_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
)

// TestLimitedUpstreamsAreSentNoRefusedRequestAgain guards against more requests to an upstream with a rate limit, or that asks
// for a pause, than were granted: a refusal without an id on a kept connection is followed by a second send.
func TestLimitedUpstreamsAreSentNoRefusedRequestAgain(t *testing.T) {
	for name, header := range map[string]string{"limit": "Server-Limit: 1\r\n", "pause": "Retry-After: 5\r\n"} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			upstream := serve(t, func(number int64, conn net.Conn, _ *http.Request) bool {
				requests.Add(1)
				if number == 1 {
					limit := ""
					if name == "limit" {
						limit = header
					}
					return write(conn, responseHead+limit+"Content-Length: 2\r\n\r\nok")
				}
				return write(conn, "HTTP/1.1 503 S\r\nX-Not-Run: 1\r\n"+header+"Content-Length: 0\r\n\r\n")
			})
			client := dispatcher.New()
			defer client.Close()
			start, exchange := decider.StartAttempt{Kind: definer.Service, Repeatable: true}, dispatcher.Exchange{Method: http.MethodPost}
			const runs = 2
			for range runs {
				ended, _ := upstream.run(t, client, start, exchange)
				t.Log(ended.Result, ended)
			}
			assert.Equal(t, requests.Load(), int64(runs))
		})
	}
}

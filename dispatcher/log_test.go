package dispatcher_test

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/logger"
)

// events records the numbers of the logged events.
type events struct {
	mutex   sync.Mutex
	numbers []int
}

func (events *events) log(number int, _ ...any) {
	events.mutex.Lock()
	defer events.mutex.Unlock()
	events.numbers = append(events.numbers, number)
}

// TestLoggedFaults checks which faults of upstreams are logged. The cancellation of an
// attempt goes over a separate connection, which fails once the upstream is gone.
func TestLoggedFaults(t *testing.T) {
	crossed := strings.ReplaceAll(firstChunk, "r.1", "r.2")
	const other = `{"attemptId":"r.2","choices":[{"finish_reason":"stop"}]}`
	stream := responseHead + "Content-Type: text/event-stream\r\n\r\n"
	cases := []struct {
		name, answer string
		kind         definer.PoolKind
		streamed     bool
		gone         bool
		logged       []int
	}{
		{"own", responseHead + "Content-Length: 0\r\n\r\n", definer.Service, false, false, nil},
		{"no attempt id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", definer.Service, false, false, nil},
		{"another's head", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.2\r\nContent-Length: 0\r\n\r\n", definer.Service, false, false, []int{logger.EventUpstreamMismatch}},
		{"another's token", stream + crossed, definer.Engine, true, false, []int{logger.EventUpstreamMismatch}},
		{"another's body", responseHead + "Content-Length: 56\r\n\r\n" + other, definer.Engine, false, false, []int{logger.EventUpstreamMismatch}},
		{"cut and gone", stream + firstChunk, definer.Engine, true, true, []int{logger.EventCancelFailed}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			var upstream *upstream
			upstream = serve(t, func(_ int64, conn net.Conn, request *http.Request) bool {
				if request.URL.Path == "/cancel" {
					return write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				}
				if test.gone {
					_ = upstream.listener.Close()
				}
				write(conn, test.answer)
				return false
			})
			kept := &events{}
			client := dispatcher.New(dispatcher.WithLog(kept.log))
			upstream.run(t, client, decider.StartAttempt{Kind: test.kind}, dispatcher.Exchange{Method: http.MethodPost, Streamed: test.streamed})
			client.Close()
			assert.DeepEqual(t, kept.numbers, test.logged)
		})
	}
}

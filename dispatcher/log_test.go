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

// events keeps the numbers of what is logged.
type events struct {
	mutex   sync.Mutex
	numbers []int
}

func (events *events) log(number int, _ ...any) {
	events.mutex.Lock()
	defer events.mutex.Unlock()
	events.numbers = append(events.numbers, number)
}

// TestLoggedFaults checks which faults of upstreams are logged. Engines that
// may run an attempt in vain are told to stop on a connection of their own.
func TestLoggedFaults(t *testing.T) {
	crossed := strings.ReplaceAll(one, "r.1", "r.2")
	const other = `{"attemptId":"r.2","choices":[{"finish_reason":"stop"}]}`
	stream := echo + "Content-Type: text/event-stream\r\n\r\n"
	cases := []struct {
		name, answer string
		kind         definer.PoolKind
		streamed     bool
		gone         bool
		logged       []int
	}{
		{"own", echo + "Content-Length: 0\r\n\r\n", definer.Service, false, false, nil},
		{"no attempt id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", definer.Service, false, false, nil},
		{"another's head", "HTTP/1.1 200 OK\r\nX-Attempt-Id: r.2\r\nContent-Length: 0\r\n\r\n", definer.Service, false, false, []int{logger.EventUpstreamMismatch}},
		{"another's token", stream + crossed, definer.Engine, true, false, []int{logger.EventUpstreamMismatch}},
		{"another's body", echo + "Content-Length: 56\r\n\r\n" + other, definer.Engine, false, false, []int{logger.EventUpstreamMismatch}},
		{"cut and gone", stream + one, definer.Engine, true, true, []int{logger.EventCancelFailed}},
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

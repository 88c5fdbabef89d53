package server_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat"
	"limpetcleat/rationer"
	"limpetcleat/server"
	"limpetcleat/standin/caller"
	"limpetcleat/standin/engine"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// shortLimits returns limits low enough for a test to exceed.
func shortLimits() []server.Option {
	return []server.Option{
		server.WithBodyLimits(4<<10, 200*time.Millisecond),
		server.WithHeaderLimits(8<<10, 200*time.Millisecond),
		server.WithMaxConnections(64),
	}
}

// errorBody is the body of an error response.
type errorBody struct {
	Error struct {
		Message, Type, Code, Param, Outcome string
	}
	Outcome string
}

func TestWrongRequests(t *testing.T) {
	system := start(t, setup{server: shortLimits()})
	const chats, texts, stock = "/v1/chat/completions", "/v1/completions", "/services/stock/x"
	cases := []struct {
		name, path, body, param string
		status                  int
		headers                 []string
	}{
		{name: "no JSON", path: chats, body: `{"model":`, status: 400},
		{name: "empty", path: chats, body: ``, status: 400},
		{name: "two values", path: chats, body: chat(prompt, false) + "{}", status: 400},
		{name: "a list", path: chats, body: `[]`, status: 400},
		{name: "deep", path: chats, body: strings.Repeat("[", 4000), status: 400},
		{name: "no model", path: chats, body: `{"messages":[{"role":"user"}]}`, status: 400, param: "model"},
		{name: "wrong model", path: chats, body: `{"model":1}`, status: 400, param: "model"},
		{name: "long model", path: chats, body: `{"model":"` + strings.Repeat("m", 300) + `"}`, status: 400, param: "model"},
		{name: "wrong stream", path: chats, body: `{"model":"m","stream":"yes"}`, status: 400, param: "stream"},
		{name: "wrong bound", path: chats, body: `{"model":"m","max_tokens":"many"}`, status: 400, param: "max_tokens"},
		{name: "fractional bound", path: chats, body: `{"model":"m","max_tokens":1.5}`, status: 400, param: "max_tokens"},
		{name: "no tokens", path: chats, body: `{"model":"m","max_tokens":0}`, status: 400, param: "max_tokens"},
		{name: "less than none", path: chats, body: `{"model":"m","max_completion_tokens":-1}`, status: 400, param: "max_completion_tokens"},
		{name: "two answers", path: chats, body: `{"model":"m","n":2}`, status: 400, param: "n"},
		{name: "no messages", path: chats, body: `{"model":"m"}`, status: 400, param: "messages"},
		{name: "empty messages", path: chats, body: `{"model":"m","messages":[]}`, status: 400, param: "messages"},
		{name: "wrong messages", path: chats, body: `{"model":"m","messages":"hello"}`, status: 400, param: "messages"},
		{name: "wrong message", path: chats, body: `{"model":"m","messages":["hello"]}`, status: 400, param: "messages"},
		{name: "wrong role", path: chats, body: `{"model":"m","messages":[{"role":7}]}`, status: 400, param: "messages.role"},
		{name: "no role", path: chats, body: `{"model":"m","messages":[{}]}`, status: 400, param: "messages.role"},
		{name: "no prompt", path: texts, body: `{"model":"m"}`, status: 400, param: "prompt"},
		{name: "wrong prompt", path: texts, body: `{"model":"m","prompt":{}}`, status: 400, param: "prompt"},
		{name: "too large", path: chats, body: strings.Repeat(" ", 5<<10), status: 413},
		{name: "too large for a service", path: stock, body: strings.Repeat(" ", 5<<10), status: 413},
		{name: "long key", path: stock, status: 400, headers: []string{"Idempotency-Key", strings.Repeat("k", 300)}},
		{name: "wrong deadline", path: stock, status: 400, headers: []string{"X-Request-Timeout-Ms", "soon"}},
		{name: "no such path", path: "/v2", status: 404},
		{name: "no rule", path: stock, status: 404},
		{name: "wrong method", path: "/v1/models", status: 405},
		{name: "no caller", path: chats, body: "{}", status: 401, headers: []string{"Authorization", ""}},
		{name: "wrong scheme", path: chats, body: "{}", status: 401, headers: []string{"Authorization", "Basic " + apiKey}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			system.t = t
			answer := system.do(system.request(test.path, test.body, test.headers...))
			assert.NilError(t, answer.Err)
			assert.Equal(t, answer.Status, test.status, answer.Body)
			var failure errorBody
			assert.NilError(t, json.Unmarshal([]byte(answer.Body), &failure), answer.Body)
			assert.Equal(t, failure.Error.Param, test.param, answer.Body)
			assert.Assert(t, strings.Contains(failure.Error.Message, test.param))
			assert.Assert(t, failure.Error.Message != "" && failure.Error.Code != "" && failure.Error.Type != "", answer.Body)
			assert.Equal(t, failure.Outcome, "notRun")
			assert.Equal(t, failure.Error.Outcome, "notRun")
			assert.Equal(t, answer.Header.Get("X-Outcome"), "notRun")
			assert.Equal(t, answer.Header.Get("Retry-After"), "")
			assert.Assert(t, answer.Header.Get("X-Request-Id") != "")
		})
	}
	assert.Equal(t, len(system.attempts()), 0)
}

// TestHostileConnections sends malformed, slow and truncated requests on raw connections. It checks
// the statuses of the responses, and that the node serves other callers afterwards.
func TestHostileConnections(t *testing.T) {
	system := start(t, setup{server: shortLimits()})
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + apiKey + "\r\n"
	cases := []struct {
		name, sent string
		// leaves makes the caller close the connection without reading a response.
		leaves bool
		// statuses are those of all responses on the connection.
		statuses []int
	}{
		{name: "header flood", sent: head + strings.Repeat("X-Flood: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n", 1000) + "\r\n", statuses: []int{431}},
		{name: "one long header", sent: head + "X-Flood: " + strings.Repeat("a", 64<<10) + "\r\n\r\n", statuses: []int{431}},
		{name: "slow header", sent: head, statuses: nil},
		{name: "slow body", sent: head + "Content-Length: 100\r\n\r\n{", statuses: []int{408}},
		{name: "slow chunks", sent: head + "Transfer-Encoding: chunked\r\n\r\n5\r\n{", statuses: []int{408}},
		{name: "wrong chunks", sent: head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", statuses: []int{400}},
		{name: "two lengths", sent: head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n{", statuses: []int{400}},
		{name: "length and chunks", sent: head + "Content-Length: -1\r\n\r\n", statuses: []int{400}},
		{name: "garbage", sent: "\x00\x01\x02\r\n\r\n", statuses: []int{400}},
		{name: "garbage behind a request", sent: "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n\x00garbage\r\n\r\n", statuses: []int{200, 400}},
		{name: "garbage behind a refusal", sent: head + "Content-Length: 2\r\n\r\n{}GARBAGE\r\n\r\n", statuses: []int{400, 400}},
		{name: "another protocol", sent: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", statuses: []int{405}},
		{name: "left in the header", sent: head, leaves: true},
		{name: "left in the body", sent: head + "Content-Length: 100\r\n\r\n{", leaves: true},
		{name: "left before the answer", sent: head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(chat(prompt, true)), chat(prompt, true)), leaves: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			system.t = t
			conn, err := net.Dial("tcp", system.callerAddresses[0])
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			go func() { _, _ = io.WriteString(conn, test.sent) }()
			if !test.leaves {
				assert.DeepEqual(t, readStatuses(conn), test.statuses)
			}
			_ = conn.Close()
			system.assertServes()
		})
	}
}

// readStatuses reads responses until the connection is closed and returns their statuses.
func readStatuses(conn net.Conn) []int {
	var statuses []int
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		statuses = append(statuses, response.StatusCode)
	}
}

func (system *system) assertServes() {
	system.t.Helper()
	answer := system.do(system.request("/v1/chat/completions", chat(prompt, false)))
	assert.NilError(system.t, answer.Err)
	assert.Equal(system.t, answer.Text, expected(prompt, 20), answer.Body)
}

// TestBodiesShareTheMemory guards against bodies that each stay below their limit and together exceed the memory: one
// that finds none is refused as not run.
func TestBodiesShareTheMemory(t *testing.T) {
	system := start(t, setup{server: append(shortLimits(), server.WithMemory(rationer.New(1<<10)))})
	reply := system.do(system.request("/services/stock/x", strings.Repeat("x", 2<<10)))
	assert.Equal(t, reply.Status, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(string(reply.Body), "noMemory"), "%s", reply.Body)
	system.assertServes()
}

func TestTooManyConnections(t *testing.T) {
	const maxConnections = 4
	system := start(t, setup{server: []server.Option{server.WithMaxConnections(maxConnections)}})
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	var open []net.Conn
	defer func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	}()
	for {
		conn, err := net.Dial("tcp", system.callerAddresses[0])
		assert.NilError(t, err)
		open = append(open, conn)
		_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		if response.StatusCode == http.StatusServiceUnavailable {
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(string(body), `"outcome":"notRun"`))
			assert.Equal(t, response.Header.Get("Retry-After"), "1")
			break
		}
		assert.Assert(t, len(open) <= maxConnections)
	}
	for _, conn := range open {
		_ = conn.Close()
	}
	for system.do(system.request("/v1/chat/completions", chat(prompt, false))).Status != http.StatusOK {
		continue
	}
}

// TestLeavingInMidStream checks that the work of callers who disconnect in the middle of a stream
// is cancelled, and that the next caller is served.
func TestLeavingInMidStream(t *testing.T) {
	system := start(t, setup{engine: []engine.Option{engine.WithResumeGrace(time.Hour)}})
	for range 5 {
		id := system.sendAndDisconnect(system.request("/v1/chat/completions", chat("zips #len=5000", true)), true)
		system.awaitRecord(id, func(record engine.Record) bool { return record.Cancelled })
	}
	system.assertServes()
}

// recordingLogger is a logger that keeps all events as text.
type recordingLogger struct {
	mutex sync.Mutex
	text  strings.Builder
}

func (recordingLogger *recordingLogger) EventAt(_ time.Time, number int, pairs ...any) {
	recordingLogger.Event(number, pairs...)
}

func (recordingLogger *recordingLogger) Event(number int, pairs ...any) {
	recordingLogger.mutex.Lock()
	defer recordingLogger.mutex.Unlock()
	_, _ = fmt.Fprintln(&recordingLogger.text, number, pairs)
}

func TestLogsHoldNoSecrets(t *testing.T) {
	logger := &recordingLogger{}
	system := start(t, setup{node: []limpetcleat.Option{limpetcleat.WithLogger(logger)}})
	const secretPrompt, secretKey = "secretprompt #len=9", "secretidempotency"
	send := func(path, body string) {
		system.do(system.request(path, body, "X-Repeat", "keyed", "Idempotency-Key", secretKey))
		system.do(system.request(path, body))
	}
	for _, faults := range []string{`{}`, `{"crossed":9}`, `{"failBefore":9}`, `{"cutAfterTokens":1,"cutCount":9}`} {
		system.injectFaults(faults, "")
		send("/v1/chat/completions", chat(secretPrompt, true))
		send("/v1/chat/completions", chat(secretPrompt, true)+"secretprompt")
	}
	logger.mutex.Lock()
	defer logger.mutex.Unlock()
	text := logger.text.String()
	assert.Assert(t, len(text) > 0)
	for _, secret := range []string{apiKey, "secretprompt", secretKey, expected(secretPrompt, 9), expected(secretPrompt, 1)} {
		assert.Assert(t, !strings.Contains(text, secret), text)
	}
}

func TestKeysBoundToAProcess(t *testing.T) {
	system := start(t, setup{nodes: 2, node: []limpetcleat.Option{limpetcleat.WithDrain(0, time.Minute)}})
	issued := system.do(system.request("/v1/keys", ""))
	assert.Equal(t, issued.Status, http.StatusCreated, issued.Body)
	var key struct{ Key string }
	assert.NilError(t, json.Unmarshal([]byte(issued.Body), &key))
	call := func(node int, body string) caller.Reply {
		request := system.request("/services/stock/reservations?x=1", body, "X-Repeat", "keyed", "Idempotency-Key", key.Key)
		request.URL.Host = system.callerAddresses[node]
		return system.do(request)
	}
	first := call(1, "{}")
	for first.Status == http.StatusServiceUnavailable {
		// The second node may not have discovered the first one yet.
		assert.Equal(t, first.Outcome, "unknown")
		first = call(1, "{}")
	}
	assert.Equal(t, first.Status, http.StatusOK, first.Body)
	assert.Equal(t, first.Outcome, "ran")
	for _, node := range []int{0, 1} {
		again := call(node, "{}")
		assert.Equal(t, again.Status, http.StatusOK, again.Body)
		assert.Equal(t, again.Body, first.Body)
		assert.Equal(t, again.Header.Get("Idempotency-Replayed"), "true")
		other := call(node, `{"other":1}`)
		assert.Equal(t, other.Status, http.StatusUnprocessableEntity, other.Body)
		assert.Equal(t, other.Outcome, "notRun")
	}
	assert.Equal(t, system.runs(first.Header.Get("X-Request-Id")), 1)

	// When the process that issued a key has ended, the outcome of a call with this key is unknown.
	system.nodes[0].Drain()
	<-system.nodes[0].Done()
	gone := call(1, "{}")
	assert.Equal(t, gone.Status, http.StatusServiceUnavailable, gone.Body)
	assert.Equal(t, gone.Outcome, "unknown")
}

func TestKeysAreOfferedInAnOutage(t *testing.T) {
	system := start(t, setup{})
	assert.NilError(t, controllerOf(system.platformAddress).SetFaults(context.Background(), json.RawMessage(`{"outage":true}`)))
	own := system.do(system.request("/services/stock/x", "{}", "X-Repeat", "keyed", "Idempotency-Key", "mine"))
	assert.Equal(t, own.Status, http.StatusServiceUnavailable, own.Body)
	assert.Equal(t, own.Outcome, "unknown")
	assert.Assert(t, own.Header.Get("Retry-After") != "")
	offer := own.Header.Get("Idempotency-Key-Offer")
	assert.Assert(t, offer != "")
	answer := system.do(system.request("/services/stock/x", "{}", "X-Repeat", "keyed", "Idempotency-Key", offer))
	assert.Equal(t, answer.Status, http.StatusOK, answer.Body)
	assert.Equal(t, system.runs(answer.Header.Get("X-Request-Id")), 1)
}

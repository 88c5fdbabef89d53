package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/registrar"
	"limpetcleat/router"
)

// copyingUpstream sends its latest answer a second time before the next one on the same connection, unless
// that is the connection's first. It refuses the first requests, and runs all others.
type copyingUpstream struct {
	address string
	// id is the only upstream that it answers as; empty answers as all.
	id string

	mutex sync.Mutex
	// refusals is how many requests are still refused as not run.
	refusals int
	// ran counts the requests that ran, by their ids.
	ran map[string]int
}

func startCopyingUpstream(t *testing.T, id string, refusals int) *copyingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	upstream := &copyingUpstream{address: listener.Addr().String(), id: id, refusals: refusals, ran: make(map[string]int)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go upstream.serve(conn)
		}
	}()
	return upstream
}

func (upstream *copyingUpstream) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	latest := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := upstream.answer(request, string(body))
		_, _ = io.WriteString(conn, latest+answer)
		latest = answer
	}
}

// answer returns the answer to a request, which is run unless it is refused.
func (upstream *copyingUpstream) answer(request *http.Request, body string) string {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	attempt := request.Header.Get(attemptHeader)
	head := attemptHeader + ": " + attempt + "\r\nKeep-Alive: timeout=30\r\n"
	switch {
	case upstream.id != "" && request.Header.Get("X-Expect-Runner") != upstream.id:
		return "HTTP/1.1 421 Misdirected Request\r\n" + head + "Content-Length: 0\r\n\r\n"
	case upstream.refusals > 0:
		upstream.refusals--
		return "HTTP/1.1 503 Service Unavailable\r\n" + head + "Server-Limit: 5\r\nServer-Leaving: 1\r\n" + notRunHeader + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	upstream.ran[attempt]++
	text := "answer to " + body
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: signed\r\nContent-Length: %d\r\n\r\n%s", head, signatureHeader, len(text), text)
}

// runs returns how often a request ran.
func (upstream *copyingUpstream) runs(attempt string) int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.ran[attempt]
}

// list lists the upstream under its address, once for each name.
func (upstream *copyingUpstream) list(harness *harness, count int) {
	for index := range count {
		harness.add(index, upstream.address)
	}
}

// checkServed checks that the call is answered with its own answer and ran once.
func (upstream *copyingUpstream) checkServed(t *testing.T, harness *harness, body string, before int) {
	t.Helper()
	got, text, err := harness.call("/once/", body, nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, text, "answer to "+body)
	assert.Equal(t, upstream.runs("a1")-before, 1)
}

// TestCopiesOfAnswersAreNotTakenForLaterSends checks that a copy of the answer to one send is not taken for the answer
// to a later send with the same id: requests were refused as not run, and ran.
func TestCopiesOfAnswersAreNotTakenForLaterSends(t *testing.T) {
	t.Run("two names of one address", func(t *testing.T) {
		harness := newHarness(t)
		upstream := startCopyingUpstream(t, "u1", 0)
		upstream.list(harness, 2)
		upstream.checkServed(t, harness, "body", 0)
	})
	t.Run("a refused request that its caller repeats", func(t *testing.T) {
		harness := newHarness(t)
		upstream := startCopyingUpstream(t, "", 1)
		upstream.list(harness, 1)
		refused, _, err := harness.call("/once/", "body", nil)
		assert.NilError(t, err)
		assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, upstream.runs("a1"), 0)
		upstream.checkServed(t, harness, "body", 0)
	})
	t.Run("two requests with one id", func(t *testing.T) {
		harness := newHarness(t)
		upstream := startCopyingUpstream(t, "", 0)
		upstream.list(harness, 1)
		upstream.checkServed(t, harness, "first", 0)
		upstream.checkServed(t, harness, "second", 1)
	})
	t.Run("a further upstream after two names of one address", func(t *testing.T) {
		harness := newHarness(t)
		harness.configure(func(definition *router.Definition) { definition.Rules[0].MaxAttempts = 3 })
		upstream := startCopyingUpstream(t, "u1", 0)
		upstream.list(harness, 2)
		other := startCopyingUpstream(t, "", 0)
		harness.upstreams = append(harness.upstreams, &registrar.Upstream{ID: "u2", Service: "pool", Address: other.address, DataCentre: "north", Slots: 64})
		_, _, err := harness.call("/once/", "body", nil)
		assert.NilError(t, err)
		assert.Equal(t, upstream.runs("a1")+other.runs("a1"), 1)
	})
}

// TestSkippedAnswersChangeNothing checks that what the copy of an answer announces is not applied a second time, and that
// the copy counts as no sign of life: it tells of the time of its original.
func TestSkippedAnswersChangeNothing(t *testing.T) {
	harness := newHarness(t)
	upstream := startCopyingUpstream(t, "", 1)
	upstream.list(harness, 1)
	_, _, err := harness.call("/once/", "body", nil)
	assert.NilError(t, err)
	announced := harness.heard
	assert.Equal(t, len(announced), 1)
	served, _, err := harness.call("/once/", "body", func(request *http.Request) { request.Header.Set(attemptHeader, "a2") })
	assert.NilError(t, err)
	assert.Equal(t, served.StatusCode, http.StatusOK)
	assert.DeepEqual(t, harness.heard, append(announced, "u0 none"))
	assert.DeepEqual(t, harness.evidence, []string{"u0 alive", "u0 alive"})
	assert.Equal(t, harness.records[1].Skipped, 1)
}

// TestFailedSendsNameTheirConnection checks that what tells the ways to a wrong refusal apart stands early in the
// line: the lines of records are cut.
func TestFailedSendsNameTheirConnection(t *testing.T) {
	const cutAt = 200
	harness := newHarness(t)
	upstream := startCopyingUpstream(t, "", 1)
	upstream.list(harness, 1)
	_, _, err := harness.call("/once/", "body", nil)
	assert.NilError(t, err)
	<-harness.finished
	for line := range strings.Lines(harness.lines.String()) {
		if strings.Contains(line, "eventName=sendFailed") {
			line = line[:min(len(line), cutAt)]
			assert.Assert(t, strings.Contains(line, "outcome=notRun"), line)
			assert.Assert(t, strings.Contains(line, "connection=1.1 "), line)
			return
		}
	}
	t.Fatal("the refused send is not logged")
}

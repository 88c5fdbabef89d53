package forwarder_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/standin/copier"
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

func startCopyingUpstream(t *testing.T, id string, refusals int, withoutID bool) *copyingUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	upstream := &copyingUpstream{address: listener.Addr().String(), id: id, refusals: refusals, ran: make(map[string]int)}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	served := copier.New(upstream, func(*http.Response) []copier.Copy {
		return []copier.Copy{{Moment: copier.BeforeNext, WithoutID: withoutID}}
	})
	go func() { done <- served.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return upstream
}

// ServeHTTP answers a request, which is run unless it is refused.
func (upstream *copyingUpstream) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	header, attempt := writer.Header(), request.Header.Get(attemptHeader)
	header.Set(attemptHeader, attempt)
	header.Set("Keep-Alive", "timeout=30")
	switch {
	case upstream.id != "" && request.Header.Get("X-Expect-Runner") != upstream.id:
		writer.WriteHeader(http.StatusMisdirectedRequest)
	case upstream.refusals > 0:
		upstream.refusals--
		header.Set("Server-Limit", "5")
		header.Set("Server-Leaving", "1")
		header.Set(notRunHeader, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		upstream.ran[attempt]++
		header.Set(signatureHeader, "signed")
		_, _ = io.WriteString(writer, "answer to ")
		_, _ = io.Copy(writer, request.Body) // Neither a recorder nor the body fails.
	}
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
		upstream := startCopyingUpstream(t, "u1", 0, false)
		upstream.list(harness, 2)
		upstream.checkServed(t, harness, "body", 0)
	})
	t.Run("a refused request that its caller repeats", func(t *testing.T) {
		harness := newHarness(t)
		upstream := startCopyingUpstream(t, "", 1, false)
		upstream.list(harness, 1)
		refused, _, err := harness.call("/once/", "body", nil)
		assert.NilError(t, err)
		assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, upstream.runs("a1"), 0)
		upstream.checkServed(t, harness, "body", 0)
	})
	t.Run("two requests with one id", func(t *testing.T) {
		harness := newHarness(t)
		upstream := startCopyingUpstream(t, "", 0, false)
		upstream.list(harness, 1)
		upstream.checkServed(t, harness, "first", 0)
		upstream.checkServed(t, harness, "second", 1)
	})
	t.Run("a further upstream after two names of one address", func(t *testing.T) {
		harness := newHarness(t)
		harness.configure(func(definition *router.Definition) { definition.Rules[0].MaxAttempts = 3 })
		upstream := startCopyingUpstream(t, "u1", 0, false)
		upstream.list(harness, 2)
		other := startCopyingUpstream(t, "", 0, false)
		harness.upstreams = append(harness.upstreams, &registrar.Upstream{ID: "u2", Service: "pool", Address: other.address, DataCentre: "north", Slots: 64})
		_, _, err := harness.call("/once/", "body", nil)
		assert.NilError(t, err)
		assert.Equal(t, upstream.runs("a1")+other.runs("a1"), 1)
	})
}

// TestRefusalsWithoutIDAreNotBelievedBehindOthers guards against requests that run and are answered 503, with a copy of the
// refusal of an earlier request that lacks its id.
func TestRefusalsWithoutIDAreNotBelievedBehindOthers(t *testing.T) {
	harness := newHarness(t)
	upstream := startCopyingUpstream(t, "", 1, true)
	upstream.list(harness, 1)
	refused, _, err := harness.call("/once/", "body", nil)
	assert.NilError(t, err)
	assert.Equal(t, refused.StatusCode, http.StatusServiceUnavailable)
	announced := harness.heard
	second, _, err := harness.call("/once/", "body", func(request *http.Request) { request.Header.Set(attemptHeader, "a2") })
	assert.NilError(t, err)
	assert.Equal(t, second.StatusCode, http.StatusBadGateway)
	assert.Equal(t, upstream.runs("a2"), 1)
	assert.DeepEqual(t, harness.heard, announced)
}

// TestSkippedAnswersChangeNothing checks that what the copy of an answer announces is not applied a second time, and that
// the copy counts as no sign of life: it tells of the time of its original.
func TestSkippedAnswersChangeNothing(t *testing.T) {
	harness := newHarness(t)
	upstream := startCopyingUpstream(t, "", 1, false)
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
	upstream := startCopyingUpstream(t, "", 1, false)
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

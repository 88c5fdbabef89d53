package forwarder_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/announcer"
	"limpetcleat/budgeter"
	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/dialer"
	"limpetcleat/forwarder"
	"limpetcleat/gatekeeper"
	"limpetcleat/issuer"
	"limpetcleat/logger"
	"limpetcleat/platform"
	"limpetcleat/registrar"
	"limpetcleat/router"
	"limpetcleat/selector"
	"limpetcleat/throttler"
)

const (
	attemptHeader   = "X-Attempt-Id"
	signatureHeader = "X-Response-Seal"
	notRunHeader    = "X-Not-Executed"
)

// harness runs a forwarder in front of scripted upstreams. It is also the forwarder's
// Configuration, Directory, Permits and Announcements.
type harness struct {
	t         *testing.T
	table     *router.Table
	confirmed time.Time
	healthy   bool
	upstreams []*registrar.Upstream
	address   string
	forwarder *forwarder.Forwarder
	links     *connector.Connector
	draw      func() float64
	selector  *selector.Selector
	// take decides on permits; nil grants all of them.
	take func(need throttler.PermitRequest) throttler.Permit
	// beforeDial is called before a connection to an upstream is opened; it may be nil.
	beforeDial func(address string)

	mutex sync.Mutex
	// heard holds the announcements of upstreams in order.
	heard []string
	// rejectionLimit is that of all services; returned holds the outcomes of returned permits.
	rejectionLimit announcer.RejectionLimit
	returned       []issuer.Outcome
	// requests holds the requests that the upstreams received in order, bodies their bodies.
	requests []*http.Request
	bodies   []string
	records  []forwarder.Record
	// evidence holds what was recorded of the upstreams, in order.
	evidence []string
	// denial is the error for each connection of a service that limits them, and opens what was asked for.
	denial *gatekeeper.Denial
	// gate decides on connections of such a service instead; it may be nil.
	gate  *gatekeeper.Gatekeeper
	opens []throttler.PermitRequest
	// begun holds the organisation of each request that was reported as begun.
	begun []definer.OrganisationName
	// lines is the log; finished receives a value after the first event requestFinished is
	// written to it.
	lines    logBuffer
	finished chan struct{}
}

func (harness *harness) Table() *router.Table { return harness.table }
func (harness *harness) Confirmed() time.Time { return harness.confirmed }
func (harness *harness) Healthy() bool        { return harness.healthy }
func (harness *harness) Loaded() bool         { return true }
func (harness *harness) Upstreams(definer.PoolName) []*registrar.Upstream {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	return harness.upstreams
}

// Adopt records a request without a permit.
func (harness *harness) Adopt(throttler.PermitRequest) *throttler.Holding { return nil }

// Return records a returned permit.
func (harness *harness) Return(_ *throttler.Holding, outcome issuer.Outcome) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.returned = append(harness.returned, outcome)
}

// RecordRejectionLimit records the limit of a service.
func (harness *harness) RecordRejectionLimit(_ time.Time, _ definer.PoolName, _ time.Time, limit definer.RateLimit) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.rejectionLimit.Limit = limit
}

// RejectionLimit returns the limit that was recorded last.
func (harness *harness) RejectionLimit(time.Time, definer.PoolName) (announcer.RejectionLimit, bool) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	return harness.rejectionLimit, true
}

// Open denies a connection, unless there is a gate.
func (harness *harness) Open(ctx context.Context, need throttler.PermitRequest) (*gatekeeper.Pass, error) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.opens = append(harness.opens, need)
	if harness.gate != nil {
		return harness.gate.Open(ctx, need)
	}
	return nil, harness.denial
}

// Acquire decides on a permit.
func (harness *harness) Acquire(_ context.Context, need throttler.PermitRequest) throttler.Permit {
	if harness.take == nil {
		return throttler.Permit{Granted: true}
	}
	return harness.take(need)
}

// Record records an announcement and makes requests to the upstream need permits if it has a
// limit.
func (harness *harness) Record(now time.Time, start definer.UpstreamStart, _ time.Time, announcement announcer.Announcement) {
	_, limited := announcement.Limit.PerSecond()
	harness.selector.SetLimited(now, start, limited)
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	harness.heard = append(harness.heard, string(start.Upstream)+" "+announcement.Limit.String())
}

func (harness *harness) configure(change func(definition *router.Definition)) {
	definition := router.Definition{
		Version: 1,
		Rules: []router.Rule{
			rule("once", func(*router.Rule) {}),
			rule("safe", func(rule *router.Rule) { rule.Repetition, rule.MaxAttempts = router.Idempotent, 2 }),
			rule("stream", func(rule *router.Rule) { rule.Streamed = true }),
			rule("resume", func(rule *router.Rule) {
				rule.Streamed, rule.Resumable, rule.MaxAttempts = true, true, 2
				rule.GapObjective = 100 * time.Millisecond
			}),
		},
		Services:      []router.Service{{Name: "pool", Engine: true}},
		Organisations: []router.Organisation{{Name: "guild", Keys: []string{"key"}, Tier: 3, HasTier: true}},
		Limits:        router.Limits{MaxBodyBytes: 100},
	}
	change(&definition)
	table, err := router.New(definition)
	assert.NilError(harness.t, err)
	harness.table = table
}

func rule(name string, change func(rule *router.Rule)) router.Rule {
	rule := router.Rule{
		Name: name, Host: "h.example", PathPrefix: "/" + name + "/", MaxAttempts: 1,
		Targets: []router.Target{{Service: "pool", Weight: 1}}, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
	}
	change(&rule)
	return rule
}

// newHarness starts a forwarder with one upstream for each handler, which are tried in order.
func newHarness(t *testing.T, handlers ...http.HandlerFunc) *harness {
	t.Helper()
	harness := &harness{t: t, confirmed: time.Now(), healthy: true, draw: func() float64 { return 0 }, finished: make(chan struct{}, 1)}
	harness.configure(func(*router.Definition) {})
	for index, handler := range handlers {
		server := httptest.NewServer(harness.recording(handler))
		t.Cleanup(server.Close)
		harness.add(index, server.Listener.Addr().String())
	}
	dial := dialer.New(time.Second)
	links := connector.New(connector.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		if harness.beforeDial != nil {
			harness.beforeDial(address)
		}
		return dial.DialContext(ctx, "tcp", address)
	}))
	lines := logger.New(&harness.lines)
	budget := budgeter.New(budgeter.Policy{Slack: 10, Nodes: func() int { return 1 }, Window: 10 * time.Second}, time.Now())
	harness.selector = selector.New("west")
	front := forwarder.New(platform.Protocol{}, harness, harness, harness.selector, budget, links,
		forwarder.WithLimits(harness, harness),
		forwarder.WithConnections(harness),
		forwarder.WithEvidence(evidenceOf{harness}),
		forwarder.WithConfirmationLifetime(time.Minute),
		forwarder.WithRandom(func() float64 { return harness.draw() }),
		forwarder.WithLog(func(number int, pairs ...any) {
			lines.Event(number, pairs...)
			if number != logger.EventRequestFinished {
				return
			}
			select {
			case harness.finished <- struct{}{}:
			default: // Few tests wait for it.
			}
		}),
		forwarder.WithRequestBegun(func(organisation definer.OrganisationName) {
			harness.mutex.Lock()
			defer harness.mutex.Unlock()
			harness.begun = append(harness.begun, organisation)
		}),
		forwarder.WithRecord(func(record forwarder.Record) {
			harness.mutex.Lock()
			defer harness.mutex.Unlock()
			harness.records = append(harness.records, record)
		}))
	harness.forwarder, harness.links = front, links
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log:\n%s", harness.lines.String())
		}
	})
	server := httptest.NewServer(front)
	harness.address = server.Listener.Addr().String()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		links.Close()
	})
	return harness
}

// logBuffer keeps a log. Requests whose connection was aborted may be logged after their server was closed.
type logBuffer struct {
	mutex  sync.Mutex
	buffer bytes.Buffer
}

// Write appends to the log.
func (logBuffer *logBuffer) Write(data []byte) (int, error) {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.buffer.Write(data)
}

// String returns the log.
func (logBuffer *logBuffer) String() string {
	logBuffer.mutex.Lock()
	defer logBuffer.mutex.Unlock()
	return logBuffer.buffer.String()
}

// setDraw sets the forwarder's source of random numbers between 0 and 1.
func (harness *harness) setDraw(draw func() float64) { harness.draw = draw }

// add lists an upstream. The first one is preferred, as all others are in another data
// centre.
func (harness *harness) add(index int, address string) {
	place := definer.DataCentre("west")
	if index > 0 {
		place = "east"
	}
	id := definer.UpstreamName("u" + string(rune('0'+index)))
	harness.upstreams = append(harness.upstreams, &registrar.Upstream{ID: id, Service: "pool", Address: address, DataCentre: place, Slots: 64})
}

func (harness *harness) recording(handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		harness.mutex.Lock()
		harness.requests = append(harness.requests, request)
		harness.bodies = append(harness.bodies, string(body))
		harness.mutex.Unlock()
		writer.Header().Set(attemptHeader, request.Header.Get(attemptHeader))
		handler(writer, request)
	}
}

func (harness *harness) sends() int {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	return len(harness.requests)
}

// call sends a request and returns the answer with as much of its body as could be read.
func (harness *harness) call(path, body string, change func(request *http.Request)) (*http.Response, string, error) {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(harness.t.Context(), method, "http://"+harness.address+path, strings.NewReader(body))
	assert.NilError(harness.t, err)
	request.Host = "h.example"
	request.Header.Set(attemptHeader, "a1")
	request.Header.Set("Authorization", "Bearer key")
	if change != nil {
		change(request)
	}
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer, string(text), err
}

func unchanged(*http.Request) {}

// answer returns a handler that answers with the status, a signature and the text.
func answer(status int, text string) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(signatureHeader, "signed")
		writer.WriteHeader(status)
		_, _ = io.WriteString(writer, text)
	}
}

// full refuses the request and states that it did not run.
func full(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(notRunHeader, "1")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// cut closes the connection without an answer.
func cut(writer http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// silent does not answer until the caller disconnects.
func silent(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }

// events returns a handler that streams the texts, and then ends the stream or breaks the
// connection.
func events(breakOff bool, texts ...string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(signatureHeader, "signed")
		writer.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(writer)
		for _, text := range texts {
			_, _ = io.WriteString(writer, text)
			_ = control.Flush()
		}
		if breakOff {
			cut(writer, request)
		}
	}
}

// closedAddress returns an address that nobody listens on. Its port stays bound until the end of
// the test, so that no other process is given it; the test may listen on it.
func closedAddress(t *testing.T) string {
	t.Helper()
	bound, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, syscall.Close(bound)) })
	assert.NilError(t, syscall.SetsockoptInt(bound, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	assert.NilError(t, syscall.Bind(bound, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	address, err := syscall.Getsockname(bound)
	assert.NilError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", address.(*syscall.SockaddrInet4).Port)
}

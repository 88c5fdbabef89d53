package forwarder_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/router"
	"limpetcleat/throttler"
)

// withHeader returns a handler that sets a header and then calls another handler.
func withHeader(name, value string, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(name, value)
		handler(writer, request)
	}
}

// misdirected answers as another upstream that has taken over the address.
func misdirected(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(notRunHeader, "1")
	writer.WriteHeader(http.StatusMisdirectedRequest)
}

// TestWhatUpstreamsSayIsHeard checks which answers count as announcements of their upstream.
func TestWhatUpstreamsSayIsHeard(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		handler http.HandlerFunc
		heard   []string
	}{
		{"an answer", "/once/x", withHeader("Server-Limit", "2.5", answer(200, "a")), []string{"u0 2.5"}},
		{"an answer without a limit", "/once/x", answer(200, "a"), []string{"u0 none"}},
		{"a stream's head", "/stream/x", withHeader("Server-Limit", "2.5", events(false, "id: 1\ndata: a\n\n")), []string{"u0 2.5"}},
		{"a failure of its own", "/once/x", withHeader("Server-Limit", "2.5", answer(500, "a")), []string{"u0 2.5"}},
		{"a refusal", "/once/x", withHeader("Server-Limit", "2.5", full), []string{"u0 2.5"}},
		{"a refusal without a limit", "/once/x", full, nil},
		{"another upstream at the address", "/once/x", withHeader("Server-Limit", "2.5", misdirected), nil},
		{"what cannot be read", "/once/x", withHeader("Server-Limit", "few", answer(200, "a")), []string{"u0 none"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, test.handler)
			_, _, err := harness.call(test.path, "", nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, harness.heard, test.heard)
		})
	}
}

// newLimitedHarness returns a harness whose upstreams are known to have rate limits.
func newLimitedHarness(t *testing.T, take func(need throttler.PermitRequest) throttler.Permit, handlers ...http.HandlerFunc) *harness {
	t.Helper()
	harness := newHarness(t, handlers...)
	harness.take = take
	harness.limitAll()
	return harness
}

// limitAll makes the requests to all upstreams need permits.
func (harness *harness) limitAll() {
	for _, upstream := range harness.upstreams {
		harness.selector.SetLimited(time.Now(), upstream.Start(), true)
	}
}

// TestRequestsGoWhereAPermitIs checks that a request that gets no permit for one upstream goes
// to the next, and that no permit for the first is asked for again before the time given.
func TestRequestsGoWhereAPermitIs(t *testing.T) {
	asked := make(map[definer.UpstreamName]int)
	take := func(need throttler.PermitRequest) throttler.Permit {
		asked[need.Start.Upstream]++
		if need.Start.Upstream == "u0" {
			return throttler.Permit{RetryAfter: time.Hour}
		}
		return throttler.Permit{Granted: true}
	}
	harness := newLimitedHarness(t, take, answer(200, "first"), withHeader("Server-Limit", "9", answer(200, "second")))
	for range 5 {
		got, text, err := harness.call("/once/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusOK)
		assert.Equal(t, text, "second")
	}
	assert.Equal(t, asked["u0"], 1)
	assert.Equal(t, asked["u1"], 5)
}

// TestUsedUpLimitsAreRefusedAtOnce checks that a request for which no permit is expected in time
// is refused as not run, with a Retry-After, and that no upstream's permit is asked
// for twice.
func TestUsedUpLimitsAreRefusedAtOnce(t *testing.T) {
	asks := 0
	take := func(throttler.PermitRequest) throttler.Permit {
		asks++
		return throttler.Permit{RetryAfter: 900 * time.Millisecond}
	}
	harness := newLimitedHarness(t, take, answer(200, "first"), answer(200, "second"))
	for range 3 {
		got, _, err := harness.call("/safe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		// Callers wait a third of their time limit at most.
		assert.Assert(t, seconds >= 0.4 && seconds <= 0.67, "%v", seconds)
	}
	assert.Equal(t, asks, 2)
	assert.Equal(t, harness.sends(), 0)
	assert.Equal(t, harness.records[0].Reason, forwarder.Limited)
	assert.Assert(t, !harness.records[0].MayHaveRun)
}

// TestCallersAreNeverToldToComeAtOnce guards against a Retry-After of 0, which a request got that
// had already missed its objective while another request tried an upstream after its backoff.
func TestCallersAreNeverToldToComeAtOnce(t *testing.T) {
	refuse := withHeader("Retry-After", "0.001", full)
	var asked atomic.Int32
	trialBegun, trialEnds := make(chan struct{}), make(chan struct{})
	trying := func(writer http.ResponseWriter, request *http.Request) {
		switch asked.Add(1) {
		case 1:
			refuse(writer, request)
			return
		case 2:
			close(trialBegun)
			<-trialEnds
		}
		answer(200, "taken")(writer, request)
	}
	// The objective of 100 ms has passed when this handler refuses a request.
	slow := func(writer http.ResponseWriter, request *http.Request) {
		<-time.After(150 * time.Millisecond)
		refuse(writer, request)
	}
	harness := newHarness(t, trying, slow)
	harness.configure(func(definition *router.Definition) {
		definition.Rules[0].Timeout = time.Hour // The trial lasts until the other request has ended.
	})
	_, _, err := harness.call("/safe/x", "", nil)
	assert.NilError(t, err)
	var trial conc.WaitGroup
	trial.Go(func() {
		// This request may not be repeated, so it waits for as long as its upstream takes.
		_, text, err := harness.call("/once/x", "", nil)
		assert.Check(t, err == nil && text == "taken", "%v %s", err, text)
	})
	<-trialBegun
	got, _, err := harness.call("/safe/x", "", nil)
	close(trialEnds)
	trial.Wait()
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 0.05, "%v", seconds)
}

// TestRequestsWaitForAPermitThatIsNear checks that a request waits for a permit while it can
// still be served in time, and for how long.
func TestRequestsWaitForAPermitThatIsNear(t *testing.T) {
	var patience []time.Duration
	take := func(need throttler.PermitRequest) throttler.Permit {
		patience = append(patience, need.Patience)
		if need.Patience == 0 {
			return throttler.Permit{RetryAfter: 20 * time.Millisecond}
		}
		return throttler.Permit{Granted: true}
	}
	harness := newLimitedHarness(t, take, answer(200, "a"))
	got, _, err := harness.call("/once/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, len(patience), 2)
	// The objective is 100 ms.
	assert.Assert(t, patience[1] > 0 && patience[1] <= 50*time.Millisecond, "%v", patience)
}

// TestEachSendNeedsAPermit checks that retries and resumptions need a permit like first sends.
func TestEachSendNeedsAPermit(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resume/x"} {
		asks := 0
		take := func(throttler.PermitRequest) throttler.Permit {
			asks++
			return throttler.Permit{Granted: true}
		}
		cutOnce := func(writer http.ResponseWriter, request *http.Request) {
			if path == "/resume/x" {
				events(true, "id: 1\ndata: a\n\n")(writer, request)
				return
			}
			cut(writer, request)
		}
		whole := func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(signatureHeader, "signed")
			_, _ = io.WriteString(writer, "id: 2\ndata: b\n\n")
		}
		harness := newLimitedHarness(t, take, cutOnce, whole)
		got, _, err := harness.call(path, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusOK)
		assert.Equal(t, harness.sends(), 2, path)
		assert.Equal(t, asks, 2, path)
	}
}

// TestRetryAfterIsKeptAndToldToCallers checks that an upstream which asks for a backoff is sent
// one request only, and that this and later callers get a Retry-After.
func TestRetryAfterIsKeptAndToldToCallers(t *testing.T) {
	turnsAway := withHeader("Retry-After", "1.5", full)
	harness := newHarness(t, turnsAway, turnsAway)
	for range 4 {
		got, _, err := harness.call("/safe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds <= 0.67, "%v", seconds)
	}
	assert.Equal(t, harness.sends(), 2)
	assert.Equal(t, harness.records[3].Reason, forwarder.BackingOff)
	assert.Assert(t, !harness.records[3].MayHaveRun)
}

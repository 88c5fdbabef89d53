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
	"limpetcleat/throttler"
)

// saying returns a handler that answers with a header beside what another one does.
func saying(name, value string, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(name, value)
		handler(writer, request)
	}
}

// misdirected answers as another upstream that has the address by now.
func misdirected(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set(notRun, "1")
	writer.WriteHeader(http.StatusMisdirectedRequest)
}

// TestWhatUpstreamsSayIsHeard holds whose words count for whom.
func TestWhatUpstreamsSayIsHeard(t *testing.T) {
	cases := []struct {
		name    string
		path    string
		handler http.HandlerFunc
		heard   []string
	}{
		{"an answer", "/once/x", saying("Server-Limit", "2.5", answer(200, "a")), []string{"u0 2.5"}},
		{"an answer without a limit", "/once/x", answer(200, "a"), []string{"u0 none"}},
		{"a stream's head", "/stream/x", saying("Server-Limit", "2.5", events(false, "id: 1\ndata: a\n\n")), []string{"u0 2.5"}},
		{"a failure of its own", "/once/x", saying("Server-Limit", "2.5", answer(500, "a")), []string{"u0 2.5"}},
		{"a refusal", "/once/x", saying("Server-Limit", "2.5", full), []string{"u0 2.5"}},
		{"a refusal without a limit", "/once/x", full, nil},
		{"another upstream at the address", "/once/x", saying("Server-Limit", "2.5", misdirected), nil},
		{"what cannot be read", "/once/x", saying("Server-Limit", "few", answer(200, "a")), []string{"u0 none"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newWorld(t, test.handler)
			_, _, err := world.call(test.path, "", nil)
			assert.NilError(t, err)
			assert.DeepEqual(t, world.heard, test.heard)
		})
	}
}

// limitedWorld returns a world whose upstreams are known to have limits.
func limitedWorld(t *testing.T, take func(need throttler.Need) throttler.Permit, handlers ...http.HandlerFunc) *world {
	t.Helper()
	world := newWorld(t, handlers...)
	world.take = take
	for _, upstream := range world.upstreams {
		world.selector.Limit(time.Now(), upstream.Start(), true)
	}
	return world
}

// TestRequestsGoWhereAPermitIs holds that one without a permit at one upstream goes to the
// next, and that the first is then not asked for before the time.
func TestRequestsGoWhereAPermitIs(t *testing.T) {
	asked := make(map[definer.UpstreamName]int)
	take := func(need throttler.Need) throttler.Permit {
		asked[need.Start.Upstream]++
		if need.Start.Upstream == "u0" {
			return throttler.Permit{After: time.Hour}
		}
		return throttler.Permit{Granted: true}
	}
	world := limitedWorld(t, take, answer(200, "first"), saying("Server-Limit", "9", answer(200, "second")))
	for range 5 {
		got, text, err := world.call("/once/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusOK)
		assert.Equal(t, text, "second")
	}
	assert.Equal(t, asked["u0"], 1)
	assert.Equal(t, asked["u1"], 5)
}

// TestUsedUpLimitsAreRefusedAtOnce holds that a request which no permit is in sight for is
// refused as not run, with the time to come again, and asks nobody twice.
func TestUsedUpLimitsAreRefusedAtOnce(t *testing.T) {
	asks := 0
	take := func(throttler.Need) throttler.Permit {
		asks++
		return throttler.Permit{After: 900 * time.Millisecond}
	}
	world := limitedWorld(t, take, answer(200, "first"), answer(200, "second"))
	for range 3 {
		got, _, err := world.call("/safe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		// Callers honour a third of their time at most.
		assert.Assert(t, seconds >= 0.4 && seconds <= 0.67, "%v", seconds)
	}
	assert.Equal(t, asks, 2)
	assert.Equal(t, world.sends(), 0)
	assert.Equal(t, world.records[0].Reason, forwarder.Limited)
	assert.Assert(t, !world.records[0].MayHaveRun)
}

// TestCallersAreNeverToldToComeAtOnce guards against a Retry-After of 0: a request that is late
// already was told so while another one tried an upstream behind its backoff.
func TestCallersAreNeverToldToComeAtOnce(t *testing.T) {
	refuse := saying("Retry-After", "0.001", full)
	var asked atomic.Int32
	trying := func(writer http.ResponseWriter, request *http.Request) {
		if asked.Add(1) == 1 {
			refuse(writer, request)
			return
		}
		<-time.After(600 * time.Millisecond)
		answer(200, "taken")(writer, request)
	}
	// The objective of 100 ms is over when this one turns a request away.
	slow := func(writer http.ResponseWriter, request *http.Request) {
		<-time.After(150 * time.Millisecond)
		refuse(writer, request)
	}
	world := newWorld(t, trying, slow)
	_, _, err := world.call("/safe/x", "", nil)
	assert.NilError(t, err)
	var trial conc.WaitGroup
	trial.Go(func() {
		// It may not be repeated, and so waits for as long as its upstream takes.
		_, text, err := world.call("/once/x", "", nil)
		assert.Check(t, err == nil && text == "taken", "%v %s", err, text)
	})
	<-time.After(100 * time.Millisecond)
	got, _, err := world.call("/safe/x", "", nil)
	trial.Wait()
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, seconds >= 0.05, "%v", seconds)
}

// TestRequestsWaitForAPermitThatIsNear holds that one waits while it can still be served in
// time, and what is asked for then.
func TestRequestsWaitForAPermitThatIsNear(t *testing.T) {
	var patience []time.Duration
	take := func(need throttler.Need) throttler.Permit {
		patience = append(patience, need.Patience)
		if need.Patience == 0 {
			return throttler.Permit{After: 20 * time.Millisecond}
		}
		return throttler.Permit{Granted: true}
	}
	world := limitedWorld(t, take, answer(200, "a"))
	got, _, err := world.call("/once/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, len(patience), 2)
	// The objective is 100 ms.
	assert.Assert(t, patience[1] > 0 && patience[1] <= 50*time.Millisecond, "%v", patience)
}

// TestEachSendNeedsAPermit holds that a repeat and a resumption count like any other.
func TestEachSendNeedsAPermit(t *testing.T) {
	for _, path := range []string{"/safe/x", "/resume/x"} {
		asks := 0
		take := func(throttler.Need) throttler.Permit {
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
			writer.Header().Set(seal, "signed")
			_, _ = io.WriteString(writer, "id: 2\ndata: b\n\n")
		}
		world := limitedWorld(t, take, cutOnce, whole)
		got, _, err := world.call(path, "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusOK)
		assert.Equal(t, world.sends(), 2, path)
		assert.Equal(t, asks, 2, path)
	}
}

// TestRetryAfterIsKeptAndToldToCallers holds that upstreams which ask for a backoff are asked once each,
// and that callers are told when it is over, also in the requests behind.
func TestRetryAfterIsKeptAndToldToCallers(t *testing.T) {
	turnsAway := saying("Retry-After", "1.5", full)
	world := newWorld(t, turnsAway, turnsAway)
	for range 4 {
		got, _, err := world.call("/safe/x", "", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		seconds, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds <= 0.67, "%v", seconds)
	}
	assert.Equal(t, world.sends(), 2)
	assert.Equal(t, world.records[3].Reason, forwarder.BackingOff)
	assert.Assert(t, !world.records[3].MayHaveRun)
}

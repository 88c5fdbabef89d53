package forwarder_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/forwarder"
	"limpetcleat/registrar"
)

// endingUpstream starts an upstream that handles one request by the handler, then stops
// listening for good and breaks the connection. It returns the upstream's address.
func endingUpstream(t *testing.T, writes http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", closedAddress(t))
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(attemptHeader, request.Header.Get(attemptHeader))
		writes(writer, request)
		assert.Check(t, listener.Close())
		cut(writer, request)
	}))
	assert.NilError(t, server.Listener.Close())
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return listener.Addr().String()
}

func writeNothing(http.ResponseWriter, *http.Request) {}

// addEndingUpstreams adds upstreams that end at their first request, which are chosen before
// those that the harness has.
func (harness *harness) addEndingUpstreams(count int, writes http.HandlerFunc) {
	living := harness.upstreams
	harness.upstreams = nil
	for index := range count {
		harness.add(index, endingUpstream(harness.t, writes))
	}
	for _, upstream := range living {
		moved := *upstream
		moved.ID, moved.DataCentre = "living", "far"
		harness.upstreams = append(harness.upstreams, &moved)
	}
}

// outcome returns the status that a caller got, or 0 if the connection broke.
func outcome(answer *http.Response, err error) int {
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

// TestRequestsThatEndUpstreams checks that a request of each kind that ends each upstream it is
// sent to is held off after the third upstream, and that its caller is then refused at once,
// with the time until which the request is held off.
func TestRequestsThatEndUpstreams(t *testing.T) {
	cases := []struct {
		rule string
		// attempts are the outcomes of the caller's attempts before they are refused.
		attempts []int
		writes   http.HandlerFunc
	}{
		{"once", []int{502, 502, 502}, writeNothing},
		{"safe", []int{502, 502}, writeNothing},
		{"stream", []int{502, 502, 502}, writeNothing},
		{"resume", []int{502, 502}, writeNothing},
		{"stream", []int{0, 0, 0}, events(false, "id: 1\ndata: a\n\n")},
	}
	for index, test := range cases {
		t.Run(fmt.Sprint(index, test.rule), func(t *testing.T) {
			harness := newHarness(t, answer(http.StatusOK, "served"))
			harness.addEndingUpstreams(6, test.writes)
			path := "/" + test.rule + "/a"
			for _, want := range test.attempts {
				answer, _, err := harness.call(path, "body", nil)
				assert.Equal(t, outcome(answer, err), want)
			}
			began := time.Now()
			answer, text, err := harness.call(path, "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, time.Since(began) < 2*time.Second)
			assert.Equal(t, harness.sends(), 0, "no upstream may get the request")
			var told struct{ Error, Identity, Text string }
			assert.NilError(t, json.Unmarshal([]byte(text), &told))
			assert.Equal(t, told.Error, string(forwarder.HeldOff))
			assert.Equal(t, len(told.Identity), 32)
			assert.Assert(t, told.Text != "")
			seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, seconds > 500 && seconds <= 600, "%v", seconds)

			// A request with another path is another request: it is sent to remaining
			// upstreams, and ends them.
			other, _, err := harness.call(path+"b", "body", func(request *http.Request) { request.Header.Set(attemptHeader, "a2") })
			assert.Assert(t, outcome(other, err) != http.StatusServiceUnavailable)
		})
	}
}

// TestBreaksThatAreNoEnds checks that no request is held off because its connections broke in
// ways that say nothing about the request.
func TestBreaksThatAreNoEnds(t *testing.T) {
	cases := []struct {
		name string
		// prepare adds six upstreams, which are chosen before the one that serves.
		prepare func(harness *harness)
	}{
		{"the connection breaks and the upstream lives", func(harness *harness) {
			living := harness.upstreams[0]
			harness.upstreams = nil
			for index := range 6 {
				server := httptest.NewServer(http.HandlerFunc(cut))
				harness.t.Cleanup(server.Close)
				harness.add(index, server.Listener.Addr().String())
			}
			harness.upstreams = append(harness.upstreams, living)
		}},
		{"the upstream was leaving", func(harness *harness) {
			harness.addEndingUpstreams(6, func(_ http.ResponseWriter, request *http.Request) {
				harness.unlist(request.Header.Get("X-Expect-Runner"))
			})
		}},
		{"nothing could be sent", func(harness *harness) {
			living := harness.upstreams[0]
			harness.upstreams = nil
			for index := range 6 {
				harness.add(index, closedAddress(harness.t))
			}
			harness.upstreams = append(harness.upstreams, living)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, answer(http.StatusOK, "served"))
			test.prepare(harness)
			for range 12 {
				answer, text, err := harness.call("/once/a", "body", nil)
				assert.NilError(t, err)
				assert.Assert(t, !strings.Contains(text, string(forwarder.HeldOff)), "%d %s", answer.StatusCode, text)
			}
		})
	}
}

// unlist removes an upstream from the list.
func (harness *harness) unlist(name string) {
	harness.mutex.Lock()
	defer harness.mutex.Unlock()
	var left []*registrar.Upstream
	for _, upstream := range harness.upstreams {
		if string(upstream.ID) != name {
			left = append(left, upstream)
		}
	}
	harness.upstreams = left
}

// TestLongRunsAreNotSuspected checks that a stream which has run for a while when its upstream
// ends is not suspected: the retries of its caller are not refused.
func TestLongRunsAreNotSuspected(t *testing.T) {
	harness := newHarness(t, answer(http.StatusOK, "served"))
	harness.addEndingUpstreams(4, func(writer http.ResponseWriter, request *http.Request) {
		events(false, "id: 1\ndata: a\n\n")(writer, request)
		<-time.After(1100 * time.Millisecond)
	})
	for range 4 {
		answer, _, err := harness.call("/stream/a", "body", nil)
		assert.Equal(t, outcome(answer, err), 0, "the stream breaks off")
	}
	last, _, err := harness.call("/stream/a", "body", nil)
	assert.Assert(t, outcome(last, err) != http.StatusServiceUnavailable)
}

// TestServedRequestsAreNotSuspected checks that a request which was served just before is not
// held off when it then meets several upstreams that end, as happens to a frequent request
// when several upstreams are lost at once.
func TestServedRequestsAreNotSuspected(t *testing.T) {
	harness := newHarness(t, answer(http.StatusOK, "served"))
	first, _, err := harness.call("/once/a", "body", nil)
	assert.Equal(t, outcome(first, err), http.StatusOK)
	harness.addEndingUpstreams(5, writeNothing)
	for range 5 {
		answer, _, err := harness.call("/once/a", "body", nil)
		assert.Equal(t, outcome(answer, err), http.StatusBadGateway)
	}
	last, _, err := harness.call("/once/a", "body", nil)
	assert.Equal(t, outcome(last, err), http.StatusOK)
}

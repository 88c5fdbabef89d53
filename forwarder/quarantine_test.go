package forwarder_test

import (
	"encoding/json"
	"fmt"
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

// ending returns an upstream that ends when it gets a request, and never comes back; what it
// writes before is passed on.
func ending(t *testing.T, writes http.HandlerFunc) string {
	t.Helper()
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(attempt, request.Header.Get(attempt))
		writes(writer, request)
		assert.Check(t, server.Listener.Close())
		cut(writer, request)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func nothing(http.ResponseWriter, *http.Request) {}

// withEnding adds upstreams that end, which are chosen before those that the world has.
func (world *world) withEnding(count int, writes http.HandlerFunc) {
	living := world.upstreams
	world.upstreams = nil
	for index := range count {
		world.add(index, ending(world.t, writes))
	}
	for _, upstream := range living {
		moved := *upstream
		moved.ID, moved.DataCentre = "living", "far"
		world.upstreams = append(world.upstreams, &moved)
	}
}

// outcome is what a caller got: its status, or 0 when the connection broke.
func outcome(answer *http.Response, err error) int {
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

// TestRequestsThatEndUpstreams has a request of each kind end each upstream that it is sent
// to: the third is the last, and the caller is told so at once, with how long it holds.
func TestRequestsThatEndUpstreams(t *testing.T) {
	cases := []struct {
		rule string
		// attempts are what the caller's attempts come to, before they are refused.
		attempts []int
		writes   http.HandlerFunc
	}{
		{"once", []int{502, 502, 502}, nothing},
		{"safe", []int{502, 502}, nothing},
		{"stream", []int{502, 502, 502}, nothing},
		{"resume", []int{502, 502}, nothing},
		{"stream", []int{0, 0, 0}, events(false, "id: 1\ndata: a\n\n")},
	}
	for index, test := range cases {
		t.Run(fmt.Sprint(index, test.rule), func(t *testing.T) {
			world := newWorld(t, answer(http.StatusOK, "served"))
			world.withEnding(6, test.writes)
			path := "/" + test.rule + "/a"
			for _, want := range test.attempts {
				answer, _, err := world.call(path, "body", nil)
				assert.Equal(t, outcome(answer, err), want)
			}
			began := time.Now()
			answer, text, err := world.call(path, "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, time.Since(began) < 2*time.Second)
			assert.Equal(t, world.sends(), 0, "a living upstream got it")
			var told struct{ Error, Identity, Text string }
			assert.NilError(t, json.Unmarshal([]byte(text), &told))
			assert.Equal(t, told.Error, string(forwarder.HeldOff))
			assert.Equal(t, len(told.Identity), 32)
			assert.Assert(t, told.Text != "")
			seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, seconds > 500 && seconds <= 600, "%v", seconds)

			// Another body, and another path, are other requests; two more upstreams have not
			// ended, and do so under them.
			other, _, err := world.call(path+"b", "body", func(request *http.Request) { request.Header.Set(attempt, "a2") })
			assert.Assert(t, outcome(other, err) != http.StatusServiceUnavailable)
		})
	}
}

// TestBreaksThatAreNoEnds has requests break off in ways that tell nothing of the request:
// none is held off by them.
func TestBreaksThatAreNoEnds(t *testing.T) {
	cases := []struct {
		name string
		// prepare readies six upstreams, before one that serves.
		prepare func(world *world)
	}{
		{"the connection breaks and the upstream lives", func(world *world) {
			living := world.upstreams[0]
			world.upstreams = nil
			for index := range 6 {
				server := httptest.NewServer(http.HandlerFunc(cut))
				world.t.Cleanup(server.Close)
				world.add(index, server.Listener.Addr().String())
			}
			world.upstreams = append(world.upstreams, living)
		}},
		{"the upstream was leaving", func(world *world) {
			world.withEnding(6, func(_ http.ResponseWriter, request *http.Request) {
				world.unlist(request.Header.Get("X-Expect-Runner"))
			})
		}},
		{"nothing could be sent", func(world *world) {
			living := world.upstreams[0]
			world.upstreams = nil
			for index := range 6 {
				world.add(index, closedAddress(world.t))
			}
			world.upstreams = append(world.upstreams, living)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			world := newWorld(t, answer(http.StatusOK, "served"))
			test.prepare(world)
			for range 12 {
				answer, text, err := world.call("/once/a", "body", nil)
				assert.NilError(t, err)
				assert.Assert(t, !strings.Contains(text, string(forwarder.HeldOff)), "%d %s", answer.StatusCode, text)
			}
		})
	}
}

// unlist takes an upstream off the list.
func (world *world) unlist(name string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	var left []*registrar.Upstream
	for _, upstream := range world.upstreams {
		if string(upstream.ID) != name {
			left = append(left, upstream)
		}
	}
	world.upstreams = left
}

// TestLongRunsAreNotSuspected has streams that have run for a while break off with their
// upstreams: that they are asked again is no reason to refuse them.
func TestLongRunsAreNotSuspected(t *testing.T) {
	world := newWorld(t, answer(http.StatusOK, "served"))
	world.withEnding(4, func(writer http.ResponseWriter, request *http.Request) {
		events(false, "id: 1\ndata: a\n\n")(writer, request)
		<-time.After(1100 * time.Millisecond)
	})
	for range 4 {
		answer, _, err := world.call("/stream/a", "body", nil)
		assert.Equal(t, outcome(answer, err), 0, "the stream breaks off")
	}
	last, _, err := world.call("/stream/a", "body", nil)
	assert.Assert(t, outcome(last, err) != http.StatusServiceUnavailable)
}

// TestServedRequestsAreNotSuspected has a request that was served just before meet upstreams
// that end, as one does that is asked all the time while several are lost at once.
func TestServedRequestsAreNotSuspected(t *testing.T) {
	world := newWorld(t, answer(http.StatusOK, "served"))
	first, _, err := world.call("/once/a", "body", nil)
	assert.Equal(t, outcome(first, err), http.StatusOK)
	world.withEnding(5, nothing)
	for range 5 {
		answer, _, err := world.call("/once/a", "body", nil)
		assert.Equal(t, outcome(answer, err), http.StatusBadGateway)
	}
	last, _, err := world.call("/once/a", "body", nil)
	assert.Equal(t, outcome(last, err), http.StatusOK)
}

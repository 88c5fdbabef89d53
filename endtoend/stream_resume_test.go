package endtoend_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

const (
	// streamEvents is the number of events of a stream, eventInterval the time between them. A
	// stream lasts longer than a stopping node accepts new connections, and shorter than the node's
	// grace period.
	streamEvents  = 90
	eventInterval = 50 * time.Millisecond
	// resumedEventInterval is the time between the events of a resumed stream.
	resumedEventInterval = time.Millisecond
	// streamsPerKind is the number of streams of each kind through each node.
	streamsPerKind = 3
)

// streamRule returns a rule for streams; a resumable stream may have two attempts.
func streamRule(prefix string, resumable bool) map[string]any {
	attempts := 1
	if resumable {
		attempts = 2
	}
	return map[string]any{
		"name": "rule" + prefix, "host": fleetHost, "path_prefix": prefix, "route_type": "streaming",
		"service": "desk", "max_attempts": attempts, "timeout_ms": 10000, "target_latency_ms": 1000,
		"gap_aim_ms": 500, "stream_resume": resumable,
	}
}

// serveStreams returns an upstream's handler, which streams events or, for /name/, responds with
// its name.
func serveStreams(name string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/name/") {
			writeAttemptHeaders(writer, request)
			_, _ = io.WriteString(writer, name) // A disconnected caller needs no response.
			return
		}
		serveEvents(writer, request)
	}
}

// serveEvents streams the events after the last one that the caller has received.
func serveEvents(writer http.ResponseWriter, request *http.Request) {
	serveEventsOf(writer, request, "x")
}

// serveEventsOf streams the events after the last one that the caller has received, with the text as
// the data of each.
func serveEventsOf(writer http.ResponseWriter, request *http.Request, text string) {
	writeAttemptHeaders(writer, request)
	writer.Header().Set("Content-Type", "text/event-stream")
	pause := resumedEventInterval
	lastID, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		lastID, pause = 0, eventInterval // The first request has no Last-Event-Id.
	}
	control := http.NewResponseController(writer)
	for number := lastID + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, text); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		<-time.After(pause)
	}
}

// streamResult is the part of a stream that a caller has received.
type streamResult struct {
	// ids are the IDs of the events, in order.
	ids []int
	// complete is set if the stream ended without an error.
	complete bool
	// started is set once the stream's response header has been received.
	started bool
}

// receiveStream sends a request for a stream and reads it to its end; it calls onFirst at the first
// event.
func receiveStream(node *node, path string, lastID int, onFirst func()) streamResult {
	request := node.request(path)
	if lastID > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(lastID))
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return streamResult{}
	}
	defer response.Body.Close()
	result := streamResult{started: response.StatusCode == http.StatusOK}
	lines := bufio.NewScanner(response.Body)
	id := 0
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			id, err = strconv.Atoi(text)
			assert.Check(node.t, err)
		}
		if lines.Text() == "" && id > 0 {
			result.ids, id = append(result.ids, id), 0
			if len(result.ids) == 1 {
				onFirst()
			}
		}
	}
	result.complete = result.started && lines.Err() == nil
	return result
}

// remainingIDs returns the IDs of the events after the given one.
func remainingIDs(lastID int) []int {
	var numbers []int
	for number := lastID + 1; number <= streamEvents; number++ {
		numbers = append(numbers, number)
	}
	return numbers
}

// clientStream is one stream of the test.
type clientStream struct {
	node      *node
	resumable bool
	result    streamResult
}

// startClientStreams starts streams of both kinds through each node and returns once each has
// received its first event.
func startClientStreams(nodes []*node, group *conc.WaitGroup) []*clientStream {
	var streams []*clientStream
	var started conc.WaitGroup
	for _, node := range nodes {
		for number := range 2 * streamsPerKind {
			stream := &clientStream{node: node, resumable: number%2 == 0}
			streams = append(streams, stream)
			path := "/once/"
			if stream.resumable {
				path = "/resumable/"
			}
			first := make(chan struct{})
			started.Go(func() { <-first })
			group.Go(func() { stream.result = receiveStream(node, path, 0, func() { close(first) }) })
		}
	}
	started.Wait()
	return streams
}

// checkEvents checks that the received events have no gaps or duplicates, and reports whether all
// events were received.
func (stream *clientStream) checkEvents() (whole bool) {
	t := stream.node.t
	for index, id := range stream.result.ids {
		assert.Equal(t, id, index+1, "%s: %v", stream.node.name, stream.result.ids)
	}
	whole = len(stream.result.ids) == streamEvents
	assert.Assert(t, whole || !stream.result.complete, "%s: a stream of %d events looks complete", stream.node.name, len(stream.result.ids))
	return whole
}

// TestStreamsAcrossEnds runs streams while nodes join, one node is stopped as planned, one node is
// killed and one of two upstreams breaks off its connections. Streams of the stopped node continue
// to their end. Resumable streams of the failed upstream continue at the other upstream within the
// same response. After the failure of the node itself, the caller resumes at a joined node, after
// its last event. A stream that cannot continue never looks complete.
//
// It guards against long responses that are cut off and have to be restarted.
func TestStreamsAcrossEnds(t *testing.T) { withAndWithoutDelegation(t, streamsAcrossEnds) }

func streamsAcrossEnds(t *testing.T, fleet *fleet) {
	fleet.configure(streamRule("/resumable/", true), streamRule("/once/", false), unsafeRule("/name/"))
	upstreams := []*httptest.Server{fleet.startUpstream("u1", serveStreams("u1")), fleet.startUpstream("u2", serveStreams("u2"))}
	stopped, killed, kept := fleet.startNode("entry-1"), fleet.startNode("entry-2"), fleet.startNode("entry-3")
	first := []*node{stopped, killed, kept}
	for _, node := range first {
		node.awaitReady()
	}

	var callers conc.WaitGroup
	streams := startClientStreams(first, &callers)
	joined := fleet.startNode("joined-1")
	stopped.Terminate()
	killed.Kill()
	joined.awaitReady()
	fleet.listUpstream("u1", upstreams[0].Listener.Addr().String(), "draining")
	callers.Wait()
	assert.Equal(t, stopped.exitCode(hangTimeout), 0)
	for _, stream := range streams {
		whole := stream.checkEvents()
		assert.Equal(t, whole, stream.node != killed, "%s: %v", stream.node.name, stream.result)
		if stream.node == killed && stream.resumable {
			last := len(stream.result.ids)
			assert.DeepEqual(t, receiveStream(joined, "/resumable/", last, func() {}).ids, remainingIDs(last))
		}
	}

	// All streams that start now run at u2. It breaks off its connections once the nodes use u1
	// again.
	streams = startClientStreams([]*node{kept, joined}, &callers)
	fleet.listUpstream("u1", upstreams[0].Listener.Addr().String(), "ready")
	for _, node := range []*node{kept, joined} {
		eventually(t, leavingTimeout, node.name+" uses u1", func() bool {
			return newClient(t).send(node.request("/name/")).text == "u1"
		})
	}
	upstreams[1].CloseClientConnections()
	callers.Wait()
	for _, stream := range streams {
		assert.Equal(t, stream.checkEvents(), stream.resumable, "%s: %v", stream.node.name, stream.result)
	}
}

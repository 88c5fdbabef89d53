package streams_test

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

	"limpetcleat/standin/tester"
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

// serveStreams returns an upstream's handler, which streams events or, for /name/, responds with
// its name.
func serveStreams(name string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/name/") {
			tester.WriteAttemptHeaders(writer, request)
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
	tester.WriteAttemptHeaders(writer, request)
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
func receiveStream(node *tester.Node, path string, lastID int, onFirst func()) streamResult {
	request := node.Request(path)
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
			assert.Check(node.T, err)
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
	node      *tester.Node
	resumable bool
	result    streamResult
}

// startClientStreams starts streams of both kinds through each node and returns once each has
// received its first event.
func startClientStreams(nodes []*tester.Node, group *conc.WaitGroup) []*clientStream {
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
	t := stream.node.T
	for index, id := range stream.result.ids {
		assert.Equal(t, id, index+1, "%s: %v", stream.node.Name, stream.result.ids)
	}
	whole = len(stream.result.ids) == streamEvents
	assert.Assert(t, whole || !stream.result.complete, "%s: a stream of %d events looks complete", stream.node.Name, len(stream.result.ids))
	return whole
}

// TestStreamsAcrossEnds runs streams while nodes join, one node is stopped as planned, one node is
// killed and one of two upstreams breaks off its connections. Streams of the stopped node continue
// to their end. Resumable streams of the failed upstream continue at the other upstream within the
// same response. After the failure of the node itself, the caller resumes at a joined node, after
// its last event. A stream that cannot continue never looks complete.
//
// It guards against long responses that are cut off and have to be restarted.
func TestStreamsAcrossEnds(t *testing.T) { tester.WithAndWithoutDelegation(t, streamsAcrossEnds) }

func streamsAcrossEnds(t *testing.T, fleet *tester.Fleet) {
	fleet.Configure(tester.StreamRule("/resumable/", true), tester.StreamRule("/once/", false), tester.UnsafeRule("/name/"))
	upstreams := []*httptest.Server{fleet.StartUpstream("u1", serveStreams("u1")), fleet.StartUpstream("u2", serveStreams("u2"))}
	stopped, killed, kept := fleet.StartNode("entry-1"), fleet.StartNode("entry-2"), fleet.StartNode("entry-3")
	first := []*tester.Node{stopped, killed, kept}
	for _, node := range first {
		node.AwaitReady()
	}

	var callers conc.WaitGroup
	streams := startClientStreams(first, &callers)
	joined := fleet.StartNode("joined-1")
	stopped.Terminate()
	killed.Kill()
	joined.AwaitReady()
	fleet.ListUpstream("u1", upstreams[0].Listener.Addr().String(), "draining")
	callers.Wait()
	assert.Equal(t, stopped.AwaitExit(tester.HangTimeout), 0)
	for _, stream := range streams {
		whole := stream.checkEvents()
		assert.Equal(t, whole, stream.node != killed, "%s: %v", stream.node.Name, stream.result)
		if stream.node == killed && stream.resumable {
			last := len(stream.result.ids)
			assert.DeepEqual(t, receiveStream(joined, "/resumable/", last, func() {}).ids, remainingIDs(last))
		}
	}

	// All streams that start now run at u2. It breaks off its connections once the nodes use u1
	// again.
	streams = startClientStreams([]*tester.Node{kept, joined}, &callers)
	// A start that was draining does not return, so this is a later one.
	fleet.PutUpstream("u1", upstreams[0].Listener.Addr().String(), map[string]any{"born": 1})
	for _, node := range []*tester.Node{kept, joined} {
		tester.Eventually(t, tester.LeavingTimeout, node.Name+" uses u1", func() bool {
			return tester.NewClient(t).Send(node.Request("/name/")).Text == "u1"
		})
	}
	upstreams[1].CloseClientConnections()
	callers.Wait()
	for _, stream := range streams {
		assert.Equal(t, stream.checkEvents(), stream.resumable, "%s: %v", stream.node.Name, stream.result)
	}
}

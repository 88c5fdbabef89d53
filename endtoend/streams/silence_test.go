package streams_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// silence is longer than a resumable stream waits for its next event.
	silence = 1800 * time.Millisecond
	// streamsInSilence is the number of streams that the retry budget has no room to repeat.
	streamsInSilence = 120
)

// receiveStreams starts resumable streams through the node, calls disturb once each has received its
// first event, and returns how many did not arrive whole.
func receiveStreams(node *tester.Node, count int, disturb func()) (cut int) {
	results := make([]streamResult, count)
	var callers, started conc.WaitGroup
	for index := range results {
		first := make(chan struct{})
		started.Go(func() { <-first })
		callers.Go(func() { results[index] = receiveStream(node, "/resumable/", 0, func() { close(first) }) })
	}
	started.Wait()
	disturb()
	callers.Wait()
	for _, result := range results {
		stream := clientStream{node: node, resumable: true, result: result}
		if !stream.checkEvents() {
			cut++
		}
	}
	return cut
}

// silenceRule returns a rule whose streams wait for less than silence for their next event.
func silenceRule() map[string]any {
	rule := tester.StreamRule("/resumable/", true)
	rule["gap_aim_ms"] = 400
	return rule
}

// TestSuspendedNodeCutsNoStreams suspends a node while it passes on resumable streams.
//
// It guards against a node that takes its own suspension for the silence of upstreams, and cuts off the
// streams that its retry budget has no room to repeat: 115 of 200.
func TestSuspendedNodeCutsNoStreams(t *testing.T) {
	fleet := tester.NewFleet(t)
	fleet.Configure(silenceRule())
	fleet.StartUpstream("u1", serveEvents)
	fleet.StartUpstream("u2", serveEvents)
	node := fleet.StartNodes(1)[0]
	cut := receiveStreams(node, streamsInSilence, func() {
		node.Suspend()
		<-time.After(silence)
		node.Resume()
	})
	assert.Equal(t, cut, 0, "of %d streams", streamsInSilence)
}

// TestSilentUpstreamsCutNoStreams lets all upstreams pause all their streams, which then go on.
//
// It guards against nodes that end an answer because its upstream is silent although no other upstream
// may be sent the request.
func TestSilentUpstreamsCutNoStreams(t *testing.T) {
	var pausedUntil atomic.Int64
	serve := func(writer http.ResponseWriter, request *http.Request) {
		serveEvents(pausingWriter{writer, &pausedUntil}, request)
	}
	fleet := tester.NewFleet(t)
	fleet.Configure(silenceRule())
	fleet.StartUpstream("u1", serve)
	fleet.StartUpstream("u2", serve)
	node := fleet.StartNodes(1)[0]
	cut := receiveStreams(node, streamsInSilence, func() { pausedUntil.Store(time.Now().Add(silence).UnixNano()) })
	assert.Equal(t, cut, 0, "of %d streams", streamsInSilence)
}

// pausingWriter writes nothing before a time, in Unix nanoseconds.
type pausingWriter struct {
	http.ResponseWriter
	pausedUntil *atomic.Int64
}

// Write waits until the pause has ended.
func (writer pausingWriter) Write(data []byte) (int, error) {
	<-time.After(time.Until(time.Unix(0, writer.pausedUntil.Load())))
	return writer.ResponseWriter.Write(data)
}

// Unwrap returns the writer that http.ResponseController uses.
func (writer pausingWriter) Unwrap() http.ResponseWriter { return writer.ResponseWriter }

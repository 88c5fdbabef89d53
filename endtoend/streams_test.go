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
	// streamEvents is how many events a stream has, eventPause the time between them: a
	// stream lasts longer than a stopping node takes new connections, and less than its
	// grace.
	streamEvents = 90
	eventPause   = 50 * time.Millisecond
	// resumedPause is the time between the events of a stream that goes on.
	resumedPause = time.Millisecond
	// streamsEach is how many streams of each kind run through each node.
	streamsEach = 3
)

// streamRule returns a rule of streams; one that may be resumed may be sent twice.
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

// serveStreams returns an upstream's handler, which streams, or tells its name.
func serveStreams(name string) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/name/") {
			sign(writer, request)
			_, _ = io.WriteString(writer, name) // A caller that has left needs no answer.
			return
		}
		serveEvents(writer, request)
	}
}

// serveEvents streams the events behind the last that the caller has.
func serveEvents(writer http.ResponseWriter, request *http.Request) {
	sign(writer, request)
	writer.Header().Set("Content-Type", "text/event-stream")
	pause := resumedPause
	had, err := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	if err != nil {
		had, pause = 0, eventPause // The first sending names none.
	}
	control := http.NewResponseController(writer)
	for number := had + 1; number <= streamEvents; number++ {
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: x\n\n", number); err != nil {
			return
		}
		if err := control.Flush(); err != nil {
			return
		}
		<-time.After(pause)
	}
}

// received is what a caller has of a stream.
type received struct {
	// ids are those of the events, in order.
	ids []int
	// complete is set when the stream ended as whole ones do.
	complete bool
	// begun is set once the stream's head came.
	begun bool
}

// receive sends a request for a stream and reads it to its end; onFirst is called with
// its first event.
func receive(node *node, path string, last int, onFirst func()) received {
	request := node.request(path)
	if last > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return received{}
	}
	defer answer.Body.Close()
	got := received{begun: answer.StatusCode == http.StatusOK}
	lines := bufio.NewScanner(answer.Body)
	id := 0
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "id: "); found {
			id, err = strconv.Atoi(text)
			assert.Check(node.t, err)
		}
		if lines.Text() == "" && id > 0 {
			got.ids, id = append(got.ids, id), 0
			if len(got.ids) == 1 {
				onFirst()
			}
		}
	}
	got.complete = got.begun && lines.Err() == nil
	return got
}

// following returns the numbers behind one up to the last event's.
func following(last int) []int {
	var numbers []int
	for number := last + 1; number <= streamEvents; number++ {
		numbers = append(numbers, number)
	}
	return numbers
}

// flow is one stream of the test.
type flow struct {
	node      *node
	resumable bool
	got       received
}

// startFlows starts streams of both kinds through each node and returns once each has
// its first event.
func startFlows(nodes []*node, group *conc.WaitGroup) []*flow {
	var flows []*flow
	var begun conc.WaitGroup
	for _, node := range nodes {
		for number := range 2 * streamsEach {
			flow := &flow{node: node, resumable: number%2 == 0}
			flows = append(flows, flow)
			path := "/once/"
			if flow.resumable {
				path = "/resumable/"
			}
			first := make(chan struct{})
			begun.Go(func() { <-first })
			group.Go(func() { flow.got = receive(node, path, 0, func() { close(first) }) })
		}
	}
	begun.Wait()
	return flows
}

// check holds what came to a part of the stream without a gap or a doubled event, and
// says whether it is all of it.
func (flow *flow) check() (whole bool) {
	t := flow.node.t
	for index, id := range flow.got.ids {
		assert.Equal(t, id, index+1, "%s: %v", flow.node.name, flow.got.ids)
	}
	whole = len(flow.got.ids) == streamEvents
	assert.Assert(t, whole || !flow.got.complete, "%s: a stream of %d events looks whole", flow.node.name, len(flow.got.ids))
	return whole
}

// TestStreamsAcrossEnds has streams run while nodes join, one node is stopped as planned,
// one is killed and one of two upstreams breaks off: those of the stopped node go on to
// their end; of the others those that may be resumed go on at the other upstream within
// the same answer; where the node itself is gone the caller goes on at a joined one, from
// the event behind its last. What cannot go on never looks whole.
//
// The users' long answers stopped partway and had to be started again.
func TestStreamsAcrossEnds(t *testing.T) { inBothWays(t, streamsAcrossEnds) }

func streamsAcrossEnds(t *testing.T, fleet *fleet) {
	fleet.configure(streamRule("/resumable/", true), streamRule("/once/", false), unsafeRule("/name/"))
	upstreams := []*httptest.Server{fleet.upstream("u1", serveStreams("u1")), fleet.upstream("u2", serveStreams("u2"))}
	stopped, killed, kept := fleet.join("entry-1"), fleet.join("entry-2"), fleet.join("entry-3")
	first := []*node{stopped, killed, kept}
	for _, node := range first {
		node.awaitReady()
	}

	var callers conc.WaitGroup
	flows := startFlows(first, &callers)
	joined := fleet.join("joined-1")
	stopped.Stop()
	killed.Kill()
	joined.awaitReady()
	fleet.list("u1", upstreams[0].Listener.Addr().String(), "draining")
	callers.Wait()
	assert.Equal(t, stopped.exitCode(hangLimit), 0)
	for _, flow := range flows {
		whole := flow.check()
		assert.Equal(t, whole, flow.node != killed, "%s: %v", flow.node.name, flow.got)
		if flow.node == killed && flow.resumable {
			last := len(flow.got.ids)
			assert.DeepEqual(t, receive(joined, "/resumable/", last, func() {}).ids, following(last))
		}
	}

	// All streams that begin now run at u2. It breaks off once the others know of u1 again.
	flows = startFlows([]*node{kept, joined}, &callers)
	fleet.list("u1", upstreams[0].Listener.Addr().String(), "ready")
	for _, node := range []*node{kept, joined} {
		eventually(t, leavingWithin, node.name+" knows of u1", func() bool {
			return newClient(t).send(node.request("/name/")).text == "u1"
		})
	}
	upstreams[1].CloseClientConnections()
	callers.Wait()
	for _, flow := range flows {
		assert.Equal(t, flow.check(), flow.resumable, "%s: %v", flow.node.name, flow.got)
	}
}

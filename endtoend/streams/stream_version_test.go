package streams_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// versionNodes and versionUpstreams are the numbers of nodes and of upstreams of each version.
	versionNodes     = 5
	versionUpstreams = 3
	// versionStreams is the number of streams through each node.
	versionStreams = 6
	// brokenAfter is the number of events after which a stream breaks: few, since a node may fail
	// soon after it has begun a stream.
	brokenAfter = 3
	// takeUpTimeout bounds the answer to a caller that takes up a stream: it goes on or is refused
	// without a wait.
	takeUpTimeout = 500 * time.Millisecond
	// discoveryTime is the time in which all nodes that have started learn of each other.
	discoveryTime = 2 * time.Second
	// settlingTime is the time in which streams may begin at all versions that are listed.
	settlingTime = 4 * time.Second
	// goneTimeout is when all nodes must know that an upstream is not listed any more.
	goneTimeout = 3 * time.Second
)

// versionedStream is a stream of which a caller has received events, over all of its attempts.
type versionedStream struct {
	// attempt is the ID of the attempt that brought the first event.
	attempt string
	// events is the number of the events received; it may be read while the stream is received.
	events atomic.Int64
	// versions are the versions of the events, in order and without repeats.
	versions []string
	// status and took describe the response to the latest attempt.
	status   int
	took     time.Duration
	complete bool
}

// receive sends a request that begins the stream or takes it up, and reads the stream until it ends or
// has the number of events.
func (stream *versionedStream) receive(node *tester.Node, events int64) {
	request := node.Request("/resumable/")
	if stream.events.Load() > 0 {
		request.Header.Set("Last-Event-Id", strconv.FormatInt(stream.events.Load(), 10))
		request.Header.Set("Resumes", stream.attempt)
	} else {
		stream.attempt = request.Header.Get("X-Attempt-Id")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	began := time.Now()
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request.WithContext(ctx))
	stream.took, stream.status = time.Since(began), 0
	if err != nil {
		return
	}
	defer response.Body.Close()
	stream.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(response.Body)
	for stream.events.Load() < events && lines.Scan() {
		version, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		stream.events.Add(1)
		if len(stream.versions) == 0 || stream.versions[len(stream.versions)-1] != version {
			stream.versions = append(stream.versions, version)
		}
	}
	stream.complete = stream.events.Load() == streamEvents
}

// versionFleet is a fleet with upstreams of two versions.
type versionFleet struct {
	*tester.Fleet
	nodes []*tester.Node
	// upstreams are the upstreams by version.
	upstreams map[string][]*httptest.Server
}

// startVersionFleet starts nodes, and upstreams of both versions, which are listed.
func startVersionFleet(fleet *tester.Fleet) *versionFleet {
	return startFleetOf(fleet, versionNodes, both())
}

// startFleetOf starts nodes, and upstreams of both versions, of which the given ones are listed.
func startFleetOf(fleet *tester.Fleet, nodes int, listed []string) *versionFleet {
	versions := &versionFleet{Fleet: fleet, upstreams: make(map[string][]*httptest.Server)}
	fleet.Configure(tester.StreamRule("/resumable/", true))
	for _, version := range both() {
		for range versionUpstreams {
			versions.upstreams[version] = append(versions.upstreams[version], fleet.StartUnlisted(func(writer http.ResponseWriter, request *http.Request) {
				serveEventsOf(writer, request, version)
			}))
		}
	}
	for _, version := range listed {
		versions.release(version)
	}
	versions.nodes = fleet.StartNodes(nodes)
	<-time.After(discoveryTime)
	if len(listed) > 1 {
		<-time.After(settlingTime)
	}
	return versions
}

// begin begins streams at all nodes and returns once each has some events; wait waits until they end.
// With left, callers leave their streams then.
func (versions *versionFleet) begin(t *testing.T, left bool) (streams [][]*versionedStream, wait func()) {
	var group conc.WaitGroup
	events := int64(streamEvents)
	if left {
		events = brokenAfter
	}
	streams = make([][]*versionedStream, len(versions.nodes))
	for index, node := range versions.nodes {
		for range versionStreams {
			stream := &versionedStream{}
			streams[index] = append(streams[index], stream)
			group.Go(func() { stream.receive(node, events) })
		}
	}
	for index, started := range streams {
		for _, stream := range started {
			tester.Eventually(t, tester.StartTimeout, "a stream has begun at "+versions.nodes[index].Name, func() bool { return stream.events.Load() >= brokenAfter })
		}
	}
	return streams, group.Wait
}

// TestStreamsGoOnAtTheirVersion takes streams up at other nodes, after their callers have left, after
// nodes were killed and after upstreams have broken off.
//
// It guards against streams with events of two software versions of their upstreams.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	tester.WithAndWithoutDelegation(t, func(t *testing.T, fleet *tester.Fleet) {
		versions := startVersionFleet(fleet)
		t.Run("left", versions.takeUpLeftStreams)
		t.Run("broken", versions.breakOffUpstreams)
		t.Run("killed", versions.takeUpAfterKills)
		t.Run("gone", versions.takeUpOfGoneVersion)
	})
}

// assertOneVersion checks that the events of each stream are of one version.
func assertOneVersion(t *testing.T, streams [][]*versionedStream) {
	t.Helper()
	mixed, total := 0, 0
	for _, started := range streams {
		for _, stream := range started {
			total++
			if len(stream.versions) > 1 {
				mixed++
			}
		}
	}
	assert.Check(t, mixed == 0, "%d of %d streams hold events of two versions", mixed, total)
}

// takeUp takes up each stream at the node and returns how many go on to their end.
func takeUp(streams []*versionedStream, node *tester.Node) (whole int) {
	var group conc.WaitGroup
	for _, stream := range streams {
		group.Go(func() { stream.receive(node, streamEvents) })
	}
	group.Wait()
	for _, stream := range streams {
		if stream.complete {
			whole++
		}
	}
	return whole
}

func (versions *versionFleet) takeUpLeftStreams(t *testing.T) {
	streams, wait := versions.begin(t, true)
	wait()
	for index := range streams {
		whole := takeUp(streams[index], versions.nodes[(index+1)%len(versions.nodes)])
		assert.Check(t, whole == versionStreams, "%d of %d streams go on", whole, versionStreams)
	}
	assertOneVersion(t, streams)
}

func (versions *versionFleet) breakOffUpstreams(t *testing.T) {
	streams, wait := versions.begin(t, false)
	for _, upstreams := range versions.upstreams {
		upstreams[0].CloseClientConnections()
	}
	wait()
	for _, started := range streams {
		for _, stream := range started {
			assert.Check(t, stream.complete, "a stream broke off after %d events", stream.events.Load())
		}
	}
	assertOneVersion(t, streams)
}

func (versions *versionFleet) takeUpAfterKills(t *testing.T) {
	streams, wait := versions.begin(t, false)
	versions.nodes[0].Kill()
	versions.nodes[1].Kill()
	wait()
	whole := takeUp(streams[0], versions.nodes[2]) + takeUp(streams[1], versions.nodes[3])
	assert.Check(t, whole == 2*versionStreams, "%d of %d streams go on", whole, 2*versionStreams)
	assertOneVersion(t, streams)
	versions.nodes = versions.nodes[2:]
}

func (versions *versionFleet) takeUpOfGoneVersion(t *testing.T) {
	streams, wait := versions.begin(t, true)
	wait()
	for number, server := range versions.upstreams["v2"] {
		versions.Store.Remove("servers", fmt.Sprintf("v2-%d", number))
		server.CloseClientConnections()
	}
	<-time.After(goneTimeout)
	for index := range streams {
		takeUp(streams[index], versions.nodes[(index+1)%len(versions.nodes)])
		for _, stream := range streams[index] {
			if stream.versions[0] == "v1" {
				assert.Check(t, stream.complete, "a stream of the other version broke off")
				continue
			}
			assert.Check(t, stream.status == http.StatusServiceUnavailable && stream.took < takeUpTimeout, "status %d after %v", stream.status, stream.took)
		}
	}
	assertOneVersion(t, streams)
}

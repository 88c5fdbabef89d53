package streams_test

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
	"limpetcleat/standin/tester"
)

const (
	// playTime is the time from the cut to the last stream, startInterval that between two streams at a node.
	playTime      = 5 * time.Second
	startInterval = 100 * time.Millisecond
	// storeSilence is a delay of answers that no node waits for.
	storeSilence = time.Minute
)

// TestStreamsAreNotJoinedAtNodesWithAnOldList guards against streams whose rest is of another software version than
// their beginning, since a node that takes them up has not heard of the version that began them.
func TestStreamsAreNotJoinedAtNodesWithAnOldList(t *testing.T) {
	versions := startFleetOf(tester.NewFleet(t), versionNodes-1, first())
	// A node whose way to the store and to the others is cut: the store that it knows has the same contents.
	link := store.NewLink(0)
	apart := &versionFleet{Fleet: tester.NewFleetWithLink(t, link), upstreams: versions.upstreams}
	apart.Configure(tester.StreamRule("/resumable/", true))
	apart.release("v1")
	cut := apart.StartNodes(1)[0]
	<-time.After(discoveryTime)
	link.LoseAnswers()
	link.SetDelay(storeSilence)
	versions.release("v2")

	var group conc.WaitGroup
	streams := make([][]*versionedStream, len(versions.nodes))
	for range playTime / startInterval {
		for index, node := range versions.nodes {
			stream := &versionedStream{}
			streams[index] = append(streams[index], stream)
			group.Go(func() {
				stream.receive(node, brokenAfter)
				stream.receive(cut, streamEvents)
			})
		}
		<-time.After(startInterval)
	}
	group.Wait()
	assertOneVersion(t, streams)
	begun, whole := make(map[string]int), 0
	for _, started := range streams {
		for _, stream := range started {
			if len(stream.versions) > 0 {
				begun[stream.versions[0]]++
			}
			if stream.complete {
				whole++
			}
		}
	}
	t.Logf("began %v, %d went on at the cut node", begun, whole)
	assert.Check(t, begun["v2"] > 0, "no stream began at the new version")
	assert.Check(t, whole > 0, "no stream went on at the cut node")
}

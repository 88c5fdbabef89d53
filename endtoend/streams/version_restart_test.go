package streams_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

const (
	// restartedNodes is the number of nodes that are killed at once.
	restartedNodes = 3
	// takeUps bounds how often a caller takes its stream up, takeUpPause is the pause between.
	takeUps     = 8
	takeUpPause = 250 * time.Millisecond
)

// release lists the upstreams of a version.
func (versions *versionFleet) release(version string) {
	for number, server := range versions.upstreams[version] {
		versions.PutUpstream(fmt.Sprintf("%s-%d", version, number), server.Listener.Addr().String(), map[string]any{"version": version})
	}
}

// retire removes the upstreams of a version from the list.
func (versions *versionFleet) retire(version string) {
	for number := range versions.upstreams[version] {
		versions.Store.Remove("servers", fmt.Sprintf("%s-%d", version, number))
	}
}

// replace lists the upstreams of a version in place of those of the first.
func (versions *versionFleet) replace(version string) {
	versions.release(version)
	versions.retire("v1")
}

// restartAll kills all nodes at once, and starts as many while the deployment changes.
func (versions *versionFleet) restartAll(name string, change func()) {
	for _, node := range versions.nodes {
		node.Kill()
	}
	change()
	for index := range versions.nodes {
		versions.nodes[index] = versions.StartNode(fmt.Sprintf("%s-%d", name, index))
	}
	for _, node := range versions.nodes {
		node.AwaitReady()
	}
}

// takeUpRepeatedly takes up each stream at a node until it is whole, takeUps times at most. It returns how
// many are whole.
func (versions *versionFleet) takeUpRepeatedly(streams [][]*versionedStream) (whole int) {
	var group conc.WaitGroup
	for index, started := range streams {
		for _, stream := range started {
			group.Go(func() {
				for try := 0; try < takeUps && !stream.complete; try++ {
					stream.receive(versions.nodes[(index+try)%len(versions.nodes)], streamEvents)
					<-time.After(takeUpPause)
				}
			})
		}
	}
	group.Wait()
	for _, started := range streams {
		for _, stream := range started {
			if stream.complete {
				whole++
			}
		}
	}
	return whole
}

// Guards against streams whose rest is of another software version than their beginning, after all nodes that
// knew the beginning were killed, and against the refusal of streams of a service with one version.
func TestStreamsAreNotJoinedAfterAllNodesWereKilled(t *testing.T) {
	nothing := func(*versionFleet) {}
	for name, shape := range map[string]struct {
		versions []string
		before   func(versions *versionFleet)
		during   func(versions *versionFleet)
		restarts int
		// goOn is set if each stream must go on to its end.
		goOn bool
	}{
		"one of two removed before":    {both(), func(versions *versionFleet) { versions.retire("v1") }, nothing, 1, false},
		"one of two removed meanwhile": {both(), nothing, func(versions *versionFleet) { versions.retire("v1") }, 1, false},
		"replaced before":              {first(), func(versions *versionFleet) { versions.replace("v2") }, nothing, 1, false},
		"replaced meanwhile":           {first(), nothing, func(versions *versionFleet) { versions.replace("v2") }, 1, false},
		"both all the time":            {both(), nothing, nothing, 1, false},
		"one all the time":             {first(), nothing, nothing, 1, true},
		"one, killed twice":            {first(), nothing, nothing, 2, true},
		"replaced, killed twice":       {first(), nothing, func(versions *versionFleet) { versions.replace("v2") }, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			versions := startFleetOf(tester.NewFleet(t), restartedNodes, shape.versions)
			streams, wait := versions.begin(t, false)
			shape.before(versions)
			for restart := range shape.restarts {
				versions.restartAll([]string{"entry", "other"}[restart], func() { shape.during(versions) })
			}
			wait()
			whole := versions.takeUpRepeatedly(streams)
			t.Logf("%d of %d streams went on to their end", whole, restartedNodes*versionStreams)
			assertOneVersion(t, streams)
			assert.Check(t, !shape.goOn || whole == restartedNodes*versionStreams, "%d streams went on", whole)
			for _, stream := range streams[0] {
				assert.Check(t, stream.complete || stream.status == http.StatusServiceUnavailable, "status %d", stream.status)
			}
		})
	}
}

func first() []string { return []string{"v1"} }

func both() []string { return []string{"v1", "v2"} }

package membership_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

// observer polls one node to determine the configuration version that it applies.
type observer struct {
	node *tester.Node
	// newestSeen is the highest version that the node has applied in a response.
	newestSeen atomic.Int64
	violations []string
}

// writtenVersion is a version of the configuration with its only rule.
type writtenVersion struct {
	number    int
	path      string
	writtenAt time.Time
}

// history is the sequence of versions that the operator has written.
type history struct {
	mutex    sync.Mutex
	versions []writtenVersion
}

func (history *history) add(version writtenVersion) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.versions = append(history.versions, version)
}

// latest returns the newest version and the one before it.
func (history *history) latest() (newest, before writtenVersion) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	count := len(history.versions)
	return history.versions[count-1], history.versions[count-2]
}

// probe sends a request for the rule of the newest version, or of the one before it, and records a
// violation if the response must not come from that version.
func (observer *observer) probe(caller *tester.Client, history *history, previous bool) {
	newest, earlier := history.latest()
	probed := newest
	if previous {
		probed = earlier
	}
	sent := time.Now()
	reply := caller.Send(observer.node.Request(probed.path))
	switch {
	case reply.Status == http.StatusOK && int64(probed.number) < observer.newestSeen.Load():
		observer.addViolation("applied version %d after version %d", probed.number, observer.newestSeen.Load())
	case reply.Status == http.StatusOK && previous && observer.mustApply(newest, sent):
		observer.addViolation("applied version %d, %v after version %d was written", probed.number, sent.Sub(newest.writtenAt), newest.number)
	case reply.Status == http.StatusOK:
		observer.newestSeen.Store(max(observer.newestSeen.Load(), int64(probed.number)))
	case reply.Status == http.StatusNotFound && !previous && observer.mustApply(newest, sent) && isNewest(history, newest):
		observer.addViolation("has not applied version %d, %v after it was written", newest.number, sent.Sub(newest.writtenAt))
	}
}

// isNewest reports whether no later version has been written.
func isNewest(history *history, version writtenVersion) bool {
	newest, _ := history.latest()
	return newest.number == version.number
}

// mustApply reports whether the node has to apply the version: the time limit has passed, or the
// version had been written before the node's process started.
func (observer *observer) mustApply(version writtenVersion, sent time.Time) bool {
	return sent.Sub(version.writtenAt) > configurationTimeout || version.writtenAt.Before(observer.node.StartedAt)
}

func (observer *observer) addViolation(format string, arguments ...any) {
	observer.violations = append(observer.violations, observer.node.Name+" "+fmt.Sprintf(format, arguments...))
}

// observerGroup polls every node of a fleet from its start until stop is closed.
type observerGroup struct {
	fleet     *tester.Fleet
	history   *history
	stop      chan struct{}
	running   conc.WaitGroup
	observers []*observer
}

// observe starts to poll a node.
func (group *observerGroup) observe(node *tester.Node) {
	observer := &observer{node: node}
	group.observers = append(group.observers, observer)
	caller := tester.NewClient(group.fleet.T)
	group.running.Go(func() {
		for count := 0; ; count++ {
			select {
			case <-group.stop:
				return
			case <-time.After(tester.PollInterval):
				observer.probe(caller, group.history, count%2 == 1)
			}
		}
	})
}

// TestJoiningNodesAnswerAlike changes the configuration every half second, drains one upstream and
// compacts the store's history while nodes join. No node responds according to an outdated version
// or returns to an earlier one. A node that joins applies every version written before its start
// from its first response on, and the drained upstream receives no further requests from any node.
//
// It guards against nodes that give different responses to the same request for minutes.
func TestJoiningNodesAnswerAlike(t *testing.T) {
	tester.WithAndWithoutDelegation(t, joiningNodesAnswerAlike)
}

func joiningNodesAnswerAlike(t *testing.T, fleet *tester.Fleet) {
	recorder, history := newBookingRecorder(), &history{}
	write := func() {
		number := len(history.versions) + 1
		path := fmt.Sprintf("/v%d/", number)
		history.add(writtenVersion{number: number, path: path, writtenAt: fleet.Configure(tester.UnsafeRule(path))})
	}
	write()
	write()
	leaving := fleet.StartUpstream("u1", recorder.serve("u1"))
	group := &observerGroup{fleet: fleet, history: history, stop: make(chan struct{})}
	for number := range 2 {
		group.observe(fleet.StartNode(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range fleet.StartedNodes() {
		node.AwaitReady()
	}

	var drainingSince time.Time
	for step := range 8 {
		write()
		group.observe(fleet.StartNode(fmt.Sprintf("joined-%d", step)))
		switch step {
		case 2:
			fleet.StartUpstream("u2", recorder.serve("u2"))
			fleet.ListUpstream("u1", leaving.Listener.Addr().String(), "draining")
			drainingSince = time.Now()
		case 4:
			fleet.Store.Compact()
		}
		<-time.After(500 * time.Millisecond)
	}
	newest, _ := history.latest()
	for _, node := range fleet.StartedNodes() {
		tester.Eventually(t, configurationTimeout, node.Name+" applies the newest version", func() bool {
			return tester.NewClient(t).Send(node.Request(newest.path)).Status == http.StatusOK
		})
	}
	for _, observer := range group.observers {
		tester.Eventually(t, configurationTimeout, observer.node.Name+" is observed to apply the newest version", func() bool {
			return observer.newestSeen.Load() == int64(newest.number)
		})
	}
	close(group.stop)
	group.running.Wait()

	for _, observer := range group.observers {
		assert.DeepEqual(t, observer.violations, []string(nil))
		last := recorder.lastByNode["u1"][observer.node.Name]
		assert.Assert(t, last.Before(drainingSince.Add(tester.LeavingTimeout)), "%s used the upstream %v after it was listed as draining", observer.node.Name, last.Sub(drainingSince))
		if observer.node.StartedAt.After(drainingSince) {
			assert.Assert(t, last.IsZero(), "%s used an upstream that was listed as draining before the node started", observer.node.Name)
		}
	}
}

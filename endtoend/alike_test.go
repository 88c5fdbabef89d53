package endtoend_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// observer asks one node again and again by which version it answers.
type observer struct {
	node *node
	// newest is the highest version that the node has shown.
	newest atomic.Int64
	faults []string
}

// written is a version of the configuration with its one rule.
type written struct {
	number int
	path   string
	at     time.Time
}

// history is what the operator has written.
type history struct {
	mutex    sync.Mutex
	versions []written
}

func (history *history) add(version written) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.versions = append(history.versions, version)
}

// last returns the newest version and the one before it.
func (history *history) last() (newest, before written) {
	history.mutex.Lock()
	defer history.mutex.Unlock()
	count := len(history.versions)
	return history.versions[count-1], history.versions[count-2]
}

// look asks the node for the rule of the newest version, or of the one before, and notes
// what it may not answer.
func (observer *observer) look(caller *client, history *history, old bool) {
	newest, before := history.last()
	asked := newest
	if old {
		asked = before
	}
	sent := time.Now()
	got := caller.send(observer.node.request(asked.path))
	switch {
	case got.status == http.StatusOK && int64(asked.number) < observer.newest.Load():
		observer.fault("answers by version %d after %d", asked.number, observer.newest.Load())
	case got.status == http.StatusOK && old && observer.outdated(newest, sent):
		observer.fault("answers by version %d, %v after %d was written", asked.number, sent.Sub(newest.at), newest.number)
	case got.status == http.StatusOK:
		observer.newest.Store(max(observer.newest.Load(), int64(asked.number)))
	case got.status == http.StatusNotFound && !old && observer.outdated(newest, sent) && stands(history, newest):
		observer.fault("does not know version %d, %v after it was written", newest.number, sent.Sub(newest.at))
	}
}

// stands tells whether no other version was written meanwhile.
func stands(history *history, version written) bool {
	newest, _ := history.last()
	return newest.number == version.number
}

// outdated tells whether the node has to go by the version: the bound is over, or the
// version had been written before the node's process began.
func (observer *observer) outdated(version written, sent time.Time) bool {
	return sent.Sub(version.at) > inForceWithin || version.at.Before(observer.node.began)
}

func (observer *observer) fault(format string, arguments ...any) {
	observer.faults = append(observer.faults, observer.node.name+" "+fmt.Sprintf(format, arguments...))
}

// watchers asks every node of a fleet, from its start on, until over is closed.
type watchers struct {
	fleet   *fleet
	history *history
	over    chan struct{}
	group   conc.WaitGroup
	seen    []*observer
}

// watch begins to ask a node.
func (watchers *watchers) watch(node *node) {
	observer := &observer{node: node}
	watchers.seen = append(watchers.seen, observer)
	caller := newClient(watchers.fleet.t)
	watchers.group.Go(func() {
		for asked := 0; ; asked++ {
			select {
			case <-watchers.over:
				return
			case <-time.After(pollEvery):
				observer.look(caller, watchers.history, asked%2 == 1)
			}
		}
	})
}

// TestJoiningNodesAnswerAlike changes the configuration each half second, makes one
// upstream leave and forgets the store's history while nodes join: no node answers by a
// version that is out of date, none goes back to an earlier one, a joined one goes by
// what was written before it began from its first answer on, and the upstream that left
// gets nothing more from any.
//
// The users' counters got different answers for the same article within minutes.
func TestJoiningNodesAnswerAlike(t *testing.T) { inBothWays(t, joiningNodesAnswerAlike) }

func joiningNodesAnswerAlike(t *testing.T, fleet *fleet) {
	desk, history := newDesk(), &history{}
	write := func() {
		number := len(history.versions) + 1
		path := fmt.Sprintf("/v%d/", number)
		history.add(written{number: number, path: path, at: fleet.configure(unsafeRule(path))})
	}
	write()
	write()
	leaving := fleet.upstream("u1", desk.serve("u1"))
	watchers := &watchers{fleet: fleet, history: history, over: make(chan struct{})}
	for number := range 2 {
		watchers.watch(fleet.join(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range fleet.all() {
		node.awaitReady()
	}

	var left time.Time
	for step := range 8 {
		write()
		watchers.watch(fleet.join(fmt.Sprintf("joined-%d", step)))
		switch step {
		case 2:
			fleet.upstream("u2", desk.serve("u2"))
			fleet.list("u1", leaving.Listener.Addr().String(), "draining")
			left = time.Now()
		case 4:
			fleet.store.Compact()
		}
		<-time.After(500 * time.Millisecond)
	}
	newest, _ := history.last()
	for _, node := range fleet.all() {
		eventually(t, inForceWithin, node.name+" goes by the newest version", func() bool {
			return newClient(t).send(node.request(newest.path)).status == http.StatusOK
		})
	}
	for _, observer := range watchers.seen {
		eventually(t, inForceWithin, observer.node.name+" is seen to go by it", func() bool {
			return observer.newest.Load() == int64(newest.number)
		})
	}
	close(watchers.over)
	watchers.group.Wait()

	for _, observer := range watchers.seen {
		assert.DeepEqual(t, observer.faults, []string(nil))
		last := desk.lastByNode["u1"][observer.node.name]
		assert.Assert(t, last.Before(left.Add(leavingWithin)), "%s used the upstream %v after it left", observer.node.name, last.Sub(left))
		if observer.node.began.After(left) {
			assert.Assert(t, last.IsZero(), "%s used an upstream that had left before it began", observer.node.name)
		}
	}
}

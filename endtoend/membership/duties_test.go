package membership_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/office"
	"limpetcleat/standin/tester"
)

const (
	// The platform's time limits for duties.
	dutyLease    = time.Second
	dutyWindow   = time.Second
	dutyDeadline = 6 * time.Second
	// usageErrorTolerance is the allowed relative difference between the reported number of
	// requests and the number that started.
	usageErrorTolerance = 0.05
	dutyNodes           = 4
)

// startCounter counts the requests that start at an upstream, by usage window.
type startCounter struct {
	mutex  sync.Mutex
	counts map[uint64]uint64
}

func windowOf(at time.Time) uint64 { return uint64(time.Duration(at.UnixNano()) / dutyWindow) }

func (counter *startCounter) add() {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.counts[windowOf(time.Now())]++
}

// dutyFleet is a fleet on a platform that assigns duties.
type dutyFleet struct {
	*tester.Fleet
	office  *office.Office
	started *startCounter
}

func newDutyFleet(t *testing.T) *dutyFleet {
	t.Helper()
	fleet := tester.NewFleet(t)
	office := office.New(dutyLease, func(office.Order) bool { return true })
	server := httptest.NewServer(office.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	fleet.DutySettings = fmt.Sprintf("cloud_api: {address: %q, duties: [usage]}\n", server.Listener.Addr().String())
	fleet.DutyBoundSettings = fmt.Sprintf(", lease_ms: %d, usage_window_s: %g, usage_late_s: %g", dutyLease.Milliseconds(), dutyWindow.Seconds(), dutyDeadline.Seconds())
	duties := &dutyFleet{Fleet: fleet, office: office, started: &startCounter{counts: make(map[uint64]uint64)}}
	fleet.Configure(tester.UnsafeRule("/desk/"))
	fleet.StartUpstream("u1", func(writer http.ResponseWriter, request *http.Request) {
		duties.started.add()
		tester.WriteAttemptHeaders(writer, request)
	})
	return duties
}

// startNodes starts the nodes, each with its own link to the store.
func (duties *dutyFleet) startNodes() (links []*storeLink) {
	for number := range dutyNodes {
		link := &storeLink{handler: duties.Store.Handler()}
		server := httptest.NewServer(link)
		duties.T.Cleanup(func() {
			link.setCut(false)
			server.CloseClientConnections()
			server.Close()
		})
		duties.StoreAddress = server.Listener.Addr().String()
		duties.StartNode(fmt.Sprintf("entry-%d", number))
		links = append(links, link)
	}
	for _, node := range duties.StartedNodes() {
		node.AwaitReady()
	}
	return links
}

// storeLink is a node's link to the store, which a test can cut.
type storeLink struct {
	handler http.Handler

	// mutex guards restored, which is nil while the link works and otherwise a channel that is
	// closed when the link is restored.
	mutex    sync.Mutex
	restored chan struct{}
}

// setCut cuts or restores the link.
func (link *storeLink) setCut(cut bool) {
	link.mutex.Lock()
	defer link.mutex.Unlock()
	switch {
	case cut && link.restored == nil:
		link.restored = make(chan struct{})
	case !cut && link.restored != nil:
		close(link.restored)
		link.restored = nil
	}
}

// ServeHTTP forwards a call to the store. While the link is cut, it blocks until the link is
// restored or the call is cancelled, and responds with status 503.
func (link *storeLink) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	link.mutex.Lock()
	restored := link.restored
	link.mutex.Unlock()
	if restored != nil {
		select {
		case <-restored:
		case <-request.Context().Done():
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	link.handler.ServeHTTP(writer, request)
}

// sendLoadToAll sends requests to all nodes until the given time; failed requests are ignored.
func (duties *dutyFleet) sendLoadToAll(until time.Time) {
	var callers conc.WaitGroup
	for _, node := range duties.StartedNodes() {
		callers.Go(func() {
			client := tester.NewClient(duties.T)
			for time.Now().Before(until) {
				client.Send(node.Request("/desk/"))
				<-time.After(4 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// checkReports checks that every window between two times was reported before its deadline, and
// returns the number of windows whose report differs by more than the tolerance.
func (duties *dutyFleet) checkReports(from, until time.Time) (wrongWindows int) {
	duties.T.Helper()
	reported := make(map[uint64]office.Report)
	for _, report := range duties.office.Reports() {
		reported[report.Window] = report
	}
	for window := windowOf(from); window < windowOf(until); window++ {
		report, found := reported[window]
		end := time.Unix(0, int64(time.Duration(window+1)*dutyWindow))
		assert.Assert(duties.T, found && report.At.Sub(end) <= dutyDeadline, "window %d: reported %t, %v after its end", window, found, report.At.Sub(end))
		started := float64(duties.started.counts[window])
		if diff := float64(report.Counts["guild"]) - started; max(diff, -diff) > max(usageErrorTolerance*started, 1) {
			duties.T.Logf("window %d: reported %v, started %v", window, report.Counts, started)
			wrongWindows++
		}
	}
	return wrongWindows
}

// TestUsageIsToldByProcesses lets real processes report usage while the holder of the duty is
// killed, is frozen, or is disconnected from the store. Each window is reported once and before its
// deadline, and the counts are correct except for windows in which a failed process lost its
// counts.
func TestUsageIsToldByProcesses(t *testing.T) {
	cases := []struct {
		name   string
		inject func(holder *tester.Node, link *storeLink) (heal func())
		// wrongWindows is the number of windows that may miss the counts of a failed process.
		wrongWindows int
	}{
		{"calm", func(*tester.Node, *storeLink) func() { return func() {} }, 0},
		{"killed", func(holder *tester.Node, _ *storeLink) func() { holder.Kill(); return func() {} }, 1},
		{"frozen", func(holder *tester.Node, _ *storeLink) func() { holder.Suspend(); return holder.Resume }, 2},
		{"cut from the store", func(_ *tester.Node, link *storeLink) func() { link.setCut(true); return func() { link.setCut(false) } }, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			duties := newDutyFleet(t)
			links := duties.startNodes()
			startedAt := time.Now()
			until := startedAt.Add(11 * time.Second)
			var load conc.WaitGroup
			load.Go(func() { duties.sendLoadToAll(until) })
			<-time.After(4500 * time.Millisecond)
			reports := duties.office.Reports()
			assert.Assert(t, len(reports) > 0, "no usage has been reported")
			holder := reports[len(reports)-1].Holder
			for index, node := range duties.StartedNodes() {
				if node.Name == holder {
					heal := test.inject(node, links[index])
					defer heal()
					<-time.After(2500 * time.Millisecond)
					heal()
				}
			}
			load.Wait()
			<-time.After(dutyDeadline / 2)
			wrongWindows := duties.checkReports(startedAt.Add(dutyWindow), until.Add(-dutyWindow))
			assert.Assert(t, wrongWindows <= test.wrongWindows, "%d windows have wrong counts", wrongWindows)
			assert.DeepEqual(t, duties.office.Violations(), []string(nil))
		})
	}
}

// TestUsageThatThePlatformTakesLate leaves reports without a response while the platform applies
// them seconds later: each window is reported once, with its settled counts.
func TestUsageThatThePlatformTakesLate(t *testing.T) {
	duties := newDutyFleet(t)
	duties.startNodes()
	startedAt := time.Now()
	until := startedAt.Add(11 * time.Second)
	var load conc.WaitGroup
	load.Go(func() { duties.sendLoadToAll(until) })
	<-time.After(5 * time.Second)
	duties.office.SetDelay(3 * time.Second)
	<-time.After(3 * time.Second)
	duties.office.SetDelay(0)
	load.Wait()
	<-time.After(dutyDeadline / 2)
	assert.Equal(t, duties.checkReports(startedAt.Add(dutyWindow), until.Add(-dutyWindow)), 0)
	assert.DeepEqual(t, duties.office.Violations(), []string(nil))
}

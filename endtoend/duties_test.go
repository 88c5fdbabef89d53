package endtoend_test

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
)

const (
	// The platform's bounds of duties in these tests.
	dutyLease    = time.Second
	dutyWindow   = time.Second
	dutyDeadline = 6 * time.Second
	// usageTolerance is how far what is told may be from what began.
	usageTolerance = 0.05
	dutyNodes      = 4
)

// began counts the requests that begin at it, by window.
type began struct {
	mutex  sync.Mutex
	counts map[uint64]uint64
}

func windowOf(at time.Time) uint64 { return uint64(time.Duration(at.UnixNano()) / dutyWindow) }

func (began *began) count() {
	began.mutex.Lock()
	defer began.mutex.Unlock()
	began.counts[windowOf(time.Now())]++
}

// dutyFleet is a fleet before a platform that has duties.
type dutyFleet struct {
	*fleet
	office *office.Office
	began  *began
}

func newDutyFleet(t *testing.T) *dutyFleet {
	t.Helper()
	fleet := newFleet(t)
	office := office.New(dutyLease, func(office.Order) bool { return true })
	server := httptest.NewServer(office.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	fleet.duties = fmt.Sprintf("cloud_api: {address: %q, duties: [usage]}\n", server.Listener.Addr().String())
	fleet.dutyBounds = fmt.Sprintf(", lease_ms: %d, usage_window_s: %g, usage_late_s: %g", dutyLease.Milliseconds(), dutyWindow.Seconds(), dutyDeadline.Seconds())
	duties := &dutyFleet{fleet: fleet, office: office, began: &began{counts: make(map[uint64]uint64)}}
	fleet.configure(unsafeRule("/desk/"))
	fleet.upstream("u1", func(writer http.ResponseWriter, request *http.Request) {
		duties.began.count()
		sign(writer, request)
	})
	return duties
}

// startAll starts the nodes, each over a way to the store of its own.
func (duties *dutyFleet) startAll() (ways []*way) {
	for number := range dutyNodes {
		way := &way{handler: duties.store.Handler()}
		server := httptest.NewServer(way)
		duties.t.Cleanup(func() {
			way.cut(false)
			server.CloseClientConnections()
			server.Close()
		})
		duties.storeAddress = server.Listener.Addr().String()
		duties.join(fmt.Sprintf("entry-%d", number))
		ways = append(ways, way)
	}
	for _, node := range duties.all() {
		node.awaitReady()
	}
	return ways
}

// way is a node's way to the store, which may be cut.
type way struct {
	handler http.Handler

	// mutex guards severed, which is closed when the way is there again; nil while it is.
	mutex   sync.Mutex
	severed chan struct{}
}

// cut cuts the way, or mends it.
func (way *way) cut(cut bool) {
	way.mutex.Lock()
	defer way.mutex.Unlock()
	switch {
	case cut && way.severed == nil:
		way.severed = make(chan struct{})
	case !cut && way.severed != nil:
		close(way.severed)
		way.severed = nil
	}
}

// ServeHTTP passes a call on, or none while the way is cut.
func (way *way) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	way.mutex.Lock()
	severed := way.severed
	way.mutex.Unlock()
	if severed != nil {
		select {
		case <-severed:
		case <-request.Context().Done():
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	way.handler.ServeHTTP(writer, request)
}

// askAll asks at all nodes again and again until the time; nodes that are away are asked
// for nothing.
func (duties *dutyFleet) askAll(until time.Time) {
	var callers conc.WaitGroup
	for _, node := range duties.all() {
		callers.Go(func() {
			client := newClient(duties.t)
			for time.Now().Before(until) {
				client.send(node.request("/desk/"))
				<-time.After(4 * time.Millisecond)
			}
		})
	}
	callers.Wait()
}

// checkTold holds that every window between two times was told in time, and returns how
// many are off by more than the tolerance.
func (duties *dutyFleet) checkTold(from, until time.Time) (off int) {
	duties.t.Helper()
	told := make(map[uint64]office.Report)
	for _, report := range duties.office.Reports() {
		told[report.Window] = report
	}
	for window := windowOf(from); window < windowOf(until); window++ {
		report, is := told[window]
		end := time.Unix(0, int64(time.Duration(window+1)*dutyWindow))
		assert.Assert(duties.t, is && report.At.Sub(end) <= dutyDeadline, "window %d: told %t, %v after its end", window, is, report.At.Sub(end))
		truth := float64(duties.began.counts[window])
		if diff := float64(report.Counts["guild"]) - truth; max(diff, -diff) > max(usageTolerance*truth, 1) {
			duties.t.Logf("window %d: told %v, began %v", window, report.Counts, truth)
			off++
		}
	}
	return off
}

// TestUsageIsToldByProcesses has real processes tell usage while the holder is killed, is
// frozen, or loses its way to the store: each window is told in time and once, and all but
// those in which a process took counts with it are right.
func TestUsageIsToldByProcesses(t *testing.T) {
	cases := []struct {
		name    string
		trouble func(holder *node, way *way) (end func())
		// off is how many windows may miss what a process took with it.
		off int
	}{
		{"calm", func(*node, *way) func() { return func() {} }, 0},
		{"killed", func(holder *node, _ *way) func() { holder.Kill(); return func() {} }, 1},
		{"frozen", func(holder *node, _ *way) func() { holder.Freeze(); return holder.Thaw }, 2},
		{"cut from the store", func(_ *node, way *way) func() { way.cut(true); return func() { way.cut(false) } }, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			duties := newDutyFleet(t)
			ways := duties.startAll()
			began := time.Now()
			over := began.Add(11 * time.Second)
			var asking conc.WaitGroup
			asking.Go(func() { duties.askAll(over) })
			<-time.After(4500 * time.Millisecond)
			reports := duties.office.Reports()
			assert.Assert(t, len(reports) > 0, "nothing was told yet")
			holder := reports[len(reports)-1].Holder
			for place, node := range duties.all() {
				if node.name == holder {
					end := test.trouble(node, ways[place])
					defer end()
					<-time.After(2500 * time.Millisecond)
					end()
				}
			}
			asking.Wait()
			<-time.After(dutyDeadline / 2)
			off := duties.checkTold(began.Add(dutyWindow), over.Add(-dutyWindow))
			assert.Assert(t, off <= test.off, "%d windows are off", off)
			assert.DeepEqual(t, duties.office.Breaches(), []string(nil))
		})
	}
}

// TestUsageThatThePlatformTakesLate has reports get no answer and be carried out seconds
// later: each window is told as it was settled, once.
func TestUsageThatThePlatformTakesLate(t *testing.T) {
	duties := newDutyFleet(t)
	duties.startAll()
	began := time.Now()
	over := began.Add(11 * time.Second)
	var asking conc.WaitGroup
	asking.Go(func() { duties.askAll(over) })
	<-time.After(5 * time.Second)
	duties.office.Delay(3 * time.Second)
	<-time.After(3 * time.Second)
	duties.office.Delay(0)
	asking.Wait()
	<-time.After(dutyDeadline / 2)
	assert.Equal(t, duties.checkTold(began.Add(dutyWindow), over.Add(-dutyWindow)), 0)
	assert.DeepEqual(t, duties.office.Breaches(), []string(nil))
}

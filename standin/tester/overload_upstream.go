package tester

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/measurer"
)

// Overload describes an upstream that rejects the requests for which it has no room, and that may
// crash if it has to reject too many.
type Overload struct {
	// Slots is the number of requests that run at a time, Places the number that may wait.
	Slots  int
	Places int
	// Work is how long a request runs.
	Work time.Duration
	// Downtime is the time from a crash to the next start.
	Downtime time.Duration
	// Connections is the number of connections that are accepted at a time, further ones are reset; 0 is
	// without limit.
	Connections int
	// CrowdedConnections replaces Connections while more than half of the places are taken; 0 means that it
	// does not.
	CrowdedConnections int
}

// OverloadUpstream is an upstream with a bounded queue. It records what it rejects and its crashes.
type OverloadUpstream struct {
	Name     string
	fleet    *Fleet
	overload Overload
	address  string
	group    conc.WaitGroup
	// connections counts the connections of all starts.
	connections *connectionCounter
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// places is the current number of places, inFlight the number of requests that run or wait.
	places   int
	inFlight int
	// announced is the header value that states how many rejections the upstream tolerates per
	// second; it crashes at more than tolerated unless that is empty.
	announced  string
	tolerated  int
	rejections []time.Time
	falls      int
	server     *http.Server
	closed     bool
	starts     int
}

// StartOverloadUpstream starts and lists an upstream with a bounded queue.
func StartOverloadUpstream(fleet *Fleet, name string, overload Overload) *OverloadUpstream {
	fleet.T.Helper()
	upstream := &OverloadUpstream{Name: name, fleet: fleet, overload: overload, places: overload.Places}
	listener, err := net.Listen("tcp", Loopback+":0")
	assert.NilError(fleet.T, err)
	upstream.address = listener.Addr().String()
	upstream.connections = &connectionCounter{most: overload.Connections, crowdedMost: overload.CrowdedConnections}
	if overload.CrowdedConnections > 0 {
		upstream.connections.crowded = upstream.crowded
	}
	upstream.run(listener)
	fleet.T.Cleanup(upstream.close)
	return upstream
}

// Announce makes the upstream state in its answers how many rejections it tolerates per second, and
// crash above that.
func (upstream *OverloadUpstream) Announce(tolerated int) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.announced, upstream.tolerated = strconv.Itoa(tolerated), tolerated
}

// Conceal ends the statement; the upstream no longer crashes.
func (upstream *OverloadUpstream) Conceal() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.announced = ""
}

// SetWork changes how long a request runs.
func (upstream *OverloadUpstream) SetWork(work time.Duration) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.overload.Work = work
}

// Connections returns the largest number of connections that were open at a time, and how many were reset
// because no more were accepted.
func (upstream *OverloadUpstream) Connections() (most, reset int) {
	return upstream.connections.counts()
}

// SetPlaces changes the number of requests that may wait.
func (upstream *OverloadUpstream) SetPlaces(places int) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.places = places
}

// Rejections returns the number of rejected requests, and the largest number within a second.
func (upstream *OverloadUpstream) Rejections() (all, mostInSecond int) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return len(upstream.rejections), measurer.MaxInWindow(upstream.rejections, time.Second)
}

// Falls returns how often the upstream has crashed because it rejected too many requests.
func (upstream *OverloadUpstream) Falls() int {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.falls
}

// Crash ends the upstream and its requests, and starts it again after its downtime.
func (upstream *OverloadUpstream) Crash() {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	upstream.crash()
}

// crash ends the upstream. The mutex is held.
func (upstream *OverloadUpstream) crash() {
	server := upstream.server
	if server == nil || upstream.closed {
		return
	}
	upstream.server = nil
	upstream.group.Go(func() {
		_ = server.Close() // Running requests must be cut off.
		<-time.After(upstream.overload.Downtime)
		listener, err := net.Listen("tcp", upstream.address)
		if assert.Check(upstream.fleet.T, err) {
			upstream.run(listener)
		}
	})
}

// run serves a new start of the upstream and lists it.
func (upstream *OverloadUpstream) run(listener net.Listener) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.closed {
		assert.Check(upstream.fleet.T, listener.Close())
		return
	}
	upstream.starts++
	upstream.inFlight = 0
	slots, start := make(chan struct{}, upstream.overload.Slots), upstream.starts
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		upstream.serve(writer, request, slots, start)
	})}
	upstream.server = server
	listener = boundedListener{Listener: listener, connections: upstream.connections}
	upstream.group.Go(func() { _ = server.Serve(listener) }) // Serve returns an error once the server is closed.
	upstream.fleet.PutUpstream(upstream.Name, upstream.address, map[string]any{"slots": upstream.overload.Slots, "born": 1000 + start})
}

func (upstream *OverloadUpstream) serve(writer http.ResponseWriter, request *http.Request, slots chan struct{}, start int) {
	_, _ = io.Copy(io.Discard, request.Body)
	WriteAttemptHeaders(writer, request)
	if !upstream.admit(writer.Header(), start) {
		writer.Header().Del("X-Response-Seal")
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer upstream.end(start)
	select {
	case slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	<-time.After(upstream.work())
	<-slots
	_, _ = io.WriteString(writer, "served") // A disconnected caller needs no response.
}

// work returns how long a request runs.
func (upstream *OverloadUpstream) work() time.Duration {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return upstream.overload.Work
}

// crowded reports whether more than half of the places are taken.
func (upstream *OverloadUpstream) crowded() bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	return 2*(upstream.inFlight-upstream.overload.Slots) > upstream.places
}

// admit reports whether there is room for another request, and sets the announcement. It crashes
// the upstream if it rejects too many.
func (upstream *OverloadUpstream) admit(header http.Header, start int) bool {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if upstream.announced != "" {
		header.Set("Server-Brittle", upstream.announced)
	}
	if upstream.inFlight < upstream.overload.Slots+upstream.places {
		upstream.inFlight++
		return true
	}
	now := time.Now()
	upstream.rejections = append(upstream.rejections, now)
	if upstream.announced != "" && upstream.server != nil && start == upstream.starts && upstream.rejectedSince(now.Add(-time.Second)) > upstream.tolerated {
		upstream.falls++
		upstream.crash()
	}
	return false
}

// rejectedSince counts the rejections after the time. The mutex is held.
func (upstream *OverloadUpstream) rejectedSince(from time.Time) int {
	count := 0
	for _, at := range upstream.rejections {
		if at.After(from) {
			count++
		}
	}
	return count
}

func (upstream *OverloadUpstream) end(start int) {
	upstream.mutex.Lock()
	defer upstream.mutex.Unlock()
	if start == upstream.starts {
		upstream.inFlight--
	}
}

func (upstream *OverloadUpstream) close() {
	upstream.mutex.Lock()
	upstream.closed = true
	server := upstream.server
	upstream.mutex.Unlock()
	if server != nil {
		_ = server.Close() // Its connections are no longer needed.
	}
	upstream.group.Wait()
}

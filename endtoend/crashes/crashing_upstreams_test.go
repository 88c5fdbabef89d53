package crashes_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

// crashingUpstreams are upstreams that some requests crash, with a record of their sends and the
// crashes.
type crashingUpstreams struct {
	fleet *tester.Fleet
	// isCrashing reports whether a request crashes the upstream that runs it.
	isCrashing func(request *http.Request, body string) bool
	// respond serves the other requests.
	respond http.HandlerFunc
	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	// sends are the times at which a crashing request reached an upstream, crashes those at which
	// an upstream crashed.
	sends   []time.Time
	crashes []time.Time
	// harmless is set once the crashing requests run like any other.
	harmless atomic.Bool
	// closed is set once crashed upstreams must no longer restart.
	closed  bool
	servers []*http.Server
	group   conc.WaitGroup
}

// startCrashingUpstreams starts and lists the upstreams.
func startCrashingUpstreams(t *testing.T, fleet *tester.Fleet, isCrashing func(request *http.Request, body string) bool, respond http.HandlerFunc) *crashingUpstreams {
	t.Helper()
	upstreams := &crashingUpstreams{fleet: fleet, isCrashing: isCrashing, respond: respond}
	for number := range crashUpstreams {
		listener, err := net.Listen("tcp", tester.Loopback+":0")
		assert.NilError(t, err)
		upstreams.serve(fmt.Sprintf("u%02d", number), listener, 1000)
	}
	t.Cleanup(upstreams.close)
	return upstreams
}

// serve runs an upstream until it crashes, and lists it with its start number.
func (upstreams *crashingUpstreams) serve(name string, listener net.Listener, start int) {
	var once sync.Once
	server := &http.Server{}
	crash := func() { once.Do(func() { upstreams.crash(name, listener.Addr().String(), server, start) }) }
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err == nil && upstreams.isCrashing(request, string(body)) && !upstreams.harmless.Load() {
			upstreams.recordTime(&upstreams.sends)
			<-time.After(crashDelay)
			crash()
			return
		}
		upstreams.respond(writer, request)
	})
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	if upstreams.closed {
		assert.Check(upstreams.fleet.T, listener.Close())
		return
	}
	upstreams.servers = append(upstreams.servers, server)
	upstreams.group.Go(func() { _ = server.Serve(listener) }) // Serve returns an error once the server is closed.
	assert.Check(upstreams.fleet.T, upstreams.fleet.Store.Put("servers", name, map[string]any{
		"service": "desk", "address": listener.Addr().String(), "zone": tester.West, "state": "ready", "born": start,
	}))
}

// crash closes an upstream with all its running requests, and restarts it after restartDelay.
func (upstreams *crashingUpstreams) crash(name, address string, server *http.Server, start int) {
	upstreams.recordTime(&upstreams.crashes)
	upstreams.group.Go(func() {
		_ = server.Close() // Running requests must be cut off.
		<-time.After(restartDelay)
		listener, err := net.Listen("tcp", address)
		if assert.Check(upstreams.fleet.T, err) {
			upstreams.serve(name, listener, start+1)
		}
	})
}

func (upstreams *crashingUpstreams) recordTime(times *[]time.Time) {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	*times = append(*times, time.Now())
}

func (upstreams *crashingUpstreams) close() {
	upstreams.mutex.Lock()
	upstreams.closed = true
	servers := upstreams.servers
	upstreams.mutex.Unlock()
	for _, server := range servers {
		_ = server.Close() // Some servers are already closed.
	}
	upstreams.group.Wait()
}

// respondAfterWork responds once the work of a request is done.
func respondAfterWork(writer http.ResponseWriter, request *http.Request) {
	<-time.After(otherWork)
	tester.WriteAttemptHeaders(writer, request)
	_, _ = io.WriteString(writer, "served") // A disconnected caller needs no response.
}

// lateSends returns the number of sends after the detection timeout, and the time from which they
// count. The time is zero if fewer upstreams than detection needs have crashed.
func (upstreams *crashingUpstreams) lateSends(detection int) (from time.Time, sends int) {
	upstreams.mutex.Lock()
	defer upstreams.mutex.Unlock()
	if len(upstreams.crashes) < detection {
		return time.Time{}, 0
	}
	from = upstreams.crashes[detection-1].Add(detectionTimeout)
	for _, sent := range upstreams.sends {
		if sent.After(from) {
			sends++
		}
	}
	return from, sends
}

package endtoend_test

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
)

// fragile is the upstreams that the crashing request ends, and what they witnessed of it.
type fragile struct {
	fleet *fleet
	// mutex guards the rest; no other lock is taken under it.
	mutex sync.Mutex
	// sends are the times at which it reached an upstream, ends those at which one ended.
	sends []time.Time
	ends  []time.Time
	// mended is set once the request runs like any other.
	mended atomic.Bool
	// closed is set once no upstream is to come back.
	closed  bool
	servers []*http.Server
	group   conc.WaitGroup
}

// startFragile starts and lists the upstreams.
func startFragile(t *testing.T, fleet *fleet) *fragile {
	t.Helper()
	fragile := &fragile{fleet: fleet}
	for number := range crashUpstreams {
		listener, err := net.Listen("tcp", loopback+":0")
		assert.NilError(t, err)
		fragile.serve(fmt.Sprintf("u%02d", number), listener, 1000)
	}
	t.Cleanup(fragile.close)
	return fragile
}

// serve runs an upstream until it ends, and lists it under its start.
func (fragile *fragile) serve(name string, listener net.Listener, born int) {
	var once sync.Once
	server := &http.Server{}
	end := func() { once.Do(func() { fragile.end(name, listener.Addr().String(), server, born) }) }
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(request.Body)
		if err == nil && string(body) == crashingBody && !fragile.mended.Load() {
			fragile.note(&fragile.sends)
			<-time.After(crashAfter)
			end()
			return
		}
		<-time.After(otherWork)
		sign(writer, request)
		_, _ = io.WriteString(writer, "served") // A caller that has left needs no answer.
	})
	fragile.mutex.Lock()
	defer fragile.mutex.Unlock()
	if fragile.closed {
		assert.Check(fragile.fleet.t, listener.Close())
		return
	}
	fragile.servers = append(fragile.servers, server)
	fragile.group.Go(func() { _ = server.Serve(listener) }) // It ends by being closed.
	assert.Check(fragile.fleet.t, fragile.fleet.store.Put("servers", name, map[string]any{
		"service": "desk", "address": listener.Addr().String(), "zone": west, "state": "ready", "born": born,
	}))
}

// end ends an upstream at once, with all that runs there, and has it come back.
func (fragile *fragile) end(name, address string, server *http.Server, born int) {
	fragile.note(&fragile.ends)
	fragile.group.Go(func() {
		_ = server.Close() // What runs there is to break off.
		<-time.After(crashedFor)
		listener, err := net.Listen("tcp", address)
		if assert.Check(fragile.fleet.t, err) {
			fragile.serve(name, listener, born+1)
		}
	})
}

func (fragile *fragile) note(times *[]time.Time) {
	fragile.mutex.Lock()
	defer fragile.mutex.Unlock()
	*times = append(*times, time.Now())
}

func (fragile *fragile) close() {
	fragile.mutex.Lock()
	fragile.closed = true
	servers := fragile.servers
	fragile.mutex.Unlock()
	for _, server := range servers {
		_ = server.Close() // Some have ended before.
	}
	fragile.group.Wait()
}

// known returns from when on sends are counted, and those of them; the time is zero when
// too few upstreams have ended.
func (fragile *fragile) known() (from time.Time, sends int) {
	fragile.mutex.Lock()
	defer fragile.mutex.Unlock()
	if len(fragile.ends) < crashedEnough {
		return time.Time{}, 0
	}
	from = fragile.ends[crashedEnough-1].Add(knownWithin)
	for _, sent := range fragile.sends {
		if sent.After(from) {
			sends++
		}
	}
	return from, sends
}

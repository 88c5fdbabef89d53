package endtoend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/process"
)

const (
	// upstreamVariable names the environment variable that makes the test's own binary an
	// upstream of the users' platform; it holds the word that it answers with.
	upstreamVariable = "LIMPETCLEAT_TEST_UPSTREAM"
	// longWork is how long an upstream works on a request for /long/, far above what the
	// test waits.
	longWork = 30 * time.Second
)

// serveUpstream answers as an upstream of the users' platform does, until it is killed.
func serveUpstream(word string) error {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return err
	}
	fmt.Println("listens on", listener.Addr())
	return http.Serve(listener, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.URL.Path, "/long/") {
			fmt.Println("works")
			<-time.After(longWork)
		}
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		writer.Header().Set("X-Response-Seal", "signed")
		_, _ = io.WriteString(writer, word) // A caller that has left needs no answer.
	}))
}

// startAs starts the test's own binary as an upstream, and returns it with its address.
func startAs(t *testing.T, directory, word string) (*child, string) {
	t.Helper()
	t.Setenv(upstreamVariable, word)
	started, err := process.Start(filepath.Join(directory, word+".log"), os.Args[0])
	assert.NilError(t, err)
	assert.NilError(t, os.Unsetenv(upstreamVariable))
	t.Cleanup(started.Kill)
	upstream := &child{Process: started, t: t, name: word}
	return upstream, upstream.listening()
}

// TestUpstreamStartsAgainUnderItsName has an upstream killed, and one frozen, while each
// works on a request that may not be repeated, and started again under its name, in
// separate processes and beside a foreign writer's entry in the store: each request is
// answered at once that it may have run, and the next one is served by the later start.
func TestUpstreamStartsAgainUnderItsName(t *testing.T) {
	fleet := newFleet(t)
	rule := unsafeRule("/")
	rule["timeout_ms"] = 20000
	fleet.configure(rule)
	list := func(address string, born int) {
		assert.NilError(t, fleet.store.Put("servers", "u1", map[string]any{"service": "desk", "address": address, "zone": "west", "state": "ready", "born": born}))
	}
	assert.NilError(t, fleet.store.Put("servers", "foreign", map[string]any{"service": 7, "state": "ready"}))
	first, address := startAs(t, fleet.directory, "first")
	list(address, 1000)
	entry, caller := fleet.join("entry-1"), newClient(t)
	t.Cleanup(func() { show(t, first) })
	served := func(word string) func() bool {
		return func() bool {
			got := caller.send(entry.request("/short/"))
			return got.status == http.StatusOK && got.text == word
		}
	}
	eventually(t, startLimit, "the first start serves", served("first"))

	working := first
	for index, end := range []func(){first.Kill, func() { working.Freeze() }} {
		status := make(chan int, 1)
		go func() {
			status <- caller.send(entry.request("/long/")).status
		}()
		eventually(t, startLimit, "the request is being worked on", func() bool {
			text, err := working.Text()
			return err == nil && strings.Contains(text, "works")
		})
		end()
		word := fmt.Sprintf("later-%d", index)
		later, address := startAs(t, fleet.directory, word)
		list(address, 2000+index)
		began := time.Now()
		assert.Equal(t, <-status, http.StatusBadGateway)
		assert.Assert(t, time.Since(began) < quickLimit, "the answer took %v", time.Since(began))
		eventually(t, startLimit, word+" serves", served(word))
		working = later
	}
}

package streams_test

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
	"limpetcleat/standin/tester"
)

const (
	// upstreamVariable names the environment variable that makes the test binary serve as an
	// upstream of the users' platform; its value is the upstream's response body.
	upstreamVariable = "LIMPETCLEAT_TEST_UPSTREAM"
	// longWork is the time that an upstream needs for a request to /long/, far longer than the test
	// waits.
	longWork = 30 * time.Second
)

// serveUpstream serves as an upstream of the users' platform until it is killed.
func serveUpstream(answer string) error {
	listener, err := net.Listen("tcp", tester.Loopback+":0")
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
		_, _ = io.WriteString(writer, answer) // A disconnected caller needs no response.
	}))
}

// startTestUpstream starts the test binary as an upstream and returns it with its address.
func startTestUpstream(t *testing.T, directory, answer string) (*tester.Child, string) {
	t.Helper()
	t.Setenv(upstreamVariable, answer)
	started, err := process.Start(filepath.Join(directory, answer+".log"), os.Args[0])
	assert.NilError(t, err)
	assert.NilError(t, os.Unsetenv(upstreamVariable))
	t.Cleanup(started.Kill)
	upstream := &tester.Child{Process: started, T: t, Name: answer}
	return upstream, upstream.AwaitListenAddress()
}

// TestUpstreamStartsAgainUnderItsName kills an upstream, and later freezes its successor, while
// each runs a request that must not be repeated, and starts a new process under the same name. The
// upstreams are separate processes, and the store also contains a malformed entry of another
// writer. Each request fails at once with the status for an unknown outcome, and the next request
// is served by the new process.
func TestUpstreamStartsAgainUnderItsName(t *testing.T) {
	fleet := tester.NewFleet(t)
	rule := tester.UnsafeRule("/")
	rule["timeout_ms"] = 20000
	fleet.Configure(rule)
	listUpstream := func(address string, born int) {
		assert.NilError(t, fleet.Store.Put("servers", "u1", map[string]any{"service": "desk", "address": address, "zone": "west", "state": "ready", "born": born}))
	}
	assert.NilError(t, fleet.Store.Put("servers", "foreign", map[string]any{"service": 7, "state": "ready"}))
	first, address := startTestUpstream(t, fleet.Directory, "first")
	listUpstream(address, 1000)
	entry, caller := fleet.StartNode("entry-1"), tester.NewClient(t)
	t.Cleanup(func() { tester.LogOutput(t, first) })
	served := func(answer string) func() bool {
		return func() bool {
			reply := caller.Send(entry.Request("/short/"))
			return reply.Status == http.StatusOK && reply.Text == answer
		}
	}
	tester.Eventually(t, tester.StartTimeout, "the first process serves", served("first"))

	current := first
	for index, fail := range []func(){first.Kill, func() { current.Suspend() }} {
		status := make(chan int, 1)
		go func() {
			status <- caller.Send(entry.Request("/long/")).Status
		}()
		tester.Eventually(t, tester.StartTimeout, "the request is running", func() bool {
			text, err := current.Output()
			return err == nil && strings.Contains(text, "works")
		})
		fail()
		answer := fmt.Sprintf("later-%d", index)
		later, address := startTestUpstream(t, fleet.Directory, answer)
		listUpstream(address, 2000+index)
		began := time.Now()
		assert.Equal(t, <-status, http.StatusBadGateway)
		assert.Assert(t, time.Since(began) < tester.QuickTimeout, "the response took %v", time.Since(began))
		tester.Eventually(t, tester.StartTimeout, answer+" serves", served(answer))
		current = later
	}
}

package endtoend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/process"
	"limpetcleat/standin/store"
)

const (
	// upstreamVariable names the environment variable that makes the test's own binary an
	// upstream of the users' platform; it holds the word that it answers with.
	upstreamVariable = "LIMPETCLEAT_TEST_UPSTREAM"
	// settingsVariable names the one that holds the path of a node's settings.
	settingsVariable = "LIMPETCLEAT_SETTINGS"
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

// startNode starts a node on the users' platform and returns it with its callers' address.
func startNode(t *testing.T, directory, storeAddress string) (*child, string) {
	t.Helper()
	callers, ready := freeAddress(t), freeAddress(t)
	_, inner, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	settings := fmt.Sprintf("node: entry-1\nip: %[1]s\nzone: west\nlisten:\n  frontend: %[2]s\n  ready: %[3]s\n"+
		"internal_ports: [%[4]s, %[4]s]\nlimits: {memory_mb: 256}\nbounds: {grace_s: 2, revoke_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 56}\n"+
		"platform: {address: %[5]q}\n", loopback, callers, ready, inner, storeAddress)
	path := filepath.Join(directory, "boot.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	t.Setenv(settingsVariable, path)
	node := startChild(t, directory, "node", "platform")
	return node, callers
}

// ask sends a request that may not be repeated; its status is 0 when none came.
func ask(address, path string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, err.Error()
	}
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer key")
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(text)
}

// TestUpstreamStartsAgainUnderItsName has an upstream killed, and one frozen, while each
// works on a request that may not be repeated, and started again under its name, in
// separate processes and beside a foreign writer's entry in the store: each request is
// answered at once that it may have run, and the next one is served by the later start.
func TestUpstreamStartsAgainUnderItsName(t *testing.T) {
	directory := t.TempDir()
	platform := store.New()
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(server.Close)
	assert.NilError(t, platform.Put("config", "main", map[string]any{
		"version":  3,
		"routes":   []map[string]any{{"name": "all", "host": "h.example", "path_prefix": "/", "route_type": "unsafe", "service": "desk", "max_attempts": 1, "timeout_ms": 20000}},
		"services": []map[string]any{{"name": "desk"}},
		"tenants":  []map[string]any{{"name": "guild", "api_keys": []string{"key"}}},
	}))
	list := func(address string, born int) {
		assert.NilError(t, platform.Put("servers", "u1", map[string]any{"service": "desk", "address": address, "zone": "west", "state": "ready", "born": born}))
	}
	assert.NilError(t, platform.Put("servers", "foreign", map[string]any{"service": 7, "state": "ready"}))
	first, address := startAs(t, directory, "first")
	list(address, 1000)
	node, callers := startNode(t, directory, server.Listener.Addr().String())
	t.Cleanup(func() { show(t, node, first) })
	served := func(word string) func() bool {
		return func() bool {
			status, text := ask(callers, "/short/")
			return status == http.StatusOK && text == word
		}
	}
	eventually(t, startLimit, "the first start serves", served("first"))

	working := first
	for index, end := range []func(){first.Kill, func() { working.Freeze() }} {
		status := make(chan int, 1)
		go func() {
			found, _ := ask(callers, "/long/")
			status <- found
		}()
		eventually(t, startLimit, "the request is being worked on", func() bool {
			text, err := working.Text()
			return err == nil && strings.Contains(text, "works")
		})
		end()
		word := fmt.Sprintf("later-%d", index)
		later, address := startAs(t, directory, word)
		list(address, 2000+index)
		began := time.Now()
		assert.Equal(t, <-status, http.StatusBadGateway)
		assert.Assert(t, time.Since(began) < quickLimit, "the answer took %v", time.Since(began))
		eventually(t, startLimit, word+" serves", served(word))
		working = later
	}
}

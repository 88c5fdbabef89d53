package limpetcleat_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
)

// listUpstreamStartedAt writes the entry of an upstream that started at the given time.
func (deployment *deployment) listUpstreamStartedAt(name, address string, born int) {
	assert.NilError(deployment.t, deployment.store.Put("servers", name, map[string]any{"service": "desk", "address": address, "zone": "west", "state": "ready", "born": born}))
}

// TestRestartUnderTheSameName checks a restart of an upstream that has a running request which must
// not be repeated, while the store also contains an unreadable entry by another writer. The restart
// appears in the store under the same name. The running request has to fail at once as possibly
// executed, and the next request has to be served by the new incarnation.
func TestRestartUnderTheSameName(t *testing.T) { withAndWithoutDelegation(t, restartUnderTheSameName) }

func restartUnderTheSameName(t *testing.T, deployment *deployment) {
	deployment.putConfiguration("/a/", "key")
	assert.NilError(t, deployment.store.Put("servers", "foreign", map[string]any{"service": 7, "address": []int{1}}))
	running := deployment.startEntryOverLink("entry-1", store.NewLink(0))

	arrived := make(chan struct{}, 1)
	first := startUnresponsiveUpstream(t, arrived)
	address := first.Addr().String()
	deployment.listUpstreamStartedAt("u1", address, 1000)
	status := make(chan int, 1)
	running.awaitStatus("/b/", "key", http.StatusNotFound)
	go func() {
		for {
			found, _ := running.call("/a/", "key")
			if found != http.StatusServiceUnavailable {
				status <- found
				return
			}
		}
	}()
	<-arrived

	// The connections of the first incarnation stay open without traffic, as in a network
	// partition. Only the store announces the second incarnation.
	later := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		writer.Header().Set("X-Response-Seal", "signed")
	}))
	t.Cleanup(later.Close)
	began := time.Now()
	deployment.listUpstreamStartedAt("u1", later.Listener.Addr().String(), 2000)
	assert.Equal(t, <-status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < 1900*time.Millisecond, "the request ended after %v; it must end before the timeout of the rule", time.Since(began))
	running.awaitStatus("/a/", "key", http.StatusOK)

	// A late write of the first incarnation's entry must not replace the second.
	deployment.listUpstreamStartedAt("u1", address, 1000)
	deployment.putConfiguration("/c/", "key")
	running.awaitStatus("/c/", "key", http.StatusOK)
}

// startUnresponsiveUpstream starts an upstream that accepts requests and never answers them. It
// signals arrived when a request arrives.
func startUnresponsiveUpstream(t *testing.T, arrived chan<- struct{}) net.Listener {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		select {
		case arrived <- struct{}{}:
		default:
		}
		<-request.Context().Done()
	}))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener
}

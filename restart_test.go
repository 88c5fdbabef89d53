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

// listBorn lists an upstream that started at the time.
func (deployment *deployment) listBorn(name, address string, born int) {
	assert.NilError(deployment.t, deployment.store.Put("servers", name, map[string]any{"service": "desk", "address": address, "zone": "west", "state": "ready", "born": born}))
}

// TestRestartUnderTheSameName kills an upstream while it has a request that may not be
// repeated and starts it again under its name, at its address, while a foreign writer's
// entry stands in the store: the request is answered at once that it may have run, and
// the next is served by the later start.
func TestRestartUnderTheSameName(t *testing.T) { inBothWays(t, restartUnderTheSameName) }

func restartUnderTheSameName(t *testing.T, deployment *deployment) {
	deployment.configure("/a/", "key")
	assert.NilError(t, deployment.store.Put("servers", "foreign", map[string]any{"service": 7, "address": []int{1}}))
	running := deployment.startOver("entry-1", store.NewLink(0))

	arrived := make(chan struct{}, 1)
	first := startSilent(t, arrived)
	address := first.Addr().String()
	deployment.listBorn("u1", address, 1000)
	status := make(chan int, 1)
	running.until("/b/", "key", http.StatusNotFound)
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

	// The first start goes silent: its connections stay open and carry nothing, as behind
	// a cut. The later one is told by the store alone.
	later := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		writer.Header().Set("X-Response-Seal", "signed")
	}))
	t.Cleanup(later.Close)
	began := time.Now()
	deployment.listBorn("u1", later.Listener.Addr().String(), 2000)
	assert.Equal(t, <-status, http.StatusBadGateway)
	assert.Assert(t, time.Since(began) < 1900*time.Millisecond, "it is not waited for the rule's time, %v", time.Since(began))
	running.until("/a/", "key", http.StatusOK)

	// The earlier start's entry is written late: it takes nothing from the later one.
	deployment.listBorn("u1", address, 1000)
	deployment.configure("/c/", "key")
	running.until("/c/", "key", http.StatusOK)
}

// startSilent listens and takes requests that it never answers.
func startSilent(t *testing.T, arrived chan<- struct{}) net.Listener {
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

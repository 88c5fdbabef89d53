package limpetcleat_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat"
	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/delegator"
	"limpetcleat/forwarder"
	"limpetcleat/informer"
	"limpetcleat/logger"
	"limpetcleat/platform"
	"limpetcleat/standin/store"
)

const (
	entryTimeout = 15 * time.Second
	// revocationBound is the longest time for which a key may be accepted after the last read.
	revocationBound = 3 * time.Second
)

// deployment is a stand-in for the platform's store, together with the upstreams and entries that
// a test starts.
type deployment struct {
	t     *testing.T
	store *store.Store
	// version is the version of the configuration that was written last.
	version int
	// revocation is the longest time for which a key may be accepted after the last read.
	revocation time.Duration
	// delegation makes a few entries read the store and distribute its content to the others.
	delegation bool
	// networks are the paths to the upstreams of the entries that have their own.
	networks map[string]*network
}

// withAndWithoutDelegation runs a test once with entries that each read the store, and once with
// delegation.
func withAndWithoutDelegation(t *testing.T, test func(t *testing.T, deployment *deployment)) {
	t.Helper()
	for name, delegation := range map[string]bool{"alone": false, "delegated": true} {
		t.Run(name, func(t *testing.T) {
			deployment := newDeployment(t)
			deployment.delegation = delegation
			test(t, deployment)
		})
	}
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	return &deployment{t: t, store: store.New(), revocation: revocationBound}
}

// putConfiguration writes the next version of the configuration, with one rule and the keys.
func (deployment *deployment) putConfiguration(prefix string, keys ...string) {
	deployment.version += 3
	assert.NilError(deployment.t, deployment.store.Put("config", "main", map[string]any{
		"version":  deployment.version,
		"routes":   []map[string]any{{"name": prefix, "host": "h.example", "path_prefix": prefix, "route_type": "unsafe", "service": "desk", "max_attempts": 1, "timeout_ms": 2000}},
		"services": []map[string]any{{"name": "desk"}},
		"tenants":  []map[string]any{{"name": "guild", "api_keys": keys}},
	}))
}

// startUpstream starts and lists an upstream that answers with its name after the pause. It
// returns the number of requests received.
func (deployment *deployment) startUpstream(name string, pause time.Duration) *atomic.Int32 {
	deployment.t.Helper()
	served := &atomic.Int32{}
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		served.Add(1)
		time.Sleep(pause)
		writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
		writer.Header().Set("X-Response-Seal", "signed")
		_, _ = io.WriteString(writer, name)
	}))
	deployment.t.Cleanup(server.Close)
	deployment.listUpstream(name, server.Listener.Addr().String(), "ready")
	return served
}

// listUpstream writes the entry of an upstream to the store.
func (deployment *deployment) listUpstream(name, address, state string) {
	assert.NilError(deployment.t, deployment.store.Put("servers", name, map[string]any{"service": "desk", "address": address, "zone": "west", "state": state}))
}

// runningEntry is an Entry that has been started, with the addresses at which it serves.
type runningEntry struct {
	deployment *deployment
	entry      *limpetcleat.Entry
	callers    string
	readiness  string
	stopped    chan struct{}
}

// startEntry starts an entry with an unlimited link to the store.
func (deployment *deployment) startEntry(name string) *runningEntry {
	return deployment.startEntryOverLink(name, store.NewLink(0))
}

// startEntryOverLink starts an entry that reaches the store over the link, and stops the entry at
// the end of the test.
func (deployment *deployment) startEntryOverLink(name string, link *store.Link) *runningEntry {
	t := deployment.t
	server := httptest.NewServer(link.Wrap(deployment.store.Handler()))
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	assert.NilError(t, err)
	client := platform.NewStore(address)
	listeners := make([]net.Listener, 3)
	for index := range listeners {
		listeners[index], err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
	}
	running := &runningEntry{deployment: deployment, callers: listeners[0].Addr().String(), readiness: listeners[1].Addr().String(), stopped: make(chan struct{})}
	var dialUpstream connector.Dial
	if network := deployment.networks[name]; network != nil {
		dialUpstream = network.dial
	}
	running.entry = limpetcleat.NewEntry(
		limpetcleat.EntrySettings{DialUpstream: dialUpstream, VM: definer.VM(name), DataCentre: "west", InnerAddress: listeners[2].Addr().String(), MemoryLimit: 1 << 28, Bounds: delegator.Bounds{Revocation: deployment.revocation}, GracePeriod: 5 * time.Second, RetryWindow: time.Second, Delegation: deployment.delegation},
		platform.Protocol{},
		informer.Feeds{Configurations: platform.NewConfigurations(client), Upstreams: platform.NewUpstreams(client), Peers: platform.NewPeers(client)},
		logger.New(io.Discard), func(forwarder.Record) {})
	go func() {
		defer close(running.stopped)
		assert.Check(t, running.entry.Run(listeners[0], listeners[1], listeners[2]))
	}()
	t.Cleanup(func() {
		running.stop()
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return running
}

// stop runs a graceful shutdown unless the entry has already stopped.
func (runningEntry *runningEntry) stop() {
	select {
	case <-runningEntry.stopped:
		return
	default:
	}
	runningEntry.entry.Drain()
	<-runningEntry.stopped
}

// readinessStatus returns the status of the readiness probe, or 0 if there is no answer.
func (runningEntry *runningEntry) readinessStatus() int {
	answer, err := http.Get("http://" + runningEntry.readiness + "/readyz")
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// call sends a request and returns the status and body of the answer, or 0 if there is none.
func (runningEntry *runningEntry) call(path, key string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+runningEntry.callers+path, nil)
	assert.NilError(runningEntry.deployment.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(runningEntry.deployment.t, err)
	return answer.StatusCode, string(text)
}

// awaitStatus polls until a call is answered with the status, and fails after entryTimeout.
func (runningEntry *runningEntry) awaitStatus(path, key string, status int) {
	runningEntry.deployment.t.Helper()
	runningEntry.awaitStatusWithin(entryTimeout, path, key, status)
}

// TestEntryFollowsTheStore checks two entries through a cold start, configuration changes, a
// revoked key, a draining upstream, a compaction of the store's history and an outage of the store.
func TestEntryFollowsTheStore(t *testing.T) { withAndWithoutDelegation(t, entryFollowsTheStore) }

func entryFollowsTheStore(t *testing.T, deployment *deployment) {
	first, second := deployment.startEntry("entry-1"), deployment.startEntry("entry-2")
	first.awaitStatus("/a/", "key", http.StatusServiceUnavailable)
	assert.Equal(t, first.readinessStatus(), http.StatusServiceUnavailable)

	deployment.putConfiguration("/a/", "key", "other")
	deployment.startUpstream("u1", 0)
	for _, running := range []*runningEntry{first, second} {
		running.awaitStatus("/a/", "key", http.StatusOK)
		assert.Equal(t, running.readinessStatus(), http.StatusOK)
	}
	first.awaitStatus("/b/", "key", http.StatusNotFound)
	first.awaitStatus("/a/", "none", http.StatusUnauthorized)

	deployment.putConfiguration("/b/", "key")
	first.awaitStatus("/b/", "key", http.StatusOK)
	first.awaitStatus("/a/", "key", http.StatusNotFound)
	first.awaitStatus("/b/", "other", http.StatusUnauthorized)

	served := deployment.startUpstream("u2", 0)
	deployment.listUpstream("u1", "127.0.0.1:1", "draining")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, text := first.call("/b/", "key"); status == http.StatusOK && text == "u2" {
			return poll.Success()
		}
		return poll.Continue("u2 has not answered yet")
	}, poll.WithTimeout(entryTimeout))
	assert.Assert(t, served.Load() > 0)

	deployment.store.Compact()
	deployment.putConfiguration("/c/", "key")
	second.awaitStatus("/c/", "key", http.StatusOK)

	deployment.store.SetErrorStatus(http.StatusServiceUnavailable)
	second.awaitStatus("/c/", "key", http.StatusServiceUnavailable)
	assert.Equal(t, second.readinessStatus(), http.StatusServiceUnavailable)
	second.awaitStatus("/d/", "key", http.StatusServiceUnavailable)
	deployment.store.SetErrorStatus(0)
	second.awaitStatus("/c/", "key", http.StatusOK)
}

// TestEntryStopsWithoutCuttingRequests starts a graceful shutdown while a request is running. It
// checks that readiness fails, that the request is answered, and that the entry accepts new
// connections while the load balancer may still send them and none after the shutdown.
func TestEntryStopsWithoutCuttingRequests(t *testing.T) {
	deployment := newDeployment(t)
	deployment.putConfiguration("/a/", "key")
	served := deployment.startUpstream("u1", 500*time.Millisecond)
	running := deployment.startEntry("entry-1")
	running.awaitStatus("/a/", "key", http.StatusOK)
	answered := make(chan int, 1)
	before := served.Load()
	go func() {
		status, _ := running.call("/a/", "key")
		answered <- status
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if served.Load() > before {
			return poll.Success()
		}
		return poll.Continue("the upstream has not received the request yet")
	}, poll.WithTimeout(entryTimeout), poll.WithDelay(5*time.Millisecond))
	running.entry.Drain()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running.readinessStatus() == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("the entry is still ready")
	}, poll.WithTimeout(entryTimeout))
	assert.Equal(t, <-answered, http.StatusOK)
	// New connections are served for balancerDetectionTime.
	status, _ := running.call("/a/", "key")
	assert.Equal(t, status, http.StatusOK)
	<-running.stopped
	status, _ = running.call("/a/", "key")
	assert.Equal(t, status, 0)
}

// TestEntryStopRefusesWhatWasNotSent checks that a caller whose body is still being read at the
// end of the grace period is informed that its request did not run: its connection was closed.
func TestEntryStopRefusesWhatWasNotSent(t *testing.T) {
	deployment := newDeployment(t)
	deployment.putConfiguration("/a/", "key")
	deployment.startUpstream("u1", 0)
	running := deployment.startEntry("entry-1")
	running.awaitStatus("/a/", "key", http.StatusOK)
	conn, err := net.Dial("tcp", running.callers)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /a/ HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 1\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n\r\n")
	assert.NilError(t, err)
	// The stop must not take the connection for an idle one.
	time.Sleep(100 * time.Millisecond)
	running.entry.Drain()
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer answer.Body.Close()
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header.Get("Retry-After") != "")
	<-running.stopped
}

// TestEntryPredictsForEnginesOnly guards against predictions that omit a listed engine or contain plain
// services.
func TestEntryPredictsForEnginesOnly(t *testing.T) {
	deployment := newDeployment(t)
	assert.NilError(t, deployment.store.Put("config", "main", map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "a", "host": "h.example", "path_prefix": "/a/", "route_type": "unsafe", "service": "pool", "max_attempts": 1, "timeout_ms": 2000}},
		"services": []map[string]any{{"name": "desk"}, {"name": "pool", "engine": map[string]any{"kv_tokens": 1000}}},
	}))
	assert.NilError(t, deployment.store.Put("servers", "u1", map[string]any{"service": "pool", "address": "127.0.0.1:9", "zone": "west", "state": "ready"}))
	entry := deployment.startEntry("n1").entry
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		predictions := entry.Predictions(time.Now())
		if len(predictions) == 1 && predictions[0].Service == "pool" && len(predictions[0].Engines) == 1 && predictions[0].Engines[0].Upstream == "u1" {
			return poll.Success()
		}
		return poll.Continue("%v", predictions)
	}, poll.WithTimeout(entryTimeout))
}

package limpetcleat_test

import (
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
	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/informer"
	"limpetcleat/logger"
	"limpetcleat/platform"
	"limpetcleat/standin/store"
)

const (
	entryPatience = 15 * time.Second
	// entryRevocation is how long a key may be honoured after the last read.
	entryRevocation = 3 * time.Second
)

// deployment is a stand-in store with upstreams and entries of the users'
// platform.
type deployment struct {
	t     *testing.T
	store *store.Store
	// version is that of the configuration that the operator wrote last.
	version int
	// revocation is how long a key may be honoured after the last read.
	revocation time.Duration
	// delegation has few of the entries ask the store and tell the others.
	delegation bool
}

// inBothWays runs a test with entries that each ask the store, and with entries of which
// few ask and tell the others.
func inBothWays(t *testing.T, test func(t *testing.T, deployment *deployment)) {
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
	return &deployment{t: t, store: store.New(), revocation: entryRevocation}
}

// configure writes the next version with one rule and the keys.
func (deployment *deployment) configure(prefix string, keys ...string) {
	deployment.version += 3
	assert.NilError(deployment.t, deployment.store.Put("config", "main", map[string]any{
		"version":  deployment.version,
		"routes":   []map[string]any{{"name": prefix, "host": "h.example", "path_prefix": prefix, "route_type": "unsafe", "service": "desk", "max_attempts": 1, "timeout_ms": 2000}},
		"services": []map[string]any{{"name": "desk"}},
		"tenants":  []map[string]any{{"name": "guild", "api_keys": keys}},
	}))
}

// upstream starts an upstream that answers with its name after the pause.
func (deployment *deployment) upstream(name string, pause time.Duration) *atomic.Int32 {
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
	deployment.list(name, server.Listener.Addr().String(), "ready")
	return served
}

func (deployment *deployment) list(name, address, state string) {
	assert.NilError(deployment.t, deployment.store.Put("servers", name, map[string]any{"service": "desk", "address": address, "zone": "west", "state": state}))
}

// entry is a running Entry.
type entry struct {
	deployment *deployment
	entry      *limpetcleat.Entry
	callers    string
	readiness  string
	stopped    chan struct{}
}

func (deployment *deployment) start(name string) *entry {
	return deployment.startOver(name, store.NewLink(0))
}

// startOver starts an entry that reaches the store over the link.
func (deployment *deployment) startOver(name string, link *store.Link) *entry {
	t := deployment.t
	server := httptest.NewServer(link.Over(deployment.store.Handler()))
	address, err := netip.ParseAddrPort(server.Listener.Addr().String())
	assert.NilError(t, err)
	client := platform.NewStore(address)
	listeners := make([]net.Listener, 3)
	for index := range listeners {
		listeners[index], err = net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
	}
	running := &entry{deployment: deployment, callers: listeners[0].Addr().String(), readiness: listeners[1].Addr().String(), stopped: make(chan struct{})}
	running.entry = limpetcleat.NewEntry(
		limpetcleat.EntrySettings{VM: definer.VM(name), DataCentre: "west", Inner: listeners[2].Addr().String(), Memory: 1 << 28, Revocation: deployment.revocation, Grace: 5 * time.Second, RetryWindow: time.Second, Delegation: deployment.delegation},
		platform.Protocol{},
		informer.Feeds{Configurations: platform.NewConfigurations(client), Upstreams: platform.NewUpstreams(client), Peers: platform.NewPeers(client)},
		logger.New(io.Discard), func(forwarder.Record) {})
	go func() {
		running.entry.Run(listeners[0], listeners[1], listeners[2])
		close(running.stopped)
	}()
	t.Cleanup(func() {
		running.stop()
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return running
}

// stop asks for a planned stop, once.
func (running *entry) stop() {
	select {
	case <-running.stopped:
		return
	default:
	}
	running.entry.Drain()
	<-running.stopped
}

func (running *entry) ready() int {
	answer, err := http.Get("http://" + running.readiness + "/readyz")
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

// call returns the status and the text of an answer, or 0 when there is none.
func (running *entry) call(path, key string) (int, string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+running.callers+path, nil)
	assert.NilError(running.deployment.t, err)
	request.Host = "h.example"
	request.Header.Set("X-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer "+key)
	answer, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return 0, ""
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	assert.NilError(running.deployment.t, err)
	return answer.StatusCode, string(text)
}

// until waits until the call is answered with the status.
func (running *entry) until(path, key string, status int) {
	running.deployment.t.Helper()
	running.within(entryPatience, path, key, status)
}

// TestEntryFollowsTheStore leads two entries through a cold start, changes of the
// configuration, a key that is revoked, an upstream that leaves, a lost history
// and an outage.
func TestEntryFollowsTheStore(t *testing.T) { inBothWays(t, entryFollowsTheStore) }

func entryFollowsTheStore(t *testing.T, deployment *deployment) {
	first, second := deployment.start("entry-1"), deployment.start("entry-2")
	first.until("/a/", "key", http.StatusServiceUnavailable)
	assert.Equal(t, first.ready(), http.StatusServiceUnavailable)

	deployment.configure("/a/", "key", "other")
	deployment.upstream("u1", 0)
	for _, running := range []*entry{first, second} {
		running.until("/a/", "key", http.StatusOK)
		assert.Equal(t, running.ready(), http.StatusOK)
	}
	first.until("/b/", "key", http.StatusNotFound)
	first.until("/a/", "none", http.StatusUnauthorized)

	deployment.configure("/b/", "key")
	first.until("/b/", "key", http.StatusOK)
	first.until("/a/", "key", http.StatusNotFound)
	first.until("/b/", "other", http.StatusUnauthorized)

	served := deployment.upstream("u2", 0)
	deployment.list("u1", "127.0.0.1:1", "draining")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if status, text := first.call("/b/", "key"); status == http.StatusOK && text == "u2" {
			return poll.Success()
		}
		return poll.Continue("u1 still serves")
	}, poll.WithTimeout(entryPatience))
	assert.Assert(t, served.Load() > 0)

	deployment.store.Compact()
	deployment.configure("/c/", "key")
	second.until("/c/", "key", http.StatusOK)

	deployment.store.Refuse(http.StatusServiceUnavailable)
	second.until("/c/", "key", http.StatusServiceUnavailable)
	assert.Equal(t, second.ready(), http.StatusServiceUnavailable)
	second.until("/d/", "key", http.StatusServiceUnavailable)
	deployment.store.Refuse(0)
	second.until("/c/", "key", http.StatusOK)
}

// TestEntryStopsWithoutCuttingRequests asks for a planned stop while a request
// runs: it is answered, and the process ends only then.
func TestEntryStopsWithoutCuttingRequests(t *testing.T) {
	deployment := newDeployment(t)
	deployment.configure("/a/", "key")
	served := deployment.upstream("u1", 500*time.Millisecond)
	running := deployment.start("entry-1")
	running.until("/a/", "key", http.StatusOK)
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
		return poll.Continue("the request is on its way")
	}, poll.WithTimeout(entryPatience), poll.WithDelay(5*time.Millisecond))
	running.entry.Drain()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if running.ready() == http.StatusServiceUnavailable {
			return poll.Success()
		}
		return poll.Continue("the entry is ready")
	}, poll.WithTimeout(entryPatience))
	assert.Equal(t, <-answered, http.StatusOK)
	// New connections are served until the balancer has noticed.
	status, _ := running.call("/a/", "key")
	assert.Equal(t, status, http.StatusOK)
	<-running.stopped
	status, _ = running.call("/a/", "key")
	assert.Equal(t, status, 0)
}

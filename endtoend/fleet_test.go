package endtoend_test

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/store"
)

const (
	// settingsVariable names the environment variable that holds the path of a node's settings.
	settingsVariable = "LIMPETCLEAT_SETTINGS"
	// fleetHost is the host of every rule, fleetKey the API key of the only Organisation.
	fleetHost = "h.example"
	fleetKey  = "key"
	// ruleTimeout is the timeout of a rule's requests.
	ruleTimeout = 2 * time.Second
)

// fleet is a set of nodes on the users' platform. Each node is a separate process; the stand-in
// store and the upstreams run in the test's process.
type fleet struct {
	t         *testing.T
	directory string
	store     *store.Store
	// storeAddress is the address at which the nodes reach the store.
	storeAddress string
	// dutySettings and dutyBoundSettings are the duty sections of the node settings; they are empty
	// if the platform assigns no duties.
	dutySettings      string
	dutyBoundSettings string
	// placeSettings are the sections of the node settings on data centres and evacuations.
	placeSettings string
	// warmUp holds the fields of the service on cold upstreams; nil if it has none.
	warmUp map[string]any
	// arguments are additional command-line arguments of each node.
	arguments []string

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	nodes []*node
	// version is the version of the configuration that was written last.
	version int
	// paddingBytes is the size of the filler that enlarges a configuration.
	paddingBytes int
}

// node is one node of a fleet.
type node struct {
	*child
	callerAddress string
	readyAddress  string
	// operatorAddress serves the operators' commands, such as listing and lifting quarantines.
	operatorAddress string
	// startedAt is the time at which the process was started.
	startedAt time.Time
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	return newFleetWithLink(t, store.NewLink(0))
}

// newFleetWithLink returns a fleet that reaches the store over the link.
func newFleetWithLink(t *testing.T, link *store.Link) *fleet {
	t.Helper()
	fleet := &fleet{t: t, directory: t.TempDir(), store: store.New()}
	server := httptest.NewServer(link.Wrap(fleet.store.Handler()))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	fleet.storeAddress = server.Listener.Addr().String()
	return fleet
}

// withAndWithoutDelegation runs a test twice: with nodes that each read the store themselves, and
// with nodes of which a few read the store and forward changes to the others.
func withAndWithoutDelegation(t *testing.T, test func(t *testing.T, fleet *fleet)) {
	t.Helper()
	for name, arguments := range map[string][]string{"alone": {"-delegation=false"}, "delegated": nil} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(t)
			fleet.arguments = arguments
			test(t, fleet)
		})
	}
}

// configure writes the next version of the configuration, with the given rules, and returns the
// time at which the store had accepted it.
func (fleet *fleet) configure(rules ...map[string]any) time.Time {
	fleet.t.Helper()
	fleet.mutex.Lock()
	fleet.version += 3
	version := fleet.version
	fleet.mutex.Unlock()
	service := map[string]any{"name": "desk"}
	maps.Copy(service, fleet.warmUp)
	assert.NilError(fleet.t, fleet.store.Put("config", "main", map[string]any{
		"version":  version,
		"padding":  strings.Repeat("x", fleet.paddingBytes),
		"routes":   rules,
		"services": []map[string]any{service},
		"tenants":  []map[string]any{{"name": "guild", "api_keys": []string{fleetKey}}},
	}))
	return time.Now()
}

// unsafeRule returns a rule whose requests must not be repeated.
func unsafeRule(prefix string) map[string]any {
	return map[string]any{
		"name": "rule" + prefix, "host": fleetHost, "path_prefix": prefix, "route_type": "unsafe",
		"service": "desk", "max_attempts": 1, "timeout_ms": ruleTimeout.Milliseconds(), "target_latency_ms": 300,
	}
}

// listUpstream writes an upstream's entry to the store.
func (fleet *fleet) listUpstream(name, address, state string) {
	fleet.t.Helper()
	fleet.listUpstreamIn(west, name, address, state, 0)
}

// listUpstreamIn writes the entry of an upstream in a data centre that is cold for another time.
func (fleet *fleet) listUpstreamIn(dataCentre, name, address, state string, cold time.Duration) {
	fleet.t.Helper()
	fleet.putUpstream(name, address, map[string]any{"zone": dataCentre, "state": state, "cold_remaining_ms": cold.Milliseconds()})
}

// putUpstream writes the entry of an upstream, which is ready and in west unless the fields state
// otherwise.
func (fleet *fleet) putUpstream(name, address string, fields map[string]any) {
	fleet.t.Helper()
	entry := map[string]any{"service": "desk", "address": address, "zone": west, "state": "ready"}
	maps.Copy(entry, fields)
	assert.NilError(fleet.t, fleet.store.Put("servers", name, entry))
}

// startUpstream starts an upstream in the test's process and lists it.
func (fleet *fleet) startUpstream(name string, serve http.HandlerFunc) *httptest.Server {
	fleet.t.Helper()
	server := fleet.startUnlisted(serve)
	fleet.listUpstream(name, server.Listener.Addr().String(), "ready")
	return server
}

// startUnlisted starts an upstream in the test's process.
func (fleet *fleet) startUnlisted(serve http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(serve)
	fleet.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// writeAttemptHeaders sets the headers that identify the response as the upstream's response to
// this attempt.
func writeAttemptHeaders(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Response-Seal", "signed")
}

// startNode starts a node without waiting until it is ready.
func (fleet *fleet) startNode(name string) *node {
	t := fleet.t
	t.Helper()
	node := &node{callerAddress: freeAddress(t), readyAddress: freeAddress(t), operatorAddress: freeAddress(t)}
	_, operators, err := net.SplitHostPort(node.operatorAddress)
	assert.NilError(t, err)
	_, inner, err := net.SplitHostPort(freeAddress(t))
	assert.NilError(t, err)
	settings := fmt.Sprintf("node: %[6]s\nip: %[1]s\nzone: west\nlisten:\n  frontend: %[2]s\n  ready: %[3]s\n"+
		"internal_ports: [%[4]s, %[4]s]\nlimits: {memory_mb: 256}\nbounds: {grace_s: 8, revoke_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 630%[7]s}\n"+
		"platform: {address: %[5]q}\n%[8]s%[9]s", loopback, node.callerAddress, node.readyAddress, inner, fleet.storeAddress, name, fleet.dutyBoundSettings, fleet.dutySettings, fleet.placeSettings)
	path := filepath.Join(fleet.directory, name+".yaml")
	assert.NilError(t, os.WriteFile(path, []byte(settings), 0o600))
	t.Setenv(settingsVariable, path)
	node.startedAt = time.Now()
	node.child = startChild(t, fleet.directory, name, append([]string{"platform", "-operatorsPort", operators}, fleet.arguments...)...)
	t.Cleanup(func() { logOutput(t, node.child) })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.nodes = append(fleet.nodes, node)
	return node
}

// startNodes starts nodes and waits until all are ready.
func (fleet *fleet) startNodes(count int) []*node {
	fleet.t.Helper()
	var nodes []*node
	for number := range count {
		nodes = append(nodes, fleet.startNode(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range nodes {
		node.awaitReady()
	}
	return nodes
}

// startedNodes returns the nodes that have been started.
func (fleet *fleet) startedNodes() []*node {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]*node(nil), fleet.nodes...)
}

// awaitReady waits until the node's readiness check for the balancer succeeds.
func (node *node) awaitReady() {
	node.t.Helper()
	eventually(node.t, startTimeout, node.name+" is ready", func() bool {
		response, err := http.Get("http://" + node.readyAddress + "/readyz")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
}

// reply is the result of one request.
type reply struct {
	// status is 0 if no complete response was received.
	status int
	text   string
	// notConnected is set if the connection could not be established, so that nothing was sent.
	notConnected bool
	// retryAfter is the delay that the response requests before a retry.
	retryAfter time.Duration
	took       time.Duration
}

// client sends requests to the nodes of a fleet over persistent connections.
type client struct {
	transport *http.Transport
}

func newClient(t *testing.T) *client {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	t.Cleanup(transport.CloseIdleConnections)
	return &client{transport: transport}
}

// request returns a request to the node with an attempt ID of its own.
func (node *node) request(path string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.callerAddress+path, http.NoBody)
	assert.NilError(node.t, err)
	request.Host = fleetHost
	request.Header.Set("X-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer "+fleetKey)
	request.Header.Set("X-Node", node.name)
	return request
}

// send sends a request and reads the complete response.
func (client *client) send(request *http.Request) reply {
	began := time.Now()
	response, err := client.transport.RoundTrip(request)
	if err != nil {
		return reply{text: err.Error(), notConnected: isDialError(err), took: time.Since(began)}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{text: err.Error(), took: time.Since(began)}
	}
	result := reply{status: response.StatusCode, text: string(text), took: time.Since(began)}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result
}

// isDialError reports whether the connection could not be established.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

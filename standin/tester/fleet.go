package tester

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
	// FleetHost is the host of every rule, fleetKey the API key of the only Organisation.
	FleetHost = "h.example"
	fleetKey  = "key"
	// defaultLimits are the limits of a node's settings.
	defaultLimits = "memory_mb: 256"
	// RuleTimeout is the timeout of a rule's requests.
	RuleTimeout = 2 * time.Second
	// LeavingTimeout is the time for which an upstream may still receive requests after it is
	// listed as leaving, the users' bound for hundreds of nodes.
	LeavingTimeout = 4 * time.Second
	// settingsMode is the file mode of a node's settings.
	settingsMode = 0o600
)

// Fleet is a set of nodes on the users' platform. Each node is a separate process; the stand-in
// store and the upstreams run in the test's process.
type Fleet struct {
	T         *testing.T
	Directory string
	Store     *store.Store
	// StoreAddress is the address at which the nodes reach the store.
	StoreAddress string
	// DutySettings and DutyBoundSettings are the duty sections of the node settings; they are empty
	// if the platform assigns no duties.
	DutySettings      string
	DutyBoundSettings string
	// PlaceSettings are the sections of the node settings on data centres and evacuations.
	PlaceSettings string
	// ServiceFields holds further fields of the service; nil if it has none.
	ServiceFields map[string]any
	// Arguments are additional command-line arguments of each node.
	Arguments []string

	// mutex guards the fields below; no other lock is acquired while it is held.
	mutex sync.Mutex
	nodes []*Node
	// version is the version of the configuration that was written last.
	version int
	// PaddingBytes is the size of the filler that enlarges a configuration.
	PaddingBytes int
}

// Node is one node of a fleet.
type Node struct {
	*Child
	callerAddress string
	readyAddress  string
	// OperatorAddress serves the operators' commands, such as listing and lifting quarantines.
	OperatorAddress string
	// InnerAddress is where the node listens for its peers.
	InnerAddress string
	// StartedAt is the time at which the process was started.
	StartedAt time.Time
}

// NewFleet returns a fleet without nodes.
func NewFleet(t *testing.T) *Fleet {
	t.Helper()
	return NewFleetWithLink(t, store.NewLink(0))
}

// NewFleetWithLink returns a fleet that reaches the store over the link.
func NewFleetWithLink(t *testing.T, link *store.Link) *Fleet {
	t.Helper()
	fleet := &Fleet{T: t, Directory: t.TempDir(), Store: store.New()}
	server := httptest.NewServer(link.Wrap(fleet.Store.Handler()))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	fleet.StoreAddress = server.Listener.Addr().String()
	return fleet
}

// WithAndWithoutDelegation runs a test twice: with nodes that each read the store themselves, and
// with nodes of which a few read the store and forward changes to the others.
func WithAndWithoutDelegation(t *testing.T, test func(t *testing.T, fleet *Fleet)) {
	t.Helper()
	for name, arguments := range map[string][]string{"alone": {"-delegation=false"}, "delegated": nil} {
		t.Run(name, func(t *testing.T) {
			fleet := NewFleet(t)
			fleet.Arguments = arguments
			test(t, fleet)
		})
	}
}

// Configure writes the next version of the configuration, with the given rules, and returns the
// time at which the store had accepted it.
func (fleet *Fleet) Configure(rules ...map[string]any) time.Time {
	fleet.T.Helper()
	fleet.mutex.Lock()
	fleet.version += 3
	version := fleet.version
	fleet.mutex.Unlock()
	service := map[string]any{"name": "desk"}
	maps.Copy(service, fleet.ServiceFields)
	assert.NilError(fleet.T, fleet.Store.Put("config", "main", map[string]any{
		"version":  version,
		"padding":  strings.Repeat("x", fleet.PaddingBytes),
		"routes":   rules,
		"services": []map[string]any{service},
		"tenants":  []map[string]any{{"name": "guild", "api_keys": []string{fleetKey}}},
	}))
	return time.Now()
}

// UnsafeRule returns a rule whose requests must not be repeated.
func UnsafeRule(prefix string) map[string]any {
	return map[string]any{
		"name": "rule" + prefix, "host": FleetHost, "path_prefix": prefix, "route_type": "unsafe",
		"service": "desk", "max_attempts": 1, "timeout_ms": RuleTimeout.Milliseconds(), "target_latency_ms": 300,
	}
}

// StreamRule returns a rule for streams; a resumable stream may have two attempts.
func StreamRule(prefix string, resumable bool) map[string]any {
	attempts := 1
	if resumable {
		attempts = 2
	}
	return map[string]any{
		"name": "rule" + prefix, "host": FleetHost, "path_prefix": prefix, "route_type": "streaming",
		"service": "desk", "max_attempts": attempts, "timeout_ms": 10000, "target_latency_ms": 1000,
		"gap_aim_ms": 500, "stream_resume": resumable,
	}
}

// ListUpstream writes an upstream's entry to the store.
func (fleet *Fleet) ListUpstream(name, address, state string) {
	fleet.T.Helper()
	fleet.ListUpstreamIn(West, name, address, state, 0)
}

// ListUpstreamIn writes the entry of an upstream in a data centre that is cold for another time.
func (fleet *Fleet) ListUpstreamIn(dataCentre, name, address, state string, cold time.Duration) {
	fleet.T.Helper()
	fleet.PutUpstream(name, address, map[string]any{"zone": dataCentre, "state": state, "cold_remaining_ms": cold.Milliseconds()})
}

// PutUpstream writes the entry of an upstream, which is ready and in west unless the fields state
// otherwise.
func (fleet *Fleet) PutUpstream(name, address string, fields map[string]any) {
	fleet.T.Helper()
	entry := map[string]any{"service": "desk", "address": address, "zone": West, "state": "ready"}
	maps.Copy(entry, fields)
	assert.NilError(fleet.T, fleet.Store.Put("servers", name, entry))
}

// StartUpstream starts an upstream in the test's process and lists it.
func (fleet *Fleet) StartUpstream(name string, serve http.HandlerFunc) *httptest.Server {
	fleet.T.Helper()
	server := fleet.StartUnlisted(serve)
	fleet.ListUpstream(name, server.Listener.Addr().String(), "ready")
	return server
}

// StartUnlisted starts an upstream in the test's process.
func (fleet *Fleet) StartUnlisted(serve http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(serve)
	fleet.T.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// WriteAttemptHeaders sets the headers that identify the response as the upstream's response to
// this attempt.
func WriteAttemptHeaders(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("X-Attempt-Id", request.Header.Get("X-Attempt-Id"))
	writer.Header().Set("X-Response-Seal", "signed")
}

// StartNode starts a node without waiting until it is ready.
func (fleet *Fleet) StartNode(name string) *Node {
	fleet.T.Helper()
	return fleet.StartNodeWithLimits(name, defaultLimits)
}

// StartNodeIn starts a node in a data centre without waiting until it is ready.
func (fleet *Fleet) StartNodeIn(dataCentre, name string) *Node {
	fleet.T.Helper()
	return fleet.startLimitedNode(dataCentre, name, freeAddress(fleet.T), fleet.StoreAddress, defaultLimits)
}

// StartNodeWithStore starts a node that reaches the store at an address of its own, without waiting until it is ready.
func (fleet *Fleet) StartNodeWithStore(dataCentre, name, storeAddress string) *Node {
	fleet.T.Helper()
	return fleet.startLimitedNode(dataCentre, name, freeAddress(fleet.T), storeAddress, defaultLimits)
}

// StartNodeWithLimits starts a node with the section limits of its settings, without waiting until it is ready.
func (fleet *Fleet) StartNodeWithLimits(name, limits string) *Node {
	fleet.T.Helper()
	return fleet.startLimitedNode(West, name, freeAddress(fleet.T), fleet.StoreAddress, limits)
}

// CallerAddress returns the address for callers.
func (node *Node) CallerAddress() string { return node.callerAddress }

// ReadyAddress returns the address of the readiness check.
func (node *Node) ReadyAddress() string { return node.readyAddress }

// Dial opens a connection to the address for callers.
func (node *Node) Dial() (net.Conn, error) { return net.Dial("tcp", node.callerAddress) }

// startLimitedNode starts a node with the address for its peers, that of the store and its limits.
func (fleet *Fleet) startLimitedNode(dataCentre, name, innerAddress, storeAddress, limits string) *Node {
	fleet.T.Helper()
	node, settings := fleet.newNode(dataCentre, name, innerAddress, storeAddress, limits)
	path := filepath.Join(fleet.Directory, name+".yaml")
	assert.NilError(fleet.T, os.WriteFile(path, []byte(settings), settingsMode))
	fleet.startNode(node, name, path)
	return node
}

// newNode returns a node that has not been started, and the content of its settings file.
func (fleet *Fleet) newNode(dataCentre, name, innerAddress, storeAddress, limits string) (node *Node, settings string) {
	t := fleet.T
	t.Helper()
	node = &Node{callerAddress: freeAddress(t), readyAddress: freeAddress(t), OperatorAddress: freeAddress(t), InnerAddress: innerAddress}
	_, inner, err := net.SplitHostPort(innerAddress)
	assert.NilError(t, err)
	settings = fmt.Sprintf("node: %[6]s\nip: %[1]s\nzone: %[11]s\nlisten:\n  frontend: %[2]s\n  ready: %[3]s\n"+
		"internal_ports: [%[4]s, %[4]s]\nlimits: {%[10]s}\nbounds: {grace_s: 8, revoke_ms: 5000, retry_ratio: 0.2, retry_window_s: 10, retry_slack: 630%[7]s}\n"+
		"platform: {address: %[5]q}\n%[8]s%[9]s", Loopback, node.callerAddress, node.readyAddress, inner, storeAddress, name, fleet.DutyBoundSettings, fleet.DutySettings, fleet.PlaceSettings, limits, dataCentre)
	return node, settings
}

// startNode starts the node's process with the settings file at the path.
func (fleet *Fleet) startNode(node *Node, name, path string) {
	t := fleet.T
	t.Helper()
	_, operators, err := net.SplitHostPort(node.OperatorAddress)
	assert.NilError(t, err)
	node.StartedAt = time.Now()
	node.Child = startChildWith(t, []string{settingsVariable + "=" + path}, fleet.Directory, name, append([]string{"platform", "-operatorsPort", operators}, fleet.Arguments...)...)
	t.Cleanup(func() { LogOutput(t, node.Child) })
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.nodes = append(fleet.nodes, node)
}

// StartNodes starts nodes and waits until all are ready.
func (fleet *Fleet) StartNodes(count int) []*Node {
	fleet.T.Helper()
	var nodes []*Node
	for number := range count {
		nodes = append(nodes, fleet.StartNode(fmt.Sprintf("entry-%d", number)))
	}
	for _, node := range nodes {
		node.AwaitReady()
	}
	return nodes
}

// StartedNodes returns the nodes that have been started.
func (fleet *Fleet) StartedNodes() []*Node {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return append([]*Node(nil), fleet.nodes...)
}

// AwaitReady waits until the node's readiness check for the balancer succeeds.
func (node *Node) AwaitReady() {
	node.T.Helper()
	Eventually(node.T, StartTimeout, node.Name+" is ready", func() bool {
		response, err := http.Get("http://" + node.readyAddress + "/readyz")
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	})
}

// Reply is the result of one request.
type Reply struct {
	// Status is 0 if no complete response was received.
	Status int
	Text   string
	// NotConnected is set if the connection could not be established, so that nothing was sent.
	NotConnected bool
	// RetryAfter is the delay that the response requests before a retry.
	RetryAfter time.Duration
	Took       time.Duration
}

// Client sends requests to the nodes of a fleet over persistent connections.
type Client struct {
	transport *http.Transport
}

// NewClient returns a client without connections.
func NewClient(t *testing.T) *Client {
	t.Helper()
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	t.Cleanup(transport.CloseIdleConnections)
	return &Client{transport: transport}
}

// Request returns a request to the node with an attempt ID of its own.
func (node *Node) Request(path string) *http.Request {
	request, err := http.NewRequest(http.MethodPost, "http://"+node.callerAddress+path, http.NoBody)
	assert.NilError(node.T, err)
	request.Host = FleetHost
	request.Header.Set("X-Attempt-Id", fmt.Sprint(time.Now().UnixNano()))
	request.Header.Set("Authorization", "Bearer "+fleetKey)
	request.Header.Set("X-Node", node.Name)
	return request
}

// Send sends a request and reads the complete response.
func (client *Client) Send(request *http.Request) Reply {
	began := time.Now()
	response, err := client.transport.RoundTrip(request)
	if err != nil {
		return Reply{Text: err.Error(), NotConnected: isDialError(err), Took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Text: err.Error(), Took: time.Since(began)}
	}
	result := Reply{Status: response.StatusCode, Text: string(text), Took: time.Since(began)}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		result.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	return result
}

// isDialError reports whether the connection could not be established.
func isDialError(err error) bool {
	var failure *net.OpError
	return errors.As(err, &failure) && failure.Op == "dial"
}

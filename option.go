package limpetcleat

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/recorder"
	"limpetcleat/server"
)

// Logger takes in numbered events.
type Logger interface {
	// Event logs one event; pairs are names and values in turn.
	Event(number int, pairs ...any)
}

// Recorder counts ended requests and the system's own traffic.
type Recorder interface {
	// Record counts one ended request.
	Record(record decider.Record)
	// Control counts messages and bytes of one kind of control traffic.
	Control(kind recorder.ControlKind, count, bytes int)
	// SetClasses sets the classes whose targets are counted.
	SetClasses(configuration *definer.Configuration)
	// Snapshot returns what was counted.
	Snapshot() recorder.Snapshot
	// Handler serves what was counted to a scraper.
	Handler() http.Handler
}

// Platform carries out the core's calls to the platform and delivers what it
// says as events.
type Platform interface {
	// Start begins work until the context ends; it returns at once.
	Start(ctx context.Context)
	// Call carries out one call; a decider.PlatformAnswered event follows.
	Call(call decider.CallPlatform)
	// SetWatching sets whether to watch the configuration and the list of VMs.
	SetWatching(hold bool)
	// Done is closed once every call has ended.
	Done() <-chan struct{}
}

// Option changes one setting of a Node.
type Option func(*Node)

// WithCallers sets where callers are served.
func WithCallers(listener net.Listener, options ...server.Option) Option {
	return func(node *Node) { node.callers, node.serverOptions = listener, options }
}

// WithInner sets where peers are served and the address at which they reach it.
func WithInner(listener net.Listener, address string) Option {
	return func(node *Node) { node.inner, node.innerAddress = listener, address }
}

// WithInnerTLS sets the mutual TLS between peers.
func WithInnerTLS(serverSide, clientSide *tls.Config) Option {
	return func(node *Node) { node.serverTLS, node.clientTLS = serverSide, clientSide }
}

// WithOperators sets where operators are served and their token.
func WithOperators(listener net.Listener, token string) Option {
	return func(node *Node) { node.operators, node.operatorToken = listener, token }
}

// WithPlatform sets how to reach the platform. The function gets what takes in
// the platform's events.
func WithPlatform(connect func(deliver func(decider.Event)) Platform) Option {
	return func(node *Node) { node.connect = connect }
}

// WithSeeds sets the VMs known before the platform's list can be read.
func WithSeeds(vms ...decider.ListedVM) Option {
	return func(node *Node) { node.coreOptions = append(node.coreOptions, decider.WithBootstrapVMs(vms)) }
}

// WithCore passes options on to the core.
func WithCore(options ...decider.Option) Option {
	return func(node *Node) { node.coreOptions = append(node.coreOptions, options...) }
}

// WithDispatcher passes options on to the dispatcher.
func WithDispatcher(options ...dispatcher.Option) Option {
	return func(node *Node) { node.dispatcherOptions = append(node.dispatcherOptions, options...) }
}

// WithLogger sets where numbered events go.
func WithLogger(logger Logger) Option {
	return func(node *Node) { node.logger = logger }
}

// WithRecorder sets where requests and control traffic are counted.
func WithRecorder(recorder Recorder) Option {
	return func(node *Node) { node.recorder = recorder }
}

// WithDrain sets how long readiness fails before a planned stop begins, and
// how long the stop may take.
func WithDrain(balancerDelay, timeout time.Duration) Option {
	return func(node *Node) { node.balancerDelay, node.drainTimeout = balancerDelay, timeout }
}

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

// Logger logs numbered events.
type Logger interface {
	// Event logs an event; pairs alternate names and values.
	Event(number int, pairs ...any)
	// EventAt logs an event that happened at a time.
	EventAt(at time.Time, number int, pairs ...any)
}

// Recorder keeps statistics of ended requests and of control traffic.
type Recorder interface {
	// Record counts an ended request.
	Record(record decider.Record)
	// Control adds to the counts of messages and bytes of a kind of control traffic.
	Control(kind recorder.ControlKind, count, bytes int)
	// SetClasses sets the classes whose targets are evaluated.
	SetClasses(configuration *definer.Configuration)
	// Snapshot returns the current statistics.
	Snapshot() recorder.Snapshot
	// Handler returns the handler that serves the statistics as metrics to a scraper.
	Handler() http.Handler
}

// Platform executes the core's calls to the platform and delivers the platform's answers and
// changes as events.
type Platform interface {
	// Start starts the work in the background, until the context ends, and returns immediately.
	Start(ctx context.Context)
	// Call executes a call; its result is delivered as a decider.PlatformAnswered event.
	Call(call decider.CallPlatform)
	// SetWatching sets whether the configuration and the list of VMs are watched.
	SetWatching(watch bool)
	// Done returns a channel that is closed when every call has ended.
	Done() <-chan struct{}
}

// Option configures a Node.
type Option func(*Node)

// WithCallers sets the listener for callers and the options of the server.
func WithCallers(listener net.Listener, options ...server.Option) Option {
	return func(node *Node) { node.callerListener, node.serverOptions = listener, options }
}

// WithInner sets the listener for peers and the address at which they reach it.
func WithInner(listener net.Listener, address string) Option {
	return func(node *Node) { node.innerListener, node.innerAddress = listener, address }
}

// WithInnerTLS sets the configurations of mutual TLS between peers.
func WithInnerTLS(serverSide, clientSide *tls.Config) Option {
	return func(node *Node) { node.innerServerTLS, node.innerClientTLS = serverSide, clientSide }
}

// WithOperators sets the listener for operators and their bearer token.
func WithOperators(listener net.Listener, token string) Option {
	return func(node *Node) { node.operatorListener, node.operatorToken = listener, token }
}

// WithPlatform sets the function that creates the platform's client. Its argument delivers the
// platform's events to the node.
func WithPlatform(connect func(deliver func(decider.Event)) Platform) Option {
	return func(node *Node) { node.connectPlatform = connect }
}

// WithBootstrapVMs sets the VMs that are used until the platform's list of VMs has been read.
func WithBootstrapVMs(vms ...decider.ListedVM) Option {
	return func(node *Node) { node.coreOptions = append(node.coreOptions, decider.WithBootstrapVMs(vms)) }
}

// WithCoreOptions adds options of the core.
func WithCoreOptions(options ...decider.Option) Option {
	return func(node *Node) { node.coreOptions = append(node.coreOptions, options...) }
}

// WithDispatcherOptions adds options of the dispatcher.
func WithDispatcherOptions(options ...dispatcher.Option) Option {
	return func(node *Node) { node.dispatcherOptions = append(node.dispatcherOptions, options...) }
}

// WithMemory sets what bounds the memory that callers' requests, upstreams' answers and peers' messages take. The
// default is one for an unknown memory limit.
func WithMemory(memory *Memory) Option {
	return func(node *Node) { node.memory = memory }
}

// WithLogger sets the logger of events. The default discards them.
func WithLogger(logger Logger) Option {
	return func(node *Node) { node.logger = logger }
}

// WithRecorder sets the recorder of requests and control traffic. The default is a recorder that
// the node creates and closes.
func WithRecorder(recorder Recorder) Option {
	return func(node *Node) { node.recorder = recorder }
}

// WithDrain sets how long readiness fails before a graceful shutdown begins, and the time limit of
// the shutdown.
func WithDrain(balancerDelay, timeout time.Duration) Option {
	return func(node *Node) { node.balancerDelay, node.drainTimeout = balancerDelay, timeout }
}

package limpetcleat

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/messenger"
	"limpetcleat/recorder"
	"limpetcleat/server"
	"limpetcleat/timer"
)

const (
	defaultBalancerDelay = 2 * time.Second
	defaultDrainTimeout  = 2 * time.Minute
)

// Node is one process of the system, in all of its roles.
//
// Lock order: core first. While core is held, an action takes at most one of these locks at a
// time: that of the server's table of calls, the timer, the messenger's peers, the dispatcher's
// queue of cancellations, the recorder, the platform's queue of calls, or the platform's set of
// watches. No other lock is taken under any of these, so none of them is held when core is taken.
//
// The node owns its parts, and Run waits for each: for the timer, the messenger and the platform
// through Done, for the journal through its done channel, for the two HTTP servers through
// background, and for the server and the dispatcher through Close.
type Node struct {
	// core guards decider and serialises the execution of its actions.
	core    sync.Mutex
	decider *decider.Decider

	vm         definer.VM
	dataCentre definer.DataCentre

	callerListener   net.Listener
	innerListener    net.Listener
	innerAddress     string
	operatorListener net.Listener
	operatorToken    string
	innerServerTLS   *tls.Config
	innerClientTLS   *tls.Config
	connectPlatform  func(deliver func(decider.Event)) Platform

	coreOptions       []decider.Option
	dispatcherOptions []dispatcher.Option
	serverOptions     []server.Option
	balancerDelay     time.Duration
	drainTimeout      time.Duration

	// memory bounds what peers send, and the receive buffers.
	memory   *Memory
	logger   Logger
	journal  *journal
	recorder Recorder
	// ownedRecorder is nil if the recorder was set by an option.
	ownedRecorder io.Closer

	server     *server.Server
	dispatcher *dispatcher.Dispatcher
	messenger  *messenger.Messenger
	timer      *timer.Service[decider.TimerKey]
	platform   Platform
	// background runs the journal and the HTTP servers.
	background conc.WaitGroup

	// partsContext bounds the lifetime of the node's parts; Run sets it.
	partsContext context.Context
	// drainRequested is closed to request a graceful shutdown, stopped once it has completed.
	drainRequested chan struct{}
	drainOnce      sync.Once
	stopped        chan struct{}
	// done is closed by Run when every part has ended.
	done chan struct{}
}

// New returns a Node. Without options it serves no callers, peers or operators and has no platform.
func New(vm definer.VM, dataCentre definer.DataCentre, options ...Option) *Node {
	node := &Node{
		vm:             vm,
		dataCentre:     dataCentre,
		balancerDelay:  defaultBalancerDelay,
		drainTimeout:   defaultDrainTimeout,
		logger:         discardLogger{},
		memory:         NewMemory(0),
		drainRequested: make(chan struct{}),
		stopped:        make(chan struct{}),
		done:           make(chan struct{}),
	}
	for _, option := range options {
		option(node)
	}
	if node.recorder == nil {
		own := recorder.New(recorder.WithNode(vm))
		node.recorder, node.ownedRecorder = own, own
	}
	node.journal = newJournal(node.logger)
	self := definer.Member{VM: vm, Incarnation: definer.Incarnation(time.Now().UnixNano())}
	node.decider = decider.New(self, dataCentre, node.innerAddress, node.coreOptions...)
	node.dispatcher = dispatcher.New(append([]dispatcher.Option{dispatcher.WithLog(node.journal.event), dispatcher.WithMemory(node.memory.answers), dispatcher.WithAnnouncements(func(announced decider.UpstreamAnnounced) { node.Submit(announced) })}, node.dispatcherOptions...)...)
	node.server = server.New(node, node.dispatcher, append([]server.Option{server.WithPeers(node), server.WithMemory(node.memory.bodies)}, node.serverOptions...)...)
	node.timer = timer.New(func(key decider.TimerKey) { node.Submit(decider.TimerFired{Key: key}) })
	node.messenger = messenger.New(self, dataCentre, node.receive,
		messenger.WithTLS(node.innerServerTLS, node.innerClientTLS),
		messenger.WithReports(node.journal.report),
		messenger.WithMemory(node.memory.messages),
		messenger.WithSizer(node.memory.sizer),
		messenger.WithCounts(
			func(messages, bytes int) { node.recorder.Control(recorder.MessageSent, messages, bytes) },
			func(messages, bytes int) { node.recorder.Control(recorder.MessageReceived, messages, bytes) },
		))
	if node.connectPlatform != nil {
		node.platform = node.connectPlatform(node.Submit)
	}
	return node
}

// discardLogger is a Logger that discards all events.
type discardLogger struct{}

// Event discards the event.
func (discardLogger) Event(int, ...any) {}

// EventAt discards the event.
func (discardLogger) EventAt(time.Time, int, ...any) {}

// Submit passes an event to the core and executes the resulting actions. It is safe for concurrent
// use and never blocks on a peer or an upstream.
func (node *Node) Submit(event decider.Event) {
	node.core.Lock()
	defer node.core.Unlock()
	node.carryOut(node.decider.Handle(time.Now(), event))
}

// Forward sends a forwarded call, or the answer to one, to the peer at the address.
func (node *Node) Forward(address string, message messenger.Message) {
	node.messenger.Send(node.partsContext, address, node.withReplyAddress(message))
}

// withReplyAddress returns a copy of a forwarded call with this node as the address for the answer,
// and any other message unchanged. The original call is not modified, since an earlier send of it
// may still be waiting for its encoding.
func (node *Node) withReplyAddress(message messenger.Message) messenger.Message {
	call, ok := message.(*messenger.CallForward)
	if !ok {
		return message
	}
	addressed := *call
	addressed.ReplyTo = node.innerAddress
	return &addressed
}

// receive dispatches a message from a peer.
func (node *Node) receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.CallForward:
		node.server.ServeForwarded(message)
		return
	case *messenger.CallAnswer:
		node.server.DeliverAnswer(message)
		return
	}
	node.Submit(decider.MessageReceived{From: from, DataCentre: dataCentre, Message: message})
}

// carryOut executes actions in order. The caller holds core, so no action may block.
func (node *Node) carryOut(actions []decider.Action) {
	for _, action := range actions {
		node.carryOutOne(action)
	}
}

func (node *Node) carryOutOne(action decider.Action) {
	switch action := action.(type) {
	case decider.RequestAction:
		node.server.DeliverAction(action.RequestID(), action)
	case decider.CancelUpstreamWork:
		node.dispatcher.Cancel(action.Upstream, action.Attempt)
	case decider.SendMessage:
		node.messenger.Send(node.partsContext, action.Address, action.Message)
	case decider.SetTimer:
		node.timer.Set(action.Key, action.At)
	case decider.ClearTimer:
		node.timer.Clear(action.Key)
	case decider.Record:
		node.recorder.Record(action)
		node.journal.put(requestEndedEvent(action))
	case decider.LogEvent:
		node.journal.put(action)
	case decider.ConfigurationApplied:
		node.recorder.SetClasses(action.Configuration)
		node.server.Apply(action.Configuration)
	case decider.Stopped:
		close(node.stopped)
	default:
		node.carryOutOnPlatform(action)
	}
}

func (node *Node) carryOutOnPlatform(action decider.Action) {
	if node.platform == nil {
		return
	}
	switch action := action.(type) {
	case decider.CallPlatform:
		node.recorder.Control(recorder.PlatformCall, 1, len(action.Value))
		node.platform.Call(action)
	case decider.WatchPlatform:
		node.platform.SetWatching(action.Watch)
	}
}

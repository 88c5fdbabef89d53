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

// Node is one process of the system, with every role that it can take.
//
// Lock order: core first. While it is held, actions take one of these locks at a
// time: that of the server's table of calls, of the timer, of the messenger's
// peers, of the dispatcher's queue of cancels, of the recorder, of
// the platform's queue of calls or of its holder of watches. No other lock is
// taken under any of these, so that none is held while core is taken.
//
// The node owns its parts and waits in Run for each: the timer, the messenger
// and the platform by their Done, the journal by its done channel, the two HTTP
// servers by group, the server and the dispatcher by Close.
type Node struct {
	// core guards decider and, with it, the order of the actions.
	core    sync.Mutex
	decider *decider.Decider

	vm         definer.VM
	dataCentre definer.DataCentre

	callers       net.Listener
	inner         net.Listener
	innerAddress  string
	operators     net.Listener
	operatorToken string
	serverTLS     *tls.Config
	clientTLS     *tls.Config
	connect       func(deliver func(decider.Event)) Platform

	coreOptions       []decider.Option
	dispatcherOptions []dispatcher.Option
	serverOptions     []server.Option
	balancerDelay     time.Duration
	drainTimeout      time.Duration

	logger   Logger
	journal  *journal
	recorder Recorder
	// ownRecorder is nil when the recorder was given from outside.
	ownRecorder io.Closer

	server     *server.Server
	dispatcher *dispatcher.Dispatcher
	messenger  *messenger.Messenger
	timer      *timer.Service[decider.TimerKey]
	platform   Platform
	// group runs the journal and the HTTP servers.
	group conc.WaitGroup

	// ctx is the life of the node's parts; it is set by Run.
	ctx context.Context
	// drain is closed when a planned stop is wanted, stopped when it is over.
	drain     chan struct{}
	drainOnce sync.Once
	stopped   chan struct{}
	// done is closed by Run once every part has ended.
	done chan struct{}
}

// New returns a node. Without options it has no callers, peers or platform.
func New(vm definer.VM, dataCentre definer.DataCentre, options ...Option) *Node {
	node := &Node{
		vm:            vm,
		dataCentre:    dataCentre,
		balancerDelay: defaultBalancerDelay,
		drainTimeout:  defaultDrainTimeout,
		logger:        quiet{},
		drain:         make(chan struct{}),
		stopped:       make(chan struct{}),
		done:          make(chan struct{}),
	}
	for _, option := range options {
		option(node)
	}
	if node.recorder == nil {
		own := recorder.New(recorder.WithNode(vm))
		node.recorder, node.ownRecorder = own, own
	}
	node.journal = newJournal(node.logger)
	self := definer.Member{VM: vm, Incarnation: definer.Incarnation(time.Now().UnixNano())}
	node.decider = decider.New(self, dataCentre, node.innerAddress, node.coreOptions...)
	node.dispatcher = dispatcher.New(append([]dispatcher.Option{dispatcher.WithLog(node.journal.event), dispatcher.WithAnnouncements(func(announced decider.UpstreamAnnounced) { node.Submit(announced) })}, node.dispatcherOptions...)...)
	node.server = server.New(node, node.dispatcher, append([]server.Option{server.WithPeers(node)}, node.serverOptions...)...)
	node.timer = timer.New(func(key decider.TimerKey) { node.Submit(decider.TimerFired{Key: key}) })
	node.messenger = messenger.New(self, dataCentre, node.receive,
		messenger.WithTLS(node.serverTLS, node.clientTLS),
		messenger.WithReports(node.journal.report),
		messenger.WithCounts(
			func(messages, bytes int) { node.recorder.Control(recorder.MessageSent, messages, bytes) },
			func(messages, bytes int) { node.recorder.Control(recorder.MessageReceived, messages, bytes) },
		))
	if node.connect != nil {
		node.platform = node.connect(node.Submit)
	}
	return node
}

// quiet is a Logger that keeps nothing.
type quiet struct{}

// Event drops an event.
func (quiet) Event(int, ...any) {}

// Submit hands the core one event and carries out what it wants. It may be
// called by any goroutine and never blocks on a peer or an upstream.
func (node *Node) Submit(event decider.Event) {
	node.core.Lock()
	defer node.core.Unlock()
	node.carryOut(node.decider.Handle(time.Now(), event))
}

// Forward sends a call, or the answer to one, to the peer at the address.
func (node *Node) Forward(address string, message messenger.Message) {
	node.messenger.Send(node.ctx, address, node.withReplyAddress(message))
}

// withReplyAddress returns a call with this node as the one that takes its answer, and
// any other message as it is. The call itself stays as it was: one that is sent again
// may still be on its way to be encoded.
func (node *Node) withReplyAddress(message messenger.Message) messenger.Message {
	call, ok := message.(*messenger.CallForward)
	if !ok {
		return message
	}
	addressed := *call
	addressed.ReplyTo = node.innerAddress
	return &addressed
}

func (node *Node) receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	switch message := message.(type) {
	case *messenger.CallForward:
		node.server.TakeForwarded(message)
		return
	case *messenger.CallAnswer:
		node.server.Answer(message)
		return
	}
	node.Submit(decider.MessageReceived{From: from, DataCentre: dataCentre, Message: message})
}

// carryOut carries out actions in order; core is held, so none may block.
func (node *Node) carryOut(actions []decider.Action) {
	for _, action := range actions {
		node.carry(action)
	}
}

func (node *Node) carry(action decider.Action) {
	switch action := action.(type) {
	case decider.RequestAction:
		node.server.Hand(action.RequestID(), action)
	case decider.CancelUpstreamWork:
		node.dispatcher.Cancel(action.Upstream, action.Attempt)
	case decider.SendMessage:
		node.messenger.Send(node.ctx, action.Address, action.Message)
	case decider.SetTimer:
		node.timer.Set(action.Key, action.At)
	case decider.ClearTimer:
		node.timer.Clear(action.Key)
	case decider.Record:
		node.recorder.Record(action)
		node.journal.put(ended(action))
	case decider.LogEvent:
		node.journal.put(action)
	case decider.ConfigurationApplied:
		node.recorder.SetClasses(action.Configuration)
		node.server.Apply(action.Configuration)
	case decider.Stopped:
		close(node.stopped)
	default:
		node.carryToPlatform(action)
	}
}

func (node *Node) carryToPlatform(action decider.Action) {
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

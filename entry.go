package limpetcleat

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/acceptor"
	"limpetcleat/announcer"
	"limpetcleat/apportioner"
	"limpetcleat/budgeter"
	"limpetcleat/confiner"
	"limpetcleat/connector"
	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/delegator"
	"limpetcleat/exchanger"
	"limpetcleat/forwarder"
	"limpetcleat/gatekeeper"
	"limpetcleat/informer"
	"limpetcleat/leaseholder"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/monitor"
	"limpetcleat/quarantiner"
	"limpetcleat/registrar"
	"limpetcleat/relayer"
	"limpetcleat/selector"
	"limpetcleat/steward"
	"limpetcleat/throttler"
	"limpetcleat/timekeeper"
	"limpetcleat/versioner"
)

const (
	// sweepInterval is the interval between sweeps of idle upstream connections, and between refreshes.
	sweepInterval = 200 * time.Millisecond
	// callerHeaderTimeout is the time limit for reading a request's header. Operators use limits
	// between 3 and 10 s.
	callerHeaderTimeout = 10 * time.Second
	// readinessHeaderBytes is the largest header of a readiness check.
	readinessHeaderBytes = 16 << 10
	// confirmationMargin is subtracted from the platform's revocation bound to obtain the lifetime
	// of a confirmed configuration. It covers the transit time of a request.
	confirmationMargin = 300 * time.Millisecond
	// retryShareFraction is the fraction of the platform's retry share that the nodes use. The
	// rest is a margin, because a node counts only its own requests and the windows of the nodes
	// and the platform do not coincide.
	retryShareFraction = 0.8
	// minBudgetNodes is the least number of nodes by which the platform's fixed number of retries
	// is divided, because the list of nodes may be unread or out of date.
	minBudgetNodes = 48
	// balancerDetectionTime is the longest time until the load balancer treats a node as not
	// ready: two probes one second apart, plus transit.
	balancerDetectionTime = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period the remaining requests are aborted.
	stopMargin = 500 * time.Millisecond
	// refusalGraceShare is the fraction of the grace period after which requests are refused that come in or
	// could not be answered in the rest of it. Callers may count on requests that they send in the first three of
	// eight seconds to be answered.
	refusalGraceShare = 0.35
	// allowedDelayShare is the part of the shortest latency objective by which all wake-ups of the process
	// may be late, and minAllowedDelay is the least such delay.
	allowedDelayShare = 0.5
	minAllowedDelay   = 50 * time.Millisecond
	// unsentMargin is how long before the remaining requests are aborted those that were not
	// sent to an upstream are refused, so that their callers read the refusal.
	unsentMargin = 500 * time.Millisecond
)

// EntrySettings configures an Entry.
type EntrySettings struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	// InnerAddress is the address at which peers reach this node.
	InnerAddress string
	// LinkMbps is the bandwidth of this VM's network link in Mbit/s; 0 means unknown.
	LinkMbps int
	// MemoryLimit is the memory limit of the process in bytes, DescriptorLimit its limit of file
	// descriptors; 0 means unknown. Memory bounds what the node holds of what others send; nil means one
	// for the MemoryLimit.
	MemoryLimit     int64
	Memory          *Memory
	DescriptorLimit int64
	// Bounds are how long after the store's acknowledgement a change may be without effect.
	Bounds delegator.Bounds
	// UpstreamExpiry is how long after its last write the store removes the entry of an upstream; 0
	// means informer.DefaultUpstreamExpiry.
	UpstreamExpiry time.Duration
	// GracePeriod is the time limit of a graceful shutdown.
	GracePeriod time.Duration
	// RetryShare and RetrySlack bound the retries of all nodes together within RetryWindow: a
	// share of the requests and a fixed number.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Shares makes organisations share the capacity of engines while it is short, on all nodes that
	// have it set.
	Shares bool
	// DialUpstream opens connections to upstreams; nil means plain TCP.
	DialUpstream connector.Dial
	// Delegation makes a few nodes read the store and distribute its content to their peers;
	// without it, each node reads the store itself. Nodes of both kinds may run side by side.
	Delegation bool
	// Duties are the platform's duties, which one node at a time performs for all nodes.
	Duties Duties
	// Bootstrap is set at the first start of a whole deployment.
	Bootstrap bool
	// StoreReaderChanged is called when this node starts or stops reading the store; it may be nil.
	StoreReaderChanged func(reads bool)
	// LongestBackoff caps the backoff that an upstream may request; 0 means
	// interpreter.MaxRetryAfter.
	LongestBackoff time.Duration
	// AnnouncementsCounted is called with the number of upstreams by announcement, PermitResolved
	// with the outcome of each request for a permit to use a rate-limited upstream, and BackedOff
	// for each refusal that requests a backoff. Each may be nil.
	AnnouncementsCounted func(counts announcer.Counts)
	PermitResolved       func(outcome throttler.Outcome)
	BackedOff            func()
	// OriginSearched is called with the outcome of each search for the software version that began a
	// stream; it may be nil.
	OriginSearched func(outcome versioner.Outcome)
	// CopyAged is called with for how long it has not been known that the node's list of upstreams is
	// complete, several times a second; it may be nil.
	CopyAged func(age time.Duration)
	// ProbationChanged is called with the number of upstreams that get no requests since their entries
	// were written again after a removal.
	ProbationChanged func(upstreams int)
	// MissingChanged is called with the number of upstreams whose entries were removed and may be back
	// after an outage of the store.
	MissingChanged func(upstreams int)
	// ContradictionsCounted is called with how often, since the start, a list or a peer had entries that the
	// node's copy lacked although it claimed to have all changes.
	ContradictionsCounted func(count int)
	// SuspicionsCounted is called with the number of requests that are held off and the number
	// that are suspected of crashing upstreams; it may be nil.
	SuspicionsCounted func(held, suspected int)
	// LossesCounted is called with the number of upstreams that are presumed lost and the number of
	// observations of losses since the start, whenever they change; it may be nil.
	LossesCounted func(counts corroborator.Counts)
	// Regions are the regions of the data centres.
	Regions map[definer.DataCentre]definer.Region
	// EvacuationsCounted is called with the number of evacuated data centres; it may be nil.
	EvacuationsCounted func(count int)
	// ShortServicesCounted is called with the number of services whose capacity is short, after
	// each change; it may be nil.
	ShortServicesCounted func(services int)
	// RelayedCounted is called with the number of connections that this node relays for peers,
	// RelaysCounted with those that peers relay for it, and LostPathsCounted with the number of
	// upstreams that it reaches through peers only, whenever they change. Each may be nil.
	RelayedCounted   func(open int)
	RelaysCounted    func(open int)
	LostPathsCounted func(lost int)
	// ConnectionsCounted is called with the number of connections to upstreams that limit it, after each
	// change; it may be nil.
	ConnectionsCounted func(counts gatekeeper.Counts)
	// ConnectionJudged is called for each new connection of a caller with why it was closed unread, or an
	// empty reason; it may be nil.
	ConnectionJudged func(reason acceptor.Reason)
	// HeldBytesChanged is called with what the process holds in memory of what others have sent after it
	// has changed; it may be nil.
	HeldBytesChanged func(held monitor.Held)
	// UsageRead is called each second with what the process uses and holds for callers; it may be nil.
	UsageRead func(usage monitor.Usage, work monitor.Work)
}

// Duties describes the platform's duties, which one node at a time performs for all nodes.
type Duties struct {
	Settings steward.Settings
	Store    leaseholder.Store
	// Platform performs the duties; nil means that there are none.
	Platform steward.Platform
	// StatusChanged is called with the new status after each change.
	StatusChanged func(status steward.Status)
}

// Entry is a node that selects the upstream of each request by itself, based on the platform's
// store and on the outcomes of its own requests.
//
// An Entry owns its informer, the forwarder's timer, the journal and the HTTP servers; Run waits
// until all of them have ended.
type Entry struct {
	settings  EntrySettings
	memory    *Memory
	journal   *journal
	informer  *informer.Informer
	messenger *messenger.Messenger
	connector *connector.Connector
	// relayer connects peers that have lost their paths to upstreams.
	relayer    *relayer.Relayer
	quarantine *quarantiner.Quarantiner
	selector   *selector.Selector
	announcer  *announcer.Announcer
	throttler  *throttler.Throttler
	// gatekeeper bounds the connections to upstreams.
	gatekeeper *gatekeeper.Gatekeeper
	// versioner keeps which software version began each stream.
	versioner *versioner.Versioner
	confiner  *confiner.Confiner
	// apportioner judges which requests exceed their organisation's share.
	apportioner *apportioner.Apportioner
	forwarder   *forwarder.Forwarder
	// corroborator decides which upstreams are presumed lost.
	corroborator *corroborator.Corroborator
	// steward is nil if the platform has no duties.
	steward *steward.Steward
	// acceptor decides which connections of callers are accepted.
	acceptor        *acceptor.Acceptor
	callerServer    *http.Server
	readinessServer *http.Server
	// callerConnections is the number of open connections of callers.
	callerConnections atomic.Int64
	// monitor watches the limits of the process.
	monitor *monitor.Monitor
	// ready is the readiness last reported to the load balancer.
	ready atomic.Bool
	// drainRequested is closed to request a graceful shutdown.
	drainRequested chan struct{}
	// crash is set, once, before crashNoticed is closed: a part of the node has panicked.
	crash        *Error
	crashed      sync.Once
	crashNoticed chan struct{}
	background   conc.WaitGroup
}

// NewEntry returns an Entry that uses the protocol with callers and upstreams and passes the
// record of each request to record.
func NewEntry(settings EntrySettings, protocol forwarder.Protocol, feeds informer.Feeds, events Logger, record func(forwarder.Record)) *Entry {
	entry := &Entry{
		settings:       settings,
		memory:         cmp.Or(settings.Memory, NewMemory(settings.MemoryLimit)),
		journal:        newJournal(events),
		drainRequested: make(chan struct{}),
		crashNoticed:   make(chan struct{}),
	}
	entry.connector = connector.New(entry.connectorOptions()...)
	upstreamSelector := selector.New(settings.DataCentre, selector.WithLog(entry.journal.event))
	entry.selector = upstreamSelector
	entry.announcer = announcer.New(entry.announcerOptions()...)
	entry.corroborator = corroborator.New(settings.VM, entry.corroboratorOptions()...)
	entry.confiner = confiner.New(settings.Regions, entry.confinerOptions(feeds)...)
	entry.apportioner = apportioner.New(entry.apportionerOptions()...)
	entry.quarantine = quarantiner.New(quarantiner.WithVerdicts(entry.journal.requestHeldOff, entry.journal.requestReleased), quarantiner.WithCounts(settings.SuspicionsCounted))
	self := definer.Member{VM: settings.VM, Incarnation: definer.Incarnation(time.Now().UnixNano())}
	entry.relayer = relayer.New(entry.connector.Dial, entry.mayRelayTo, relayer.WithOpenCount(entry.relayedCounted), relayer.WithMaxConns(int(entry.memory.incoming/relayedPart)))
	entry.messenger = messenger.New(self, settings.DataCentre, entry.receive, messenger.WithReports(entry.journal.report), messenger.WithStreams(entry.relayer.Serve),
		messenger.WithMemory(entry.memory.messages), messenger.WithMaxIncoming(int(entry.memory.incoming)), messenger.WithSizer(entry.memory.sizer))
	clock := timekeeper.New(timekeeper.SystemClock())
	entry.informer = informer.New(entry.peer(), feeds, upstreamSelector, entry.messenger, append(entry.informerOptions(), informer.WithIncarnation(self.Incarnation), informer.WithClock(clock))...)
	entry.throttler = throttler.New(entry.peer(), entry.informer, entry.messenger, entry.announcer, entry.throttlerOptions()...)
	entry.gatekeeper = gatekeeper.New(entry.throttler, entry.gatekeeperOptions()...)
	entry.versioner = versioner.New(entry.peer(), entry.informer, entry.messenger, entry.versions(), entry.versionerOptions()...)
	entry.createSteward(self, clock, upstreamSelector)
	budget := budgeter.New(budgeter.Policy{
		Share:  settings.RetryShare * retryShareFraction,
		Slack:  settings.RetrySlack,
		Nodes:  func() int { return max(entry.informer.CountPeers()+1, minBudgetNodes) },
		Window: settings.RetryWindow,
	}, time.Now())
	entry.forwarder = forwarder.New(protocol, entry.informer, entry.informer.Upstreams(), upstreamSelector, budget, entry.connector, entry.forwarderOptions(record)...)
	entry.acceptor = acceptor.New(entry.allowedDelay, entry.acceptorOptions()...)
	entry.callerServer = &http.Server{Handler: entry.forwarder, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true, ConnState: entry.callerConnectionChanged}
	entry.acceptor.Attach(entry.callerServer)
	entry.monitor = monitor.New(monitor.Limits{Memory: settings.MemoryLimit, Descriptors: settings.DescriptorLimit}, monitor.Process{}, entry.work, entry.monitorOptions()...)
	entry.readinessServer = &http.Server{Handler: http.HandlerFunc(entry.answerReadiness), ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: readinessHeaderBytes}
	return entry
}

// callerConnectionChanged counts the open connections of callers.
func (entry *Entry) callerConnectionChanged(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		entry.callerConnections.Add(1)
	case http.StateClosed, http.StateHijacked:
		entry.callerConnections.Add(-1)
	case http.StateActive, http.StateIdle:
	}
}

// work returns what this node holds for callers.
func (entry *Entry) work() monitor.Work {
	return monitor.Work{Connections: entry.callerConnections.Load(), Streams: entry.forwarder.OpenStreams(), Held: entry.memory.Held()}
}

// createSteward creates the steward if the platform has duties.
func (entry *Entry) createSteward(self definer.Member, clock *timekeeper.Timekeeper, upstreamSelector *selector.Selector) {
	duties := entry.settings.Duties
	if duties.Platform == nil {
		return
	}
	entry.steward = steward.New(self, duties.Settings, steward.Dependencies{
		Fleet: entry.informer, Clock: clock, Sender: entry.messenger, Store: duties.Store, Platform: duties.Platform,
		Services: entry.informer, Engines: entry.informer.Upstreams(), Demand: upstreamSelector, Log: entry.journal.event, StatusChanged: duties.StatusChanged,
	})
}

// mayRelayTo reports whether peers may be connected to the address.
func (entry *Entry) mayRelayTo(address string) bool {
	return entry.informer.Upstreams().HasAddress(address)
}

// relayPeers returns the nodes that can be asked to relay.
func (entry *Entry) relayPeers() []relayer.Peer {
	nodes, _ := entry.informer.Nodes()
	peers := make([]relayer.Peer, len(nodes))
	for index, node := range nodes {
		peers[index] = relayer.Peer{VM: node.VM, DataCentre: node.DataCentre, Address: node.Address}
	}
	return peers
}

// relayedCounted passes on the number of connections that this node relays.
func (entry *Entry) relayedCounted(open int) {
	if entry.settings.RelayedCounted != nil {
		entry.settings.RelayedCounted(open)
	}
}

// requestBegun counts a request whose attempt at an upstream has begun.
func (entry *Entry) requestBegun(organisation definer.OrganisationName) {
	if entry.steward != nil {
		entry.steward.CountRequest(organisation)
	}
}

// backedOff counts a refusal that requests a backoff.
func (entry *Entry) backedOff() {
	if entry.settings.BackedOff != nil {
		entry.settings.BackedOff()
	}
}

// peer returns this node's entry in the list of peers.
func (entry *Entry) peer() exchanger.Peer {
	return exchanger.Peer{VM: entry.settings.VM, DataCentre: entry.settings.DataCentre, Address: entry.settings.InnerAddress, Link: entry.settings.LinkMbps}
}

// upstreamChanged ends the attempts at the previous incarnation of an upstream that has restarted
// and discards the state of a replaced entry.
func (entry *Entry) upstreamChanged(change registrar.Change) {
	if !change.Removed && change.Upstream.Incarnation > 0 {
		entry.forwarder.UpstreamStarted(change.Upstream.Start())
	}
	if change.Replaced != nil {
		entry.connector.Drop(change.Replaced.Address)
		entry.announcer.Forget(change.Replaced.Start())
	}
	entry.versioner.VersionsChanged(time.Now(), change.Upstream.Service)
}

// evacuationChanged logs that an evacuation began or ended. When it ends, the upstreams of the data
// centre may be cold, which their entries may not state yet.
func (entry *Entry) evacuationChanged(change confiner.Change) {
	dataCentre, evacuations := change.Evacuation.DataCentre, entry.confiner.Evacuations()
	if change.Removed {
		entry.informer.Upstreams().MarkCold(time.Now(), dataCentre, entry.warmUpSpan)
	}
	remaining := len(entry.settings.Regions)
	for _, evacuation := range evacuations {
		if entry.confiner.Knows(evacuation.DataCentre) {
			remaining--
		}
	}
	entry.journal.event(logger.EventEvacuationChanged, "dataCentre", dataCentre, "evacuated", !change.Removed,
		"known", entry.confiner.Knows(dataCentre), "remaining", remaining, "revision", change.Evacuation.Revision)
	if entry.settings.EvacuationsCounted != nil {
		entry.settings.EvacuationsCounted(len(evacuations))
	}
}

// warmUpSpan returns how long the upstreams of a service are cold after a start, by the
// configuration in force.
func (entry *Entry) warmUpSpan(name definer.PoolName) time.Duration {
	if table := entry.informer.Table(); table != nil {
		if service, ok := table.Service(name); ok {
			return service.WarmUp.Span
		}
	}
	return 0
}

// allowedDelay returns how late wake-ups of this process may be: part of the shortest latency objective.
func (entry *Entry) allowedDelay() time.Duration {
	if table := entry.informer.Table(); table != nil {
		return max(time.Duration(allowedDelayShare*float64(table.ShortestObjective())), minAllowedDelay)
	}
	return minAllowedDelay
}

// receive dispatches a message from a peer.
func (entry *Entry) receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	entry.informer.Receive(from, dataCentre, message)
	if entry.steward != nil {
		entry.steward.Receive(from, message)
	}
	entry.throttler.Receive(from, message)
	entry.versioner.Receive(message)
}

// Quarantine returns the quarantiner of requests that crash upstreams.
func (entry *Entry) Quarantine() *quarantiner.Quarantiner { return entry.quarantine }

// Announcer returns the announcer, which keeps the limits and announced departures of upstreams.
func (entry *Entry) Announcer() *announcer.Announcer { return entry.announcer }

// Apportioner returns the apportioner, which judges requests by their organisation's share.
func (entry *Entry) Apportioner() *apportioner.Apportioner { return entry.apportioner }

// Corroborator returns the corroborator, which keeps the evidence of lost upstreams.
func (entry *Entry) Corroborator() *corroborator.Corroborator { return entry.corroborator }

// Throttler returns the throttler, which requests and issues permits.
func (entry *Entry) Throttler() *throttler.Throttler { return entry.throttler }

// Steward returns the steward of the platform's duties, or nil if there are none.
func (entry *Entry) Steward() *steward.Steward { return entry.steward }

// Predictions returns what this node predicts for the engines of each service.
func (entry *Entry) Predictions(now time.Time) []selector.ServicePrediction {
	table := entry.informer.Table()
	if table == nil {
		return nil
	}
	var predictions []selector.ServicePrediction
	for _, service := range table.Definition().Services {
		if service.Engine {
			predictions = append(predictions, entry.selector.Predictions(now, service.Name, entry.informer.Upstreams().Upstreams(service.Name)))
		}
	}
	return predictions
}

// Drain requests a graceful shutdown. It must be called at most once.
func (entry *Entry) Drain() { close(entry.drainRequested) }

// Event logs an event without blocking.
func (entry *Entry) Event(number int, pairs ...any) { entry.journal.event(number, pairs...) }

package limpetcleat

import (
	"cmp"
	"context"
	"errors"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/announcer"
	"limpetcleat/budgeter"
	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/forwarder"
	"limpetcleat/informer"
	"limpetcleat/interpreter"
	"limpetcleat/leaseholder"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/quarantiner"
	"limpetcleat/registrar"
	"limpetcleat/selector"
	"limpetcleat/steward"
	"limpetcleat/throttler"
	"limpetcleat/timekeeper"
	"limpetcleat/timer"
)

const (
	// tickInterval is how often idle connections are looked at.
	tickInterval = 200 * time.Millisecond
	// entryHeaderTimeout bounds how long a caller may take for a request's head;
	// the operators' own bounds are between 3 and 10 s.
	entryHeaderTimeout = 10 * time.Second
	// confirmationMargin is left between the platform's bound on revocation and
	// how long a confirmed configuration is trusted, for the way of a request.
	confirmationMargin = 300 * time.Millisecond
	// retryShareMargin is the part of the platform's share of retries that is
	// used; a node sees only its own requests, and windows differ.
	retryShareMargin = 0.8
	// leastNodes is how many nodes the platform's fixed number of retries is divided
	// by at least: the list of nodes may not have been read yet, or be behind.
	leastNodes = 48
	// heldShare is the part of the memory that requests' bodies may take.
	heldShare = 0.25
	// balancerNotice is how long the balancer may take to notice that a node is
	// not ready: two questions a second apart, and the way.
	balancerNotice = 2500 * time.Millisecond
	// stopMargin is what is left of the grace when the last requests are cut.
	stopMargin = 500 * time.Millisecond
	// refuseShare is the part of the grace after which requests are refused.
	refuseShare = 0.4
)

// EntrySettings are what an Entry is told.
type EntrySettings struct {
	VM         definer.VM
	DataCentre definer.DataCentre
	// Inner is where peers reach this node.
	Inner string
	// Link is what this VM's link carries, in Mbit/s; 0 is unknown.
	Link int
	// Memory is the bound of the process, in bytes.
	Memory int64
	// Revocation is how long after its acknowledgement a revoked key may still be
	// honoured; 0 is for ever.
	Revocation time.Duration
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// RetryShare and RetrySlack bound the retries of all nodes in RetryWindow.
	RetryShare  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// Delegation has nodes tell each other what the store says; without it each asks the
	// store by itself. It has to be the same at all nodes.
	Delegation bool
	// Duties are what the platform has one node at a time do for all.
	Duties Duties
	// First is set at the first start of a whole deployment.
	First bool
	// Asking is told whether this node asks the store; nil is nobody.
	Asking func(asks bool)
	// LongestBackoff bounds how long an upstream may ask not to be sent anything; 0 is by the
	// bound of the headers' reader alone.
	LongestBackoff time.Duration
	// Announced is told how many upstreams have announced what, Permits what became of each ask
	// for a permit to send a request to one with a limit, and BackedOff of each refusal that
	// asks for a backoff; nil is nobody.
	Announced func(counts announcer.Counts)
	Permits   func(outcome throttler.Outcome)
	BackedOff func()
	// Suspecting is told how many requests are held off and how many suspected, since
	// upstreams ended under them; nil is nobody.
	Suspecting func(held, suspected int)
}

// Duties are what the platform has one node at a time do for all.
type Duties struct {
	Settings steward.Settings
	Shelf    leaseholder.Shelf
	// Platform carries them out; nil is when there are none.
	Platform steward.Platform
	// Observe is told of each change of what this node knows of them.
	Observe func(status steward.Status)
}

// Entry is a node that decides by itself where each request runs, on what it
// follows in the platform's store and what its own requests show.
//
// It owns its informer, the forwarder's timer, the journal and the HTTP servers; Run waits
// for each.
type Entry struct {
	settings   EntrySettings
	journal    *journal
	informer   *informer.Informer
	messenger  *messenger.Messenger
	connector  *connector.Connector
	quarantine *quarantiner.Quarantiner
	selector   *selector.Selector
	announcer  *announcer.Announcer
	throttler  *throttler.Throttler
	forwarder  *forwarder.Forwarder
	// steward is nil when the platform has no duties.
	steward   *steward.Steward
	callers   *http.Server
	readiness *http.Server
	// ready is what the balancer was told last.
	ready atomic.Bool
	// drain is closed when a planned stop is wanted.
	drain chan struct{}
	group conc.WaitGroup
}

// NewEntry returns an entry that speaks the protocol with callers and upstreams.
func NewEntry(settings EntrySettings, protocol forwarder.Protocol, feeds informer.Feeds, events Logger, record func(forwarder.Record)) *Entry {
	entry := &Entry{
		settings:  settings,
		journal:   newJournal(events),
		connector: connector.New(),
		drain:     make(chan struct{}),
	}
	choice := selector.New(settings.DataCentre)
	entry.selector = choice
	entry.announcer = announcer.New(entry.announcerOptions()...)
	entry.quarantine = quarantiner.New(quarantiner.WithVerdicts(entry.journal.heldOff, entry.journal.released), quarantiner.WithCounts(settings.Suspecting))
	self := definer.Member{VM: settings.VM, Incarnation: definer.Incarnation(time.Now().UnixNano())}
	entry.messenger = messenger.New(self, settings.DataCentre, entry.receive, messenger.WithReports(entry.journal.report))
	clock := timekeeper.New(timekeeper.SystemClock())
	entry.informer = informer.New(entry.peer(), feeds, choice, entry.messenger, append(entry.informerOptions(), informer.WithIncarnation(self.Incarnation), informer.WithClock(clock))...)
	entry.throttler = throttler.New(entry.peer(), entry.informer, entry.messenger, entry.announcer, entry.throttlerOptions()...)
	entry.takeDuties(self, clock, choice)
	budget := budgeter.New(budgeter.Policy{
		Share:  settings.RetryShare * retryShareMargin,
		Slack:  settings.RetrySlack,
		Nodes:  func() int { return max(entry.informer.CountPeers()+1, leastNodes) },
		Window: settings.RetryWindow,
	}, time.Now())
	entry.forwarder = forwarder.New(protocol, entry.informer, entry.informer.Upstreams(), choice, budget, entry.connector,
		forwarder.WithLog(entry.journal.event),
		forwarder.WithRecord(record),
		forwarder.WithConfirmationLifetime(max(settings.Revocation-confirmationMargin, 0)),
		forwarder.WithMaxHeldBytes(int64(float64(settings.Memory)*heldShare)),
		forwarder.WithRandom(rand.Float64),
		forwarder.WithQuarantine(entry.quarantine),
		forwarder.WithRequestBegun(entry.begun),
		forwarder.WithLimits(entry.announcer, entry.throttler),
		forwarder.WithBackoffs(entry.backedOff),
		forwarder.WithLongestBackoff(cmp.Or(settings.LongestBackoff, interpreter.MaxRetryAfter)),
	)
	entry.callers = &http.Server{Handler: entry.forwarder, ReadHeaderTimeout: entryHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, DisableGeneralOptionsHandler: true}
	entry.readiness = &http.Server{Handler: http.HandlerFunc(entry.answerReadiness), ReadHeaderTimeout: entryHeaderTimeout, IdleTimeout: idleTimeout}
	return entry
}

// takeDuties makes what fulfils the platform's duties, if it has any.
func (entry *Entry) takeDuties(self definer.Member, clock *timekeeper.Timekeeper, choice *selector.Selector) {
	duties := entry.settings.Duties
	if duties.Platform == nil {
		return
	}
	entry.steward = steward.New(self, duties.Settings, steward.Dependencies{
		Fleet: entry.informer, Clock: clock, Sender: entry.messenger, Shelf: duties.Shelf, Platform: duties.Platform,
		Services: entry.informer, Engines: entry.informer.Upstreams(), Demand: choice, Log: entry.journal.event, Observe: duties.Observe,
	})
}

// begun counts a request that has begun at an upstream.
func (entry *Entry) begun(organisation definer.OrganisationName) {
	if entry.steward != nil {
		entry.steward.CountRequest(organisation)
	}
}

// backedOff counts a refusal that asks for a backoff.
func (entry *Entry) backedOff() {
	if entry.settings.BackedOff != nil {
		entry.settings.BackedOff()
	}
}

// peer returns this node as its peers see it.
func (entry *Entry) peer() exchanger.Peer {
	return exchanger.Peer{VM: entry.settings.VM, DataCentre: entry.settings.DataCentre, Address: entry.settings.Inner, Link: entry.settings.Link}
}

// informerOptions returns those of the informer by the settings.
func (entry *Entry) informerOptions() []informer.Option {
	options := []informer.Option{informer.WithLog(entry.journal.event), informer.WithUpstreamChanged(entry.upstreamChanged), informer.WithSuspicions(entry.quarantine), informer.WithAnnouncements(entry.announcer)}
	if entry.settings.Asking != nil {
		options = append(options, informer.WithAskingChanged(entry.settings.Asking))
	}
	if entry.settings.Delegation {
		options = append(options, informer.WithDelegation(entry.settings.Revocation, entry.settings.First))
	}
	return options
}

// announcerOptions returns those of the announcer by the settings.
func (entry *Entry) announcerOptions() []announcer.Option {
	options := []announcer.Option{announcer.WithChanges(entry.announced)}
	if entry.settings.Announced != nil {
		options = append(options, announcer.WithCounts(entry.settings.Announced))
	}
	return options
}

// throttlerOptions returns those of the throttler by the settings.
func (entry *Entry) throttlerOptions() []throttler.Option {
	options := []throttler.Option{throttler.WithLog(entry.journal.event)}
	if entry.settings.Permits != nil {
		options = append(options, throttler.WithCounts(entry.settings.Permits))
	}
	return options
}

// announced has the choice of upstreams go by what one has announced. The announcer is locked.
func (entry *Entry) announced(start definer.UpstreamStart, announcement announcer.Announcement, source announcer.Source) {
	_, limited := announcement.Limit.PerSecond()
	entry.selector.SetLimited(time.Now(), start, limited)
	if source != "" {
		entry.journal.event(logger.EventUpstreamStated, "upstream", start.Upstream, "incarnation", start.Incarnation,
			"limit", announcement.Limit, "leaving", announcement.Leaving, "source", source)
	}
	if !announcement.Leaving {
		return
	}
	if change := entry.informer.Upstreams().MarkLeaving(start); change != nil {
		upstream := change.Upstream
		entry.journal.event(logger.EventUpstreamChanged, "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address,
			"dataCentre", upstream.DataCentre, "leaving", upstream.Leaving, "removed", false, "revision", upstream.Revision, "source", "itself")
	}
}

// upstreamChanged ends what was under way at an upstream that has started again.
func (entry *Entry) upstreamChanged(change registrar.Change) {
	if !change.Removed && change.Upstream.Incarnation > 0 {
		entry.forwarder.UpstreamStarted(change.Upstream.Start())
	}
	if change.Replaced != nil {
		entry.connector.Drop(change.Replaced.Address)
		entry.announcer.Forget(change.Replaced.Start())
	}
}

// receive takes in a message from a peer.
func (entry *Entry) receive(from definer.Member, dataCentre definer.DataCentre, message messenger.Message) {
	entry.informer.Receive(from, dataCentre, message)
	if entry.steward != nil {
		entry.steward.Receive(from, message)
	}
	entry.throttler.Receive(from, message)
}

// Quarantine returns what this node knows of requests that make upstreams end.
func (entry *Entry) Quarantine() *quarantiner.Quarantiner { return entry.quarantine }

// Announcer returns what this node knows of how upstreams want to be asked.
func (entry *Entry) Announcer() *announcer.Announcer { return entry.announcer }

// Throttler returns what asks for permits and hands them out.
func (entry *Entry) Throttler() *throttler.Throttler { return entry.throttler }

// Steward returns what fulfils the platform's duties, nil if there are none.
func (entry *Entry) Steward() *steward.Steward { return entry.steward }

// Drain asks for a planned stop; it is called once.
func (entry *Entry) Drain() { close(entry.drain) }

// Event logs an event without blocking.
func (entry *Entry) Event(number int, pairs ...any) { entry.journal.event(number, pairs...) }

// Run serves callers and the balancer until a planned stop is over.
func (entry *Entry) Run(callers, readiness, inner net.Listener) {
	ctx, end := context.WithCancel(context.Background())
	var parts conc.WaitGroup
	parts.Go(func() { entry.informer.Run(ctx) })
	parts.Go(func() { entry.tick(ctx) })
	stewardCtx, endDuties := context.WithCancel(ctx)
	if entry.steward != nil {
		parts.Go(func() { entry.steward.Run(stewardCtx) })
	}
	entry.messenger.Start(ctx, inner)
	entry.throttler.Start(ctx)
	entry.forwarder.Start(ctx)
	journalCtx, endJournal := context.WithCancel(context.Background())
	entry.group.Go(func() { entry.journal.run(journalCtx) })
	entry.serve(callers, entry.callers)
	entry.serve(readiness, entry.readiness)
	<-entry.drain
	endDuties()
	entry.stop()
	end()
	parts.Wait()
	<-entry.forwarder.Done()
	<-entry.messenger.Done()
	<-entry.throttler.Done()
	entry.connector.Close()
	endJournal()
	entry.group.Wait()
}

// serve serves a listener in the background.
func (entry *Entry) serve(listener net.Listener, server *http.Server) {
	server.ErrorLog = log.New(complaints{entry.journal}, "", 0)
	entry.group.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			entry.journal.event(logger.EventListenerFailed, "listen", listener.Addr(), "cause", err)
		}
	})
}

// stop lets requests end: the balancer is told first, then no new connections
// are taken, and what is left is cut shortly before the grace is over.
func (entry *Entry) stop() {
	deadline := time.Now().Add(entry.settings.Grace - stopMargin)
	entry.journal.event(logger.EventStopStep, "step", "notReady")
	entry.forwarder.CloseConnections()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = timer.Sleep(ctx, balancerNotice) // What follows ends with the context too.
	refusing := time.AfterFunc(time.Duration(refuseShare*float64(entry.settings.Grace))-balancerNotice, entry.forwarder.Refuse)
	defer refusing.Stop()
	entry.journal.event(logger.EventStopStep, "step", "closeIdle")
	if err := entry.callers.Shutdown(ctx); err != nil {
		entry.journal.event(logger.EventStopStep, "step", "cut", "cause", err)
		_ = entry.callers.Close()
	}
	_ = entry.readiness.Close() // Nothing is in flight that matters.
	entry.informer.Withdraw()
	entry.journal.event(logger.EventStopStep, "step", "stopped")
}

// answerReadiness answers the balancer.
func (entry *Entry) answerReadiness(writer http.ResponseWriter, _ *http.Request) {
	ready := entry.forwarder.Ready(time.Now())
	if entry.ready.Swap(ready) != ready {
		entry.journal.event(logger.EventReadinessChanged, "ready", ready, "confirmedAgoMs", time.Since(entry.informer.Confirmed()).Milliseconds(), "storeHealthy", entry.informer.Healthy())
	}
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// tick looks after idle connections to upstreams.
func (entry *Entry) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			entry.connector.Sweep(now)
		}
	}
}

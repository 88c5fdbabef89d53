package limpetcleat

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"

	"limpetcleat/acceptor"
	"limpetcleat/announcer"
	"limpetcleat/apportioner"
	"limpetcleat/confiner"
	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/gatekeeper"
	"limpetcleat/informer"
	"limpetcleat/interpreter"
	"limpetcleat/monitor"
	"limpetcleat/relayer"
	"limpetcleat/throttler"
	"limpetcleat/versioner"
)

// connectorOptions returns the options of the connector according to the settings.
func (entry *Entry) connectorOptions() []connector.Option {
	settings := &entry.settings
	self := relayer.Peer{VM: settings.VM, DataCentre: settings.DataCentre, Address: settings.InnerAddress}
	var relayOptions []relayer.ClientOption
	if settings.RelaysCounted != nil {
		relayOptions = append(relayOptions, relayer.WithCount(settings.RelaysCounted))
	}
	options := []connector.Option{
		connector.WithLog(entry.journal.event),
		connector.WithMemory(entry.memory.answers),
		connector.WithSizer(entry.memory.sizer),
		connector.WithMaxIdle(int(entry.memory.callers / idlePart)),
		connector.WithRelay(relayer.NewClient(self, entry.openStream, entry.relayPeers, relayOptions...)),
	}
	if settings.LostPathsCounted != nil {
		options = append(options, connector.WithLostPaths(settings.LostPathsCounted))
	}
	if settings.DialUpstream != nil {
		options = append(options, connector.WithDial(settings.DialUpstream))
	}
	return options
}

// openStream opens a stream to a peer.
func (entry *Entry) openStream(ctx context.Context, address string) (net.Conn, error) {
	return entry.messenger.OpenStream(ctx, address)
}

// informerOptions returns the options of the informer according to the settings.
func (entry *Entry) informerOptions() []informer.Option {
	options := []informer.Option{informer.WithLog(entry.journal.event), informer.WithUpstreamChanged(entry.upstreamChanged), informer.WithSuspicions(entry.quarantine), informer.WithAnnouncements(entry.announcer), informer.WithEvidence(entry.corroborator), informer.WithConfiner(entry.confiner), informer.WithBounds(entry.settings.Bounds), informer.WithUpstreamExpiry(entry.settings.UpstreamExpiry)}
	if entry.settings.StoreReaderChanged != nil {
		options = append(options, informer.WithStoreReaderChanged(entry.settings.StoreReaderChanged))
	}
	if entry.settings.Shares {
		options = append(options, informer.WithShares(entry.apportioner))
	}
	if entry.settings.Delegation {
		options = append(options, informer.WithDelegation(entry.settings.Bootstrap))
	}
	return options
}

// announcerOptions returns the options of the announcer according to the settings.
func (entry *Entry) announcerOptions() []announcer.Option {
	options := []announcer.Option{announcer.WithChanges(entry.announced), announcer.WithRejectionLimits(entry.rejectionLimitChanged)}
	if entry.settings.AnnouncementsCounted != nil {
		options = append(options, announcer.WithCounts(entry.settings.AnnouncementsCounted))
	}
	return options
}

// throttlerOptions returns the options of the throttler according to the settings.
func (entry *Entry) throttlerOptions() []throttler.Option {
	options := []throttler.Option{throttler.WithLog(entry.journal.event)}
	if entry.settings.PermitResolved != nil {
		options = append(options, throttler.WithCounts(entry.settings.PermitResolved))
	}
	return options
}

// gatekeeperOptions returns the options of the gatekeeper according to the settings.
func (entry *Entry) gatekeeperOptions() []gatekeeper.Option {
	options := []gatekeeper.Option{gatekeeper.WithLog(entry.journal.event)}
	if entry.settings.ConnectionsCounted != nil {
		options = append(options, gatekeeper.WithCounts(entry.settings.ConnectionsCounted))
	}
	return options
}

// confinerOptions returns the options of the confiner according to what the node follows.
func (entry *Entry) confinerOptions(feeds informer.Feeds) []confiner.Option {
	options := []confiner.Option{confiner.WithChanges(entry.evacuationChanged)}
	if feeds.Evacuations != nil {
		options = append(options, confiner.WithOrders())
	}
	return options
}

// acceptorOptions returns the options of the acceptor according to the settings.
func (entry *Entry) acceptorOptions() []acceptor.Option {
	options := []acceptor.Option{
		acceptor.WithLog(entry.journal.event),
		acceptor.WithMemory(entry.memory.bodies),
		acceptor.WithMaxConnections(entry.memory.callers),
	}
	if entry.settings.ConnectionJudged != nil {
		options = append(options, acceptor.WithCount(entry.settings.ConnectionJudged))
	}
	return options
}

// monitorOptions returns the options of the monitor according to the settings.
func (entry *Entry) monitorOptions() []monitor.Option {
	options := []monitor.Option{monitor.WithLog(entry.journal.event)}
	if entry.settings.UsageRead != nil {
		options = append(options, monitor.WithReports(entry.settings.UsageRead))
	}
	return options
}

// versionerOptions returns the options of the versioner according to the settings.
func (entry *Entry) versionerOptions() []versioner.Option {
	options := []versioner.Option{versioner.WithLog(entry.journal.event), versioner.WithCounts(entry.settings.OriginSearched), versioner.WithListAge(entry.informer.VersionListAge())}
	if entry.settings.Bootstrap {
		options = append(options, versioner.WithFirstStart())
	}
	if history := entry.informer.Historian(); history != nil {
		options = append(options, versioner.WithHistory(history))
	}
	return options
}

// versions returns what lists the software versions of services.
func (entry *Entry) versions() versioner.Versions {
	if history := entry.informer.Historian(); history != nil {
		return history
	}
	return entry.informer.Upstreams()
}

// apportionerOptions returns the options of the apportioner according to the settings.
func (entry *Entry) apportionerOptions() []apportioner.Option {
	options := []apportioner.Option{apportioner.WithLog(entry.journal.event), apportioner.WithWeights(entry.weightOf)}
	if entry.settings.ShortServicesCounted != nil {
		options = append(options, apportioner.WithShortCount(entry.settings.ShortServicesCounted))
	}
	return options
}

// forwarderOptions returns the options of the forwarder according to the settings.
func (entry *Entry) forwarderOptions(record func(forwarder.Record)) []forwarder.Option {
	settings := &entry.settings
	options := []forwarder.Option{
		forwarder.WithLog(entry.journal.event),
		forwarder.WithRecord(record),
		forwarder.WithConfirmationLifetime(max(settings.Bounds.Revocation-confirmationMargin, 0)),
		forwarder.WithMemory(entry.memory.bodies, entry.memory.answers),
		forwarder.WithRandom(rand.Float64),
		forwarder.WithQuarantine(entry.quarantine),
		forwarder.WithRequestBegun(entry.requestBegun),
		forwarder.WithLimits(entry.announcer, entry.throttler),
		forwarder.WithConnections(entry.gatekeeper),
		forwarder.WithConfinement(entry.confiner),
		forwarder.WithOrigins(entry.versioner),
		forwarder.WithEvidence(evidence{entry}),
		forwarder.WithBackoffs(entry.backedOff),
		forwarder.WithListedAt(entry.informer.CopyCurrent),
		forwarder.WithSettled(entry.informer.Settled),
		forwarder.WithLongestBackoff(cmp.Or(settings.LongestBackoff, interpreter.MaxRetryAfter)),
	}
	if settings.Shares {
		options = append(options, forwarder.WithShares(entry.apportioner))
	}
	return options
}

// weightOf returns the weight of an organisation by the configuration in force.
func (entry *Entry) weightOf(organisation definer.OrganisationName) float64 {
	if table := entry.informer.Table(); table != nil {
		return table.Weight(organisation)
	}
	return 1
}

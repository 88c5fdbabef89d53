package commander

import (
	"context"
	"errors"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"limpetcleat"
	"limpetcleat/accountant"
	"limpetcleat/informer"
	"limpetcleat/interpreter"
	"limpetcleat/logger"
	"limpetcleat/meter"
	"limpetcleat/operator"
	"limpetcleat/platform"
	"limpetcleat/scaler"
	"limpetcleat/sifter"
)

// memoryLimitShare is the fraction of the process's memory that is set as the soft memory limit of
// the Go runtime. The rest is reserved for stacks, kernel buffers and the binary.
const memoryLimitShare = 0.6

// auxiliaryHeaderTimeout bounds the time to read the header of a request to the metrics or
// operators' port, and auxiliaryHeaderBytes its size.
const (
	auxiliaryHeaderTimeout = 5 * time.Second
	auxiliaryHeaderBytes   = 16 << 10
)

func (commander *Commander) platformCommand() command {
	return command{
		name:    "platform",
		summary: "run one node on the users' platform; SIGTERM starts a planned stop",
		example: platform.SettingsVariable + "=/etc/limpetcleat/boot.yaml limpetcleat platform",
		prepare: func(flags *flag.FlagSet) action {
			metricsPort := flags.Uint("metricsPort", 0, "the `port` that serves metrics at /metrics; 0 disables it")
			operatorPort := flags.Uint("operatorsPort", 0, "the `port` on 127.0.0.1 of the operators' interface, which shows and lifts held-off requests; 0 disables it")
			delegation := flags.Bool("delegation", true, "let a few nodes query the store and forward the results to the others; nodes with and without it may run side by side while it is changed")
			shares := flags.Bool("shares", false, "let organisations share the capacity of engines while it is short; set it on all nodes")
			headroom := flags.Float64("engineHeadroom", scaler.DefaultHeadroom, "number of `engines` to provide for each one that the usual load occupies, to absorb bursts shorter than the start of an engine")
			longestBackoff := flags.Duration("longestBackoff", interpreter.MaxRetryAfter, "the longest `time` for which an upstream that rejects requests may request a backoff")
			return func(ctx context.Context, _ string) error {
				return commander.servePlatform(ctx, &platformOptions{longestBackoff: *longestBackoff, metricsPort: uint16(*metricsPort), operatorPort: uint16(*operatorPort), delegation: *delegation, shares: *shares, headroom: *headroom})
			}
		},
	}
}

// platformOptions holds the flags of the platform command.
type platformOptions struct {
	metricsPort  uint16
	operatorPort uint16
	delegation   bool
	shares       bool
	// headroom is the number of engines to provide for each one that the usual load occupies.
	headroom float64
	// longestBackoff bounds the backoff that an upstream may request.
	longestBackoff time.Duration
}

func (commander *Commander) servePlatform(ctx context.Context, options *platformOptions) error {
	ignoreLostLogReader()
	// SIGHUP ends a process that does not handle it.
	reloads := newReloadNotifier()
	defer reloads.stop()
	log := logger.New(commander.out)
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Event(logger.EventSettingsRejected, "cause", err)
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.MemoryLimit)))
	listeners, err := listenAll(settings.Callers.String(), settings.Readiness.String(), settings.Inner.String())
	if err != nil {
		log.Event(logger.EventListenerFailed, "cause", err)
		return err
	}
	counts := meter.New(func(err error) { log.Event(logger.EventMetricsFailed, "cause", err) })
	accountant := accountant.New(log.Event, counts.CountStoreCall)
	memory := limpetcleat.NewMemory(settings.MemoryLimit)
	store := platform.NewStore(settings.Store, platform.WithMemory(memory.Store(), memory.Sizer()), platform.WithCallObserver(accountant.Count), platform.WithReceivedBytesObserver(counts.CountStoreBytes),
		platform.WithEntryStatusRecorder(sifter.New(log.Event, counts.SetUnreadableEntries)))
	defer store.Close()
	nodeSettings := entrySettings(settings, options, counts)
	nodeSettings.Memory = memory
	if settings.CloudAPI.IsValid() {
		cloudAPI := platform.NewCloudAPI(settings.CloudAPI, memory.Sizer(), accountant.Count)
		defer cloudAPI.Close()
		settings.Duties.Headroom = options.headroom
		nodeSettings.Duties = limpetcleat.Duties{Settings: settings.Duties, Store: platform.NewDutyStore(store), Platform: cloudAPI, StatusChanged: counts.SetDuties}
	}
	feeds := informer.Feeds{
		Configurations: platform.NewConfigurations(store),
		Upstreams:      platform.NewUpstreams(store),
		Peers:          platform.NewPeers(store),
		Versions:       platform.NewVersions(store),
	}
	if settings.Evacuations {
		feeds.Evacuations = platform.NewEvacuations(store)
	}
	entry := limpetcleat.NewEntry(nodeSettings, platform.Protocol{}, feeds, log, counts.CountRequest)
	log.Event(logger.EventNodeStarted, "callers", listeners[0].Addr(), "readiness", listeners[1].Addr(), "vm", settings.VM, "dataCentre", settings.DataCentre)
	logLimits(log, settings.MemoryLimit, descriptorLimit(settings.DescriptorLimit), settings.LinkMbps)
	stopMetrics := serveMetrics(metricsAddress(settings, options.metricsPort), counts.Handler(), memory, log)
	stopOperators := serveAuxiliary(operatorAddress(options.operatorPort), operatorsOf(entry).Handler(), memory, log)
	accountantCtx, stopAccountant := context.WithCancel(context.WithoutCancel(ctx))
	go accountant.Run(accountantCtx)
	err = commander.runEntry(ctx, entry, listeners, reloads)
	stopAccountant()
	<-accountant.Done()
	stopMetrics()
	stopOperators()
	if err := counts.Close(); err != nil {
		log.Event(logger.EventMetricsFailed, "cause", err)
	}
	log.Event(logger.EventNodeStopped, "cause", stopCause(err))
	return err
}

// stopCause returns what a node that has stopped logs as the cause.
func stopCause(err error) string {
	if err != nil {
		return err.Error()
	}
	return "planned stop"
}

// operatorsOf returns the operators' interface of a node.
func operatorsOf(entry *limpetcleat.Entry) *operator.Entry {
	operators := operator.NewEntry(entry.Quarantine(), entry.Event)
	if duties := entry.Steward(); duties != nil {
		operators.ServeDuties(duties.Status)
	}
	operators.ServeAnnounced(entry.Announcer(), entry.Throttler())
	operators.ServePlaces(entry.Announcer(), entry.Throttler())
	operators.ServeShares(entry.Apportioner())
	operators.ServeLost(entry.Corroborator())
	operators.ServePredicted(entry.Predictions)
	return operators
}

func metricsAddress(settings *platform.Settings, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(settings.IP, port)
}

// operatorAddress returns a loopback address, since the interface requires no token.
func operatorAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)
}

// serveMetrics serves the metrics in the background and returns a function that stops it.
func serveMetrics(address netip.AddrPort, handler http.Handler, memory *limpetcleat.Memory, log *logger.Logger) func() {
	mux := http.NewServeMux()
	mux.Handle("/metrics", handler)
	return serveAuxiliary(address, mux, memory, log)
}

// serveAuxiliary starts an HTTP server for operators or metrics in the background, unless the port
// is 0, and returns a function that stops it. It logs a failure of the server and does not stop the
// node, which serves callers without it.
func serveAuxiliary(address netip.AddrPort, handler http.Handler, memory *limpetcleat.Memory, log *logger.Logger) func() {
	if address.Port() == 0 {
		return func() {}
	}
	listeners, err := listenAll(address.String())
	if err != nil {
		log.Event(logger.EventMetricsFailed, "listen", address, "cause", err)
		return func() {}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: auxiliaryHeaderTimeout, MaxHeaderBytes: auxiliaryHeaderBytes}
	listener := memory.ListenAuxiliary(listeners[0], server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Event(logger.EventMetricsFailed, "listen", address, "cause", err)
		}
	}()
	return func() { _ = server.Close() }
}

// runEntry runs the entry until a planned stop is complete, which starts when ctx is cancelled. On
// SIGHUP, also one that arrived before, it validates the settings and logs the result. The error is that
// of the entry.
func (commander *Commander) runEntry(ctx context.Context, entry *limpetcleat.Entry, listeners []net.Listener, reloads *reloadNotifier) error {
	stopDrainOnSignal := context.AfterFunc(ctx, func() {
		entry.Event(logger.EventDrainRequested, "by", "signal")
		entry.Drain()
	})
	defer stopDrainOnSignal()
	go reloads.forEach(func() {
		_, err := platform.LoadSettings()
		entry.Event(logger.EventSettingsReloaded, "cause", err)
	})
	return entry.Run(listeners[0], listeners[1], listeners[2])
}

func entrySettings(settings *platform.Settings, options *platformOptions, counts *meter.Meter) limpetcleat.EntrySettings {
	return limpetcleat.EntrySettings{
		VM:                 settings.VM,
		DataCentre:         settings.DataCentre,
		InnerAddress:       settings.Inner.String(),
		LinkMbps:           settings.LinkMbps,
		MemoryLimit:        settings.MemoryLimit,
		DescriptorLimit:    descriptorLimit(settings.DescriptorLimit),
		Bounds:             settings.Bounds.Changes,
		UpstreamExpiry:     settings.UpstreamExpiry,
		GracePeriod:        settings.Bounds.Grace,
		RetryShare:         settings.Bounds.RetryShare,
		RetrySlack:         settings.Bounds.RetrySlack,
		RetryWindow:        settings.Bounds.RetryWindow,
		Delegation:         options.delegation,
		Shares:             options.shares,
		LongestBackoff:     options.longestBackoff,
		Bootstrap:          settings.Bootstrap,
		StoreReaderChanged: counts.SetStoreReader,
		CopyAged:           counts.SetCopyAge,
		ProbationChanged:   counts.SetProbation,
		MissingChanged:     counts.SetMissing,

		ContradictionsCounted: counts.SetContradictions,

		SuspicionsCounted:    counts.SetSuspicions,
		AnnouncementsCounted: counts.SetAnnouncements,
		LossesCounted:        counts.SetLosses,
		PermitResolved:       counts.CountPermitRequest,
		BackedOff:            counts.CountBackoff,
		OriginSearched:       counts.CountOriginSearch,
		Regions:              settings.Regions,
		EvacuationsCounted:   counts.SetEvacuations,
		RelayedCounted:       counts.SetRelayed,
		RelaysCounted:        counts.SetRelays,
		LostPathsCounted:     counts.SetLostPaths,
		HeldBytesChanged:     counts.SetHeldBytes,
		UsageRead:            counts.SetUsage,
		ShortServicesCounted: counts.SetShortServices,
		ConnectionJudged:     counts.CountConnection,
		ConnectionsCounted:   counts.SetUpstreamConnections,
	}
}

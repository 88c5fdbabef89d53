package limpetcleat

import (
	"context"
	"errors"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sourcegraph/conc"

	"limpetcleat/logger"
	"limpetcleat/monitor"
	"limpetcleat/timer"
)

// Run serves callers, the load balancer's readiness probes and peers until a graceful shutdown has
// completed. The error is of kind PartCrashed if a panic in a part of the node has begun it, else nil.
func (entry *Entry) Run(callers, readiness, inner net.Listener) error {
	ctx, end := context.WithCancel(context.Background())
	var parts conc.WaitGroup
	parts.Go(entry.guarded("informer", func() { entry.informer.Run(ctx) }))
	parts.Go(entry.guarded("sweeper", func() { entry.runPeriodically(ctx) }))
	parts.Go(entry.guarded("monitor", func() { entry.monitor.Run(ctx) }))
	stewardCtx, endDuties := context.WithCancel(ctx)
	if entry.steward != nil {
		parts.Go(entry.guarded("steward", func() { entry.steward.Run(stewardCtx) }))
	}
	entry.messenger.Start(ctx, entry.sized(inner))
	entry.throttler.Start(ctx)
	entry.gatekeeper.Start(ctx)
	journalCtx, endJournal := context.WithCancel(context.Background())
	entry.background.Go(func() { entry.journal.run(journalCtx) })
	entry.acceptor.Start(ctx)
	entry.serve(entry.acceptor.Listen(entry.sized(callers)), entry.callerServer)
	entry.serve(entry.memory.ListenAuxiliary(entry.sized(readiness), entry.readinessServer), entry.readinessServer)
	select {
	case <-entry.drainRequested:
	case <-entry.crashNoticed:
	}
	endDuties()
	entry.stop()
	end()
	parts.Wait()
	<-entry.messenger.Done()
	<-entry.throttler.Done()
	<-entry.gatekeeper.Done()
	<-entry.acceptor.Done()
	entry.connector.Close()
	endJournal()
	entry.background.Wait()
	select {
	case <-entry.crashNoticed:
		return entry.crash
	default:
		return nil
	}
}

// sized returns a listener whose connections have bounded receive buffers.
func (entry *Entry) sized(listener net.Listener) net.Listener {
	sized, err := entry.memory.sizer.Listen(listener)
	if err != nil {
		entry.journal.event(logger.EventBuffersUnbounded, "listen", listener.Addr(), "cause", err)
		return listener
	}
	return sized
}

// serve serves the listener in the background.
func (entry *Entry) serve(listener net.Listener, server *http.Server) {
	server.ErrorLog = log.New(httpErrorWriter{entry.journal}, "", 0)
	entry.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			entry.journal.event(logger.EventListenerFailed, "listen", listener.Addr(), "cause", err)
		}
	})
}

// stop shuts down gracefully: it fails readiness, waits until the load balancer has noticed, and
// stops accepting connections. After refusalGraceShare of the grace period, it refuses new requests,
// and those not sent whose time limit does not end in time. Shortly before the period ends it refuses
// the requests that were not sent, and then aborts the remaining ones.
func (entry *Entry) stop() {
	deadline := time.Now().Add(entry.settings.GracePeriod - stopMargin)
	entry.journal.event(logger.EventStopStep, "step", "notReady")
	entry.forwarder.CloseConnections()
	entry.relayer.Refuse()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = timer.Sleep(ctx, balancerDetectionTime) // The error is ignored because the next steps observe ctx too.
	refusing := time.AfterFunc(time.Duration(refusalGraceShare*float64(entry.settings.GracePeriod))-balancerDetectionTime, func() {
		entry.forwarder.Refuse(deadline.Add(-unsentMargin))
	})
	defer refusing.Stop()
	ending := time.AfterFunc(time.Until(deadline)-unsentMargin, entry.forwarder.EndStarts)
	defer ending.Stop()
	entry.journal.event(logger.EventStopStep, "step", "closeIdle")
	if err := entry.callerServer.Shutdown(ctx); err != nil {
		entry.journal.event(logger.EventStopStep, "step", "cut", "cause", err, "connections", entry.callerConnections.Load(), "streams", entry.forwarder.OpenStreams())
		entry.forwarder.Cut()
		_ = entry.callerServer.Close()
	}
	entry.awaitRelayed(ctx)
	_ = entry.readinessServer.Close() // Open readiness probes need no answer.
	entry.informer.Withdraw()
	entry.journal.event(logger.EventStopStep, "step", "stopped")
}

// awaitRelayed waits until no peer uses a connection through this node, at most until the context
// ends.
func (entry *Entry) awaitRelayed(ctx context.Context) {
	select {
	case <-entry.relayer.Idle():
	case <-ctx.Done():
		entry.journal.event(logger.EventStopStep, "step", "cutRelayed")
	}
}

// answerReadiness serves the load balancer's readiness probe.
func (entry *Entry) answerReadiness(writer http.ResponseWriter, _ *http.Request) {
	ready := entry.forwarder.Ready(time.Now())
	if entry.ready.Swap(ready) != ready {
		entry.journal.event(logger.EventReadinessChanged, "ready", ready, "confirmedAgoMs", time.Since(entry.informer.Confirmed()).Milliseconds(), "storeHealthy", entry.informer.Healthy())
	}
	if !ready {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}

// runPeriodically sweeps idle connections to upstreams, refreshes the origins of streams and reports the
// bytes held until the context ends.
func (entry *Entry) runPeriodically(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var last monitor.Held
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			entry.connector.Sweep(now)
			entry.versioner.Refresh(now)
			entry.throttler.Renew(now)
			if report := entry.settings.CopyAged; report != nil {
				report(entry.informer.CopyAge(now))
			}
			if report := entry.settings.ProbationChanged; report != nil {
				report(entry.informer.Upstreams().CountOnProbation())
			}
			if report := entry.settings.MissingChanged; report != nil {
				report(entry.informer.Upstreams().CountMissing())
			}
			if report := entry.settings.ContradictionsCounted; report != nil {
				report(entry.informer.Contradictions())
			}
			held := entry.memory.Held()
			if report := entry.settings.HeldBytesChanged; report != nil && held != last {
				report(held)
			}
			last = held
		}
	}
}

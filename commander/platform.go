package commander

import (
	"context"
	"flag"
	"net"
	"runtime/debug"

	"limpetcleat"
	"limpetcleat/forwarder"
	"limpetcleat/logger"
	"limpetcleat/platform"
)

// memoryLimitShare is the part of the process's memory at which the collector
// works harder; the rest is for stacks, buffers of the kernel and the binary.
const memoryLimitShare = 0.6

func (commander *Commander) platformCommand() command {
	return command{
		name:    "platform",
		summary: "run one node on the users' platform; SIGTERM begins a planned stop",
		example: platform.SettingsVariable + "=/etc/limpetcleat/boot.yaml limpetcleat platform",
		prepare: func(*flag.FlagSet) action {
			return func(ctx context.Context, _ string) error { return commander.servePlatform(ctx) }
		},
	}
}

func (commander *Commander) servePlatform(ctx context.Context) error {
	log := logger.New(commander.out)
	settings, err := platform.LoadSettings()
	if err != nil {
		log.Event(logger.EventSettingsRejected, "cause", err)
		return err
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Memory)))
	listeners, err := listenAll(settings.Callers.String(), settings.Readiness.String(), settings.Inner.String())
	if err != nil {
		log.Event(logger.EventListenerFailed, "cause", err)
		return err
	}
	store := platform.NewStore(settings.Store, func() {})
	defer store.Close()
	entry := limpetcleat.NewEntry(entrySettings(settings), platform.Protocol{}, limpetcleat.Feeds{
		Configurations: platform.NewConfigurations(store),
		Upstreams:      platform.NewUpstreams(store),
		Peers:          platform.NewPeers(store),
	}, log, func(forwarder.Record) {})
	log.Event(logger.EventNodeStarted, "callers", listeners[0].Addr(), "readiness", listeners[1].Addr(), "vm", settings.VM, "dataCentre", settings.DataCentre)
	commander.runEntry(ctx, entry, listeners)
	log.Event(logger.EventNodeStopped, "cause", "planned stop")
	return nil
}

// runEntry runs the entry until a signal has asked for a planned stop.
func (commander *Commander) runEntry(ctx context.Context, entry *limpetcleat.Entry, listeners []net.Listener) {
	stopWatch := context.AfterFunc(ctx, func() {
		entry.Event(logger.EventDrainAsked, "by", "signal")
		entry.Drain()
	})
	defer stopWatch()
	reloads := reloadSignals()
	defer reloads.stop()
	go reloads.each(func() {
		_, err := platform.LoadSettings()
		entry.Event(logger.EventSettingsReloaded, "cause", err)
	})
	entry.Run(listeners[0], listeners[1], listeners[2])
}

func entrySettings(settings *platform.Settings) limpetcleat.EntrySettings {
	return limpetcleat.EntrySettings{
		VM:          settings.VM,
		DataCentre:  settings.DataCentre,
		Inner:       settings.Inner.String(),
		Memory:      settings.Memory,
		Revocation:  settings.Bounds.Revocation,
		Grace:       settings.Bounds.Grace,
		RetryShare:  settings.Bounds.RetryShare,
		RetrySlack:  settings.Bounds.RetrySlack,
		RetryWindow: settings.Bounds.RetryWindow,
	}
}

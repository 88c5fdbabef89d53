package commander

import (
	"context"
	"flag"
	"io"
	"net"
	"time"

	"limpetcleat"
	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/loader"
	"limpetcleat/logger"
	"limpetcleat/scheduler"
	"limpetcleat/server"
	"limpetcleat/storer"
	"limpetcleat/watcher"
)

func (commander *Commander) serveCommand() command {
	return command{
		name:    "serve",
		summary: "run one node; SIGTERM starts a planned stop, SIGHUP checks the settings anew",
		example: "limpetcleat serve -settings entry.ini",
		prepare: func(flags *flag.FlagSet) action {
			path := flags.String("settings", "", "the settings `file`, in INI")
			return func(ctx context.Context, _ string) error { return commander.serve(ctx, *path) }
		},
	}
}

func (commander *Commander) serve(ctx context.Context, path string) error {
	if path == "" {
		return fail("serve", InvalidUsage, "-settings is missing")
	}
	ignoreLostLogReader()
	// SIGHUP ends a process that does not handle it.
	reloads := newReloadNotifier()
	defer reloads.stop()
	settings, err := loader.Load(path)
	if err != nil {
		logger.New(commander.errOut).Event(logger.EventSettingsRejected, "cause", err)
		return err
	}
	log := newLogger(commander.errOut, settings)
	options, err := nodeOptions(settings, log)
	if err != nil {
		return err
	}
	if settings.Inner().Exposed() {
		log.Event(logger.EventInnerPlain, "listen", settings.Inner().Listen())
	}
	node := limpetcleat.New(settings.Node().Name(), settings.Node().DataCentre(), options...)
	go func() {
		<-ctx.Done()
		log.Event(logger.EventDrainRequested, "by", "signal")
		node.Drain()
	}()
	go reloads.forEach(func() {
		_, err := loader.Load(path)
		log.Event(logger.EventSettingsReloaded, "cause", err)
	})
	log.Event(logger.EventNodeStarted, "callers", settings.Callers().Listen(), "inner", settings.Inner().Listen(), "operators", settings.Operators().Listen())
	logLimits(log, 0, descriptorLimit(0), 0)
	err = node.Run(context.WithoutCancel(ctx))
	log.Event(logger.EventNodeStopped, "cause", stopCause(err))
	return err
}

func newLogger(writer io.Writer, settings *loader.Settings) *logger.Logger {
	return logger.New(writer, logger.WithLevel(logger.Level(settings.Log().Level())), logger.WithFormat(logger.Format(settings.Log().Format())))
}

// nodeOptions returns the node's options for the settings and opens its listeners.
func nodeOptions(settings *loader.Settings, log *logger.Logger) ([]limpetcleat.Option, error) {
	platformToken, err := settings.Platform().Token().Read()
	if err != nil {
		return nil, err
	}
	operatorToken, err := settings.Operators().Token().Read()
	if err != nil {
		return nil, err
	}
	serverSide, clientSide, err := innerTLS(settings.Inner())
	if err != nil {
		return nil, err
	}
	listeners, err := listenAll(settings.Callers().Listen().String(), settings.Inner().Listen().String(), settings.Operators().Listen().String())
	if err != nil {
		log.Event(logger.EventListenerFailed, "cause", err)
		return nil, err
	}
	memory := limpetcleat.NewMemory(heapLimit())
	for index := range listeners {
		if listeners[index], err = memory.Sizer().Listen(listeners[index]); err != nil {
			log.Event(logger.EventListenerFailed, "cause", err)
			return nil, err
		}
	}
	callers, err := callerListener(settings.Callers(), listeners[0])
	if err != nil {
		return nil, err
	}
	return []limpetcleat.Option{
		limpetcleat.WithLogger(log),
		limpetcleat.WithMemory(memory),
		limpetcleat.WithCallers(callers, callerOptions(settings.Callers(), memory, log)...),
		limpetcleat.WithInner(listeners[1], settings.Inner().Address().String()),
		limpetcleat.WithInnerTLS(serverSide, clientSide),
		limpetcleat.WithOperators(listeners[2], operatorToken),
		limpetcleat.WithDispatcherOptions(
			dispatcher.WithTimeouts(settings.Dispatch().FirstByteTimeout(), settings.Dispatch().StallTimeout()),
			dispatcher.WithLongestBackoff(settings.Dispatch().LongestBackoff()),
			dispatcher.WithConnections(settings.Dispatch().MaxPerUpstreamConnections()),
		),
		limpetcleat.WithDrain(settings.Drain().BalancerDelay(), settings.Drain().Timeout()),
		limpetcleat.WithCoreOptions(decider.WithPolicy(scheduler.Policy(settings.Policy()))),
		limpetcleat.WithBootstrapVMs(seeds(settings)...),
		limpetcleat.WithPlatform(connectPlatform(settings.Platform().Addresses(), platformToken, settings.Platform().Timeout(), log)),
	}, nil
}

func callerOptions(callers *loader.Callers, memory *limpetcleat.Memory, log *logger.Logger) []server.Option {
	return []server.Option{
		server.WithRejectionHandler(func(request definer.RequestID, status int) {
			log.Event(logger.EventRequestRejected, "request", request, "status", status)
		}),
		server.WithCrashHandler(func(request definer.RequestID, cause any, stack []byte) {
			log.Event(logger.EventHandlerCrashed, "request", request, "cause", cause, "stack", string(stack))
		}),
		server.WithBodyLimits(int64(callers.MaxBodyBytes()), callers.BodyTimeout()),
		server.WithHeaderLimits(callers.MaxHeaderBytes(), callers.ReadHeaderTimeout()),
		server.WithIdleTimeout(callers.IdleTimeout()),
		server.WithMaxConnections(min(callers.MaxConnections(), memory.Callers())),
	}
}

func connectPlatform(addresses []string, token string, timeout time.Duration, log *logger.Logger) func(func(decider.Event)) limpetcleat.Platform {
	return func(deliver func(decider.Event)) limpetcleat.Platform {
		client := storer.New(addresses, token, storer.WithTimeout(timeout))
		return watcher.New(addresses, token, deliver, watcher.WithPlatform(client), watcher.WithLog(log.Event))
	}
}

func seeds(settings *loader.Settings) []decider.ListedVM {
	var vms []decider.ListedVM
	for _, peer := range settings.Peers() {
		vms = append(vms, decider.ListedVM{Name: string(peer.Name()), DataCentre: peer.DataCentre(), Address: peer.Address().String()})
	}
	return vms
}

// listenAll opens a listener for each address. After an error it closes those already open.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, fail("listen", Failed, "%w", err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

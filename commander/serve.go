package commander

import (
	"context"
	"flag"
	"net"
	"time"

	"limpetcleat"
	"limpetcleat/decider"
	"limpetcleat/dispatcher"
	"limpetcleat/loader"
	"limpetcleat/server"
	"limpetcleat/storer"
	"limpetcleat/watcher"
)

func (commander *Commander) serveCommand() command {
	return command{
		name:    "serve",
		summary: "run one node; SIGTERM begins a planned stop",
		example: "limpetcleat serve -settings entry.ini",
		prepare: func(flags *flag.FlagSet) action {
			path := flags.String("settings", "", "the settings `file`, in INI")
			return func(ctx context.Context, _ []string) error { return commander.serve(ctx, *path) }
		},
	}
}

func (commander *Commander) serve(ctx context.Context, path string) error {
	if path == "" {
		return fail("serve", WrongUsage, "-settings is missing")
	}
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	options, err := commander.nodeOptions(settings)
	if err != nil {
		return err
	}
	node := limpetcleat.New(settings.Node().Name(), settings.Node().DataCentre(), options...)
	go func() {
		<-ctx.Done()
		node.Drain()
	}()
	return node.Run(context.WithoutCancel(ctx))
}

// nodeOptions returns the options that the settings ask for, with every
// listener open.
func (commander *Commander) nodeOptions(settings *loader.Settings) ([]limpetcleat.Option, error) {
	platformToken, err := settings.Platform().Token().Read()
	if err != nil {
		return nil, err
	}
	operatorToken, err := settings.Operators().Token().Read()
	if err != nil {
		return nil, err
	}
	listeners, err := listenAll(settings.Callers().Listen().String(), settings.Inner().Listen().String(), settings.Operators().Listen().String())
	if err != nil {
		return nil, err
	}
	return []limpetcleat.Option{
		limpetcleat.WithCallers(listeners[0], callerLimits(settings.Callers())...),
		limpetcleat.WithInner(listeners[1], settings.Inner().Address().String()),
		limpetcleat.WithOperators(listeners[2], operatorToken),
		limpetcleat.WithDispatcher(
			dispatcher.WithTimeouts(settings.Dispatch().FirstByteTimeout(), settings.Dispatch().StallTimeout()),
			dispatcher.WithConnections(settings.Dispatch().MaxPerUpstreamConnections()),
		),
		limpetcleat.WithDrain(settings.Drain().BalancerDelay(), settings.Drain().Timeout()),
		limpetcleat.WithSeeds(seeds(settings)...),
		limpetcleat.WithPlatform(connectPlatform(settings.Platform().Addresses(), platformToken, settings.Platform().Timeout())),
	}, nil
}

func callerLimits(callers *loader.Callers) []server.Option {
	return []server.Option{
		server.WithBodyLimits(int64(callers.MaxBodyBytes()), callers.BodyTimeout()),
		server.WithHeaderLimits(callers.MaxHeaderBytes(), callers.ReadHeaderTimeout()),
		server.WithIdleTimeout(callers.IdleTimeout()),
		server.WithMaxConnections(callers.MaxConnections()),
	}
}

func connectPlatform(addresses []string, token string, timeout time.Duration) func(func(decider.Event)) limpetcleat.Platform {
	return func(deliver func(decider.Event)) limpetcleat.Platform {
		client := storer.New(addresses, token, storer.WithTimeout(timeout))
		return watcher.New(addresses, token, deliver, watcher.WithPlatform(client))
	}
}

func seeds(settings *loader.Settings) []decider.ListedVM {
	var vms []decider.ListedVM
	for _, peer := range settings.Peers() {
		vms = append(vms, decider.ListedVM{Name: string(peer.Name()), DataCentre: peer.DataCentre(), Address: peer.Address().String()})
	}
	return vms
}

// listenAll opens a listener for each address, or none.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var listeners []net.Listener
	for _, address := range addresses {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, fail("listen", Failing, "%w", err)
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

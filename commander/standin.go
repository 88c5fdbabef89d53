package commander

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"limpetcleat/standin/engine"
	"limpetcleat/standin/platform"
	"limpetcleat/standin/runner"
	"limpetcleat/standin/service"
)

func (commander *Commander) standinCommand() command {
	return command{
		name:    "standin",
		summary: "run a stand-in: standin platform|engine|service, or write certificates for tests: standin authority",
		example: "limpetcleat standin engine -listen 127.0.0.1:9001 -models small,large",
		verbs:   []string{"platform", "engine", "service", authorityVerb},
		prepare: func(flags *flag.FlagSet) action {
			listen := flags.String("listen", "127.0.0.1:0", "`address` to listen on")
			builders := standinBuilders(flags)
			options := authorityFlags(flags)
			return func(ctx context.Context, kind string) error {
				if kind == authorityVerb {
					return commander.writeAuthority(options)
				}
				return commander.standin(ctx, kind, *listen, builders[kind])
			}
		},
	}
}

func (commander *Commander) standin(ctx context.Context, kind, listen string, build func() runner.Server) error {
	standin, err := runner.Start(ctx, build(), listen)
	if err != nil {
		return fail("standin", Failed, "%w", err)
	}
	_, _ = fmt.Fprintf(commander.out, "%s listens on %s\n", kind, standin.Address())
	defer func() { _ = standin.Stop() }()
	return standin.Wait()
}

// standinBuilders declares the flags of all stand-ins and returns the constructor of each by verb.
func standinBuilders(flags *flag.FlagSet) map[string]func() runner.Server {
	name := flags.String("name", "service", "service: its `name`")
	token := flags.String("token", "", "platform: the bearer `token` that it requires")
	listLag := flags.Duration("listLag", time.Second, "platform: delay of its list of VMs")
	writes := flags.Int("writes", 0, "platform: maximum writes per second; 0 is no limit")
	reads := flags.Int("reads", 0, "platform: maximum reads per second; 0 is no limit")
	models := flags.String("models", "model", "engine: comma-separated `names` of its models")
	running := flags.Int("running", 8, "engine: maximum number of running sequences")
	queue := flags.Int("queue", 64, "engine: maximum number of queued sequences")
	tokenTime := flags.Duration("tokenTime", 10*time.Millisecond, "engine: time between tokens of a single running sequence")
	slope := flags.Duration("slope", time.Millisecond, "engine: additional time between tokens for each further running sequence")
	prefill := flags.Duration("prefill", 50*time.Millisecond, "engine: prefill time for 1,000 prompt tokens")
	latency := flags.Duration("latency", 20*time.Millisecond, "service: duration of a call")
	capacity := flags.Int("capacity", 0, "service: maximum number of concurrent calls; 0 is no limit")
	return map[string]func() runner.Server{
		"platform": func() runner.Server {
			options := []platform.Option{platform.WithToken(*token), platform.WithListLag(*listLag)}
			if *writes > 0 && *reads > 0 {
				options = append(options, platform.WithRates(*writes, *reads))
			}
			return platform.New(options...)
		},
		"engine": func() runner.Server {
			return engine.New(engine.WithModels(strings.Split(*models, ",")...), engine.WithMaxRunning(*running), engine.WithMaxQueued(*queue),
				engine.WithTokenInterval(*tokenTime, *slope), engine.WithPrefillTime(*prefill))
		},
		"service": func() runner.Server {
			options := []service.Option{service.WithName(*name), service.WithLatency(*latency)}
			if *capacity > 0 {
				options = append(options, service.WithCapacity(*capacity))
			}
			return service.New(options...)
		},
	}
}

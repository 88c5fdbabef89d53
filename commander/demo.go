package commander

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"time"

	"limpetcleat/demonstrator"
	"limpetcleat/generator"
	"limpetcleat/standin/engine"
)

const (
	defaultDemoLoadDuration  = 8 * time.Second
	defaultDemoServeDuration = time.Minute
	demoRequestTimeout       = 15 * time.Second
)

// demoOptions holds the flags of the demo command.
type demoOptions struct {
	serve    *bool
	listen   *string
	key      *string
	duration *time.Duration
	seed     *uint64
}

func (commander *Commander) demoCommand() command {
	return command{
		name:    "demo",
		summary: "run a small, complete system on loopback under a short mixed load",
		example: "limpetcleat demo -for 8s",
		prepare: func(flags *flag.FlagSet) action {
			options := demoOptions{
				serve:    flags.Bool("serve", false, "serve clients instead of generating load"),
				listen:   flags.String("listen", "127.0.0.1:0", "the first node's `address` for callers"),
				key:      flags.String("apiKey", demonstrator.ButtonsKey, "the callers' `key`"),
				duration: flags.Duration("for", 0, "how long to generate load (8s if not set) or to serve (1m if not set)"),
				seed:     flags.Uint64("seed", 1, "random seed of the load"),
			}
			return func(ctx context.Context, _ string) error { return commander.demo(ctx, options) }
		},
	}
}

func (commander *Commander) demo(ctx context.Context, options demoOptions) error {
	if *options.duration < 0 {
		return fail("demo", InvalidUsage, "-for is %v; allowed is a duration above 0", *options.duration)
	}
	system, err := demonstrator.Start(ctx, *options.listen, *options.key)
	if err != nil {
		return err
	}
	defer system.Stop()
	if *options.serve {
		return commander.demoServe(ctx, system, cmp.Or(*options.duration, defaultDemoServeDuration))
	}
	return commander.demoLoad(ctx, system, options)
}

func (commander *Commander) demoServe(ctx context.Context, system *demonstrator.System, duration time.Duration) error {
	_, _ = fmt.Fprintf(commander.out, "callers are served at http://%s/v1 (model %s)\n", system.Callers()[0], demonstrator.ModelName)
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return nil
}

func (commander *Commander) demoLoad(ctx context.Context, system *demonstrator.System, options demoOptions) error {
	load := generator.New(system.Callers(), generator.WithDuration(cmp.Or(*options.duration, defaultDemoLoadDuration)), generator.WithSeed(*options.seed),
		generator.WithTimeout(demoRequestTimeout), generator.WithCheck(checkAnswer))
	result := load.Run(ctx, demonstrator.Mix(*options.key))
	result.SetWasted(system.Wasted())
	if err := result.WriteText(commander.out); err != nil {
		return err
	}
	waste, err := generator.TotalWaste(ctx, system.Engines())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(commander.out, "goodput %.0f tokens/s; wasted work %.2f%% (%d of %d tokens computed)\n",
		result.Goodput(), 100*waste.Share(), waste.Discarded, waste.Computed)
	return err
}

// checkAnswer reports whether a text is the answer that the stand-in engines generate for a prompt.
func checkAnswer(model, prompt, answer string, tokens int) bool {
	return answer == engine.ResponseText(model, prompt, 0, tokens)
}

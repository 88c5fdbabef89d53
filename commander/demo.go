package commander

import (
	"context"
	"flag"
	"fmt"
	"time"

	"limpetcleat/demonstrator"
	"limpetcleat/generator"
	"limpetcleat/standin/engine"
)

const (
	demoLoad    = 8 * time.Second
	demoTimeout = 15 * time.Second
)

func (commander *Commander) demoCommand() command {
	return command{
		name:    "demo",
		summary: "run a whole small system on loopback under a short mixed load",
		example: "limpetcleat demo",
		prepare: func(flags *flag.FlagSet) action {
			serve := flags.Bool("serve", false, "serve any client in place of making load")
			listen := flags.String("listen", "127.0.0.1:0", "the first node's `address` for callers")
			key := flags.String("apiKey", demonstrator.ButtonsKey, "the callers' `key`")
			last := flags.Duration("for", time.Minute, "how long to serve")
			seed := flags.Uint64("seed", 1, "the load's seed")
			return func(ctx context.Context, _ string) error {
				system, err := demonstrator.Start(ctx, *listen, *key)
				if err != nil {
					return err
				}
				defer system.Stop()
				if *serve {
					return commander.demoServe(ctx, system, *last)
				}
				return commander.demoLoad(ctx, system, *key, *seed)
			}
		},
	}
}

func (commander *Commander) demoServe(ctx context.Context, system *demonstrator.System, last time.Duration) error {
	_, _ = fmt.Fprintf(commander.out, "callers are served at http://%s/v1 (model %s)\n", system.Callers()[0], demonstrator.ModelName)
	clock := time.NewTimer(last)
	defer clock.Stop()
	select {
	case <-ctx.Done():
	case <-clock.C:
	}
	return nil
}

func (commander *Commander) demoLoad(ctx context.Context, system *demonstrator.System, key string, seed uint64) error {
	load := generator.New(system.Callers(), generator.WithDuration(demoLoad), generator.WithSeed(seed),
		generator.WithTimeout(demoTimeout), generator.WithCheck(checkAnswer))
	result := load.Run(ctx, demonstrator.Mix(key))
	if err := result.WriteText(commander.out); err != nil {
		return err
	}
	waste, err := generator.ReadWaste(ctx, system.Engines())
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(commander.out, "goodput %.0f tokens/s; wasted work %.2f%% (%d of %d tokens computed)\n",
		result.Goodput(), 100*waste.Share(), waste.Discarded, waste.Computed)
	return err
}

// checkAnswer tells whether a text is what the stand-in engines must answer.
func checkAnswer(model, prompt, text string, tokens int) bool {
	return text == engine.Answer(model, prompt, 0, tokens)
}

package commander

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"limpetcleat/generator"
)

const defaultLoad = 30 * time.Second

// loadFlags are the flags of load.
type loadFlags struct {
	targets *string
	mix     *string
	engines *string
	output  *string
	scale   *float64
	last    *time.Duration
	timeout *time.Duration
	seed    *uint64
	burst   *bool
	issued  *bool
}

// loadReport is the JSON form of what load found.
type loadReport struct {
	Scale float64 `json:"scale"`
	Seed  uint64  `json:"seed"`
	Burst bool    `json:"burst"`
	generator.Report
	// Wasted is the share of computed tokens that the engines discarded; it
	// leaves out the engines named in Unread.
	Wasted    float64  `json:"wasted"`
	Computed  int64    `json:"computedTokens"`
	Discarded int64    `json:"discardedTokens"`
	Unread    []string `json:"unreadEngines,omitempty"`
}

func (commander *Commander) loadCommand() command {
	return command{
		name:    "load",
		summary: "make an open-loop load on entry VMs and show what came of it, by class",
		example: "limpetcleat load -targets 10.0.0.1:8080,10.0.0.2:8080 -mix examples/mix-buttons.json -scale 1.0 -for 30s",
		prepare: func(flags *flag.FlagSet) action {
			chosen := loadFlags{
				targets: flags.String("targets", "", "callers' `addresses` of the entry VMs, IP:port, with commas"),
				mix:     flags.String("mix", "", "the `file` with the streams of requests, in JSON"),
				engines: flags.String("engines", "", "`addresses` of the stand-in engines whose wasted work is read"),
				output:  outputFlag(flags),
				scale:   flags.Float64("scale", 1, "multiplies the rates of all streams that are not fixed"),
				last:    flags.Duration("for", defaultLoad, "how long requests arrive"),
				timeout: flags.Duration("timeout", 2*time.Minute, "the longest time for one answer"),
				seed:    flags.Uint64("seed", 1, "the seed of all draws"),
				issued:  flags.Bool("issuedKeys", false, "take each keyed request's key from its entry VM first"),
				burst:   flags.Bool("burst", false, "with the bursts that the mix has"),
			}
			return func(ctx context.Context, _ string) error { return commander.load(ctx, chosen) }
		},
	}
}

func (commander *Commander) load(ctx context.Context, chosen loadFlags) error {
	if err := checkOutput(*chosen.output); err != nil {
		return err
	}
	targets := addressList(*chosen.targets)
	if len(targets) == 0 || *chosen.mix == "" || *chosen.scale <= 0 || *chosen.last <= 0 {
		return fail("load", WrongUsage, "-targets and -mix are needed, -scale and -for must be above 0")
	}
	mix, err := readMix(*chosen.mix, *chosen.burst)
	if err != nil {
		return err
	}
	engines := addressList(*chosen.engines)
	before := generator.WasteOf(ctx, engines)
	result := generator.New(targets, generator.WithScale(*chosen.scale), generator.WithDuration(*chosen.last),
		generator.WithSeed(*chosen.seed), generator.WithTimeout(*chosen.timeout), generator.WithCheck(checkAnswer),
		generator.WithIssuedKeys(*chosen.issued)).Run(ctx, mix)
	report := loadReport{Scale: *chosen.scale, Seed: *chosen.seed, Burst: *chosen.burst, Report: result.Report()}
	report.addWaste(engines, before, generator.WasteOf(ctx, engines))
	if *chosen.output == outputJSON {
		return writeJSON(commander.out, report)
	}
	if err := result.WriteText(commander.out); err != nil {
		return err
	}
	_, err = fmt.Fprintf(commander.out, "goodput %.0f tokens/s; wasted work %.2f%% (%d of %d tokens computed)\n",
		report.GoodputTokens, 100*report.Wasted, report.Discarded, report.Computed)
	return err
}

// addWaste adds up what the engines computed and discarded during the load.
func (report *loadReport) addWaste(engines []string, before, after map[string]generator.Waste) {
	var sum generator.Waste
	for _, address := range engines {
		waste, ok := after[address]
		if !ok {
			report.Unread = append(report.Unread, address)
			continue
		}
		waste = waste.Since(before[address])
		sum.Computed += waste.Computed
		sum.Discarded += waste.Discarded
	}
	report.Wasted, report.Computed, report.Discarded = sum.Share(), sum.Computed, sum.Discarded
}

// readMix reads a mix, without its bursts unless they are wanted.
func readMix(path string, burst bool) (generator.Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return generator.Mix{}, fail("load", Failing, "%w", err)
	}
	mix, err := generator.ParseMix(data)
	if err != nil {
		return generator.Mix{}, err
	}
	for index := range mix.Streams {
		if !burst {
			mix.Streams[index].Burst = nil
		}
	}
	return mix, nil
}

func addressList(text string) []string {
	var addresses []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			addresses = append(addresses, part)
		}
	}
	return addresses
}

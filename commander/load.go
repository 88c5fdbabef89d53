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

const defaultLoadDuration = 30 * time.Second

// loadOptions holds the flags of the load command.
type loadOptions struct {
	targets    *string
	mix        *string
	engines    *string
	output     *string
	scale      *float64
	duration   *time.Duration
	timeout    *time.Duration
	seed       *uint64
	bursts     *bool
	issuedKeys *bool
}

// loadReport is the JSON output of the load command.
type loadReport struct {
	Scale float64 `json:"scale"`
	Seed  uint64  `json:"seed"`
	Burst bool    `json:"burst"`
	generator.Report
	// Wasted is the share of computed tokens that the engines discarded. Wasted, Computed and
	// Discarded exclude the engines listed in Unread, whose counters could not be read.
	Wasted    float64  `json:"wasted"`
	Computed  int64    `json:"computedTokens"`
	Discarded int64    `json:"discardedTokens"`
	Unread    []string `json:"unreadEngines,omitempty"`
}

func (commander *Commander) loadCommand() command {
	return command{
		name:    "load",
		summary: "generate an open-loop load on entry VMs and show the results by class",
		example: "limpetcleat load -targets 10.0.0.1:8080,10.0.0.2:8080 -mix examples/mix-buttons.json -scale 1.0 -for 30s",
		prepare: func(flags *flag.FlagSet) action {
			options := loadOptions{
				targets:    flags.String("targets", "", "comma-separated callers' `addresses` of the entry VMs, IP:port"),
				mix:        flags.String("mix", "", "the JSON `file` that defines the request streams"),
				engines:    flags.String("engines", "", "comma-separated `addresses` of the stand-in engines whose wasted work is reported"),
				output:     outputFlag(flags),
				scale:      flags.Float64("scale", 1, "multiplier for the rates of all streams that are not fixed"),
				duration:   flags.Duration("for", defaultLoadDuration, "how long to send requests"),
				timeout:    flags.Duration("timeout", 2*time.Minute, "timeout of one request"),
				seed:       flags.Uint64("seed", 1, "random seed"),
				issuedKeys: flags.Bool("issuedKeys", false, "obtain the key of each keyed request from its entry VM first"),
				bursts:     flags.Bool("burst", false, "include the bursts that the mix defines"),
			}
			return func(ctx context.Context, _ string) error { return commander.load(ctx, options) }
		},
	}
}

func (commander *Commander) load(ctx context.Context, options loadOptions) error {
	if err := checkOutput(*options.output); err != nil {
		return err
	}
	targets := splitAddresses(*options.targets)
	if len(targets) == 0 || *options.mix == "" || *options.scale <= 0 || *options.duration <= 0 {
		return fail("load", InvalidUsage, "-targets and -mix are needed, -scale and -for must be above 0")
	}
	mix, err := readMix(*options.mix, *options.bursts)
	if err != nil {
		return err
	}
	engines := splitAddresses(*options.engines)
	before := generator.WasteByEngine(ctx, engines)
	result := generator.New(targets, generator.WithScale(*options.scale), generator.WithDuration(*options.duration),
		generator.WithSeed(*options.seed), generator.WithTimeout(*options.timeout), generator.WithCheck(checkAnswer),
		generator.WithIssuedKeys(*options.issuedKeys)).Run(ctx, mix)
	report := loadReport{Scale: *options.scale, Seed: *options.seed, Burst: *options.bursts, Report: result.Report()}
	report.addWaste(engines, before, generator.WasteByEngine(ctx, engines))
	if *options.output == outputJSON {
		return writeJSON(commander.out, report)
	}
	if err := result.WriteText(commander.out); err != nil {
		return err
	}
	_, err = fmt.Fprintf(commander.out, "goodput %.0f tokens/s; wasted work %.2f%% (%d of %d tokens computed)\n",
		report.GoodputTokensPerSecond, 100*report.Wasted, report.Discarded, report.Computed)
	return err
}

// addWaste adds up the tokens that the engines computed and discarded between the two readings.
func (report *loadReport) addWaste(engines []string, before, after map[string]generator.Waste) {
	var sum generator.Waste
	for _, address := range engines {
		waste, ok := after[address]
		if !ok {
			report.Unread = append(report.Unread, address)
			continue
		}
		waste = waste.Sub(before[address])
		sum.Computed += waste.Computed
		sum.Discarded += waste.Discarded
	}
	report.Wasted, report.Computed, report.Discarded = sum.Share(), sum.Computed, sum.Discarded
}

// readMix reads a mix from a file and removes its bursts unless bursts is set.
func readMix(path string, bursts bool) (generator.Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return generator.Mix{}, fail("load", Failed, "%w", err)
	}
	mix, err := generator.ParseMix(data)
	if err != nil {
		return generator.Mix{}, err
	}
	for index := range mix.Streams {
		if !bursts {
			mix.Streams[index].Burst = nil
		}
	}
	return mix, nil
}

func splitAddresses(text string) []string {
	var addresses []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			addresses = append(addresses, part)
		}
	}
	return addresses
}

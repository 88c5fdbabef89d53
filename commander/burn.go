package commander

import (
	"context"
	"flag"
	"os"

	"limpetcleat/definer"
	"limpetcleat/operator"
	"limpetcleat/recorder"
	"limpetcleat/reporter"
)

// burnOptions holds the flags of the burn command.
type burnOptions struct {
	nodes    *endpoint
	output   *string
	htmlPath *string
}

func (commander *Commander) burnCommand() command {
	return command{
		name:    "burn",
		summary: "show each class's attainment, error budget and burn rates over all nodes",
		example: "limpetcleat burn -nodes 10.0.0.1:8081 -tokenFile operators.token -html burn.html",
		prepare: func(flags *flag.FlagSet) action {
			options := burnOptions{
				nodes:    nodeFlags(flags),
				output:   outputFlag(flags),
				htmlPath: flags.String("html", "", "also write an HTML page with plots to the `file`"),
			}
			return func(ctx context.Context, _ string) error { return commander.burn(ctx, options) }
		},
	}
}

func (commander *Commander) burn(ctx context.Context, options burnOptions) error {
	if err := checkOutput(*options.output); err != nil {
		return err
	}
	client, err := options.nodes.operatorClient()
	if err != nil {
		return err
	}
	answers := client.Snapshots(ctx)
	var snapshots []recorder.Snapshot
	var missing []definer.VM
	for _, answer := range answers {
		if answer.Failure() != nil {
			missing = append(missing, definer.VM(answer.Address()))
			continue
		}
		snapshots = append(snapshots, answer.Value())
	}
	if len(snapshots) == 0 {
		return unansweredError(answers)
	}
	classes, err := newestClasses(ctx, client)
	if err != nil {
		return err
	}
	report := reporter.Build(snapshots, classes...).WithMissing(missing...)
	if err := commander.showBurn(report, options); err != nil {
		return err
	}
	return unansweredError(answers)
}

// newestClasses returns the classes of the newest configuration that any node applies, or none if
// no node has a configuration. It does not query the platform, which may be unavailable.
func newestClasses(ctx context.Context, client *operator.Client) ([]*definer.Class, error) {
	var newest operator.ConfigurationInForce
	for _, answer := range client.Configurations(ctx) {
		if answer.Value().Version > newest.Version {
			newest = answer.Value()
		}
	}
	if newest.Version == 0 {
		return nil, nil
	}
	configuration, err := definer.Build(newest.Version, newest.Document)
	if err != nil {
		return nil, err
	}
	return configuration.Classes(), nil
}

func (commander *Commander) showBurn(report reporter.Report, options burnOptions) error {
	if *options.htmlPath != "" {
		if err := writePage(report, *options.htmlPath); err != nil {
			return err
		}
	}
	if *options.output == outputJSON {
		return report.WriteJSON(commander.out)
	}
	return report.WriteText(commander.out)
}

func writePage(report reporter.Report, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fail("burn", Failed, "%w", err)
	}
	if err := report.WriteHTML(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

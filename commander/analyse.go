package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"limpetcleat/analyser"
)

const outputCSV = "csv"

// analyseOptions holds the flags of the analyse command.
type analyseOptions struct {
	output     *string
	tables     *string
	plotPath   *string
	window     *time.Duration
	before     *time.Duration
	slack      *time.Duration
	top        *int
	examples   *int
	objectives objectiveFlag
}

// objectiveFlag is a repeatable flag of a rule's objectives.
type objectiveFlag map[string]analyser.Objectives

// String returns the empty string, since the flag has no default.
func (objectives objectiveFlag) String() string { return "" }

// Set adds the objectives of one rule, given as RULE=FIRST/PAUSE. The name of a rule may contain
// "=". The error is of kind InvalidUsage.
func (objectives objectiveFlag) Set(text string) error {
	invalid := fail("analyse", InvalidUsage, "-objective is %q; allowed is RULE=FIRST or RULE=FIRST/PAUSE, such as short=500ms/400ms, 0 for none", text)
	split := strings.LastIndex(text, "=")
	if split < 1 {
		return invalid
	}
	var parsed analyser.Objectives
	first, pause, hasPause := strings.Cut(text[split+1:], "/")
	var err error
	if parsed.First, err = time.ParseDuration(first); err != nil || parsed.First < 0 {
		return invalid
	}
	if hasPause {
		if parsed.Pause, err = time.ParseDuration(pause); err != nil || parsed.Pause < 0 {
			return invalid
		}
	}
	objectives[text[:split]] = parsed
	return nil
}

func (commander *Commander) analyseCommand() command {
	return command{
		name:       "analyse",
		summary:    "show from the logs of nodes what was late, refused or failed, and why; reads FILE..., else standard input",
		example:    "limpetcleat analyse -objective short=500ms/400ms -plot day.svg node-1.log node-2.log",
		takesFiles: true,
		prepare: func(flags *flag.FlagSet) action {
			options := analyseOptions{
				output:     flags.String("output", outputText, "output `format`: text, csv or json"),
				tables:     flags.String("tables", "", "comma-separated `names` of the tables to output, all if empty: "+strings.Join(analyser.TableNames(), ", ")),
				plotPath:   flags.String("plot", "", "also write a plot to the `file`, whose name ends in .svg or .png"),
				window:     flags.Duration("window", analyser.DefaultWindow, "the window in which sends to one upstream count as one group"),
				before:     flags.Duration("before", analyser.DefaultBefore, "from how long before a send the requests of other rules at its upstream count"),
				slack:      flags.Duration("slack", analyser.DefaultSlack, "by how much lines of one file may be out of order"),
				top:        flags.Int("top", analyser.DefaultTop, "how many rows the tables by upstream have; 0 is all"),
				examples:   flags.Int("examples", analyser.DefaultExamples, "how many requests of each rule and kind to list"),
				objectives: make(objectiveFlag),
			}
			flags.Var(options.objectives, "objective", "the objectives of a rule as `RULE=FIRST/PAUSE`, in place of those in the logs; may be repeated")
			return func(ctx context.Context, _ string) error { return commander.analyse(ctx, options, flags.Args()) }
		},
	}
}

func (commander *Commander) analyse(ctx context.Context, options analyseOptions, paths []string) error {
	if err := options.check(paths); err != nil {
		return err
	}
	sources, closeAll, err := openSources(ctx, paths)
	if err != nil {
		return err
	}
	defer closeAll()
	logs := analyser.New(options.settings()...)
	if err := logs.Read(ctx, sources...); err != nil {
		return err
	}
	for _, warning := range logs.Warnings() {
		_, _ = fmt.Fprintf(commander.errOut, "limpetcleat analyse: %s\n", warning)
	}
	tables, err := logs.Tables(options.tableNames()...)
	if err != nil {
		return err
	}
	if err := options.writePlot(logs); err != nil {
		return err
	}
	switch *options.output {
	case outputJSON:
		return analyser.WriteJSON(commander.out, tables)
	case outputCSV:
		return analyser.WriteCSV(commander.out, tables)
	default:
		return analyser.WriteText(commander.out, tables)
	}
}

// check returns an error of kind InvalidUsage if a flag has a wrong value or follows a file.
func (options analyseOptions) check(paths []string) error {
	for _, path := range paths {
		if strings.HasPrefix(path, "-") && path != "-" {
			return fail("analyse", InvalidUsage, "%q follows a file; flags come before the files", path)
		}
	}
	switch *options.output {
	case outputText, outputCSV, outputJSON:
	default:
		return fail("analyse", InvalidUsage, "-output is %q; allowed is text, csv or json", *options.output)
	}
	for _, name := range options.tableNames() {
		if !slices.Contains(analyser.TableNames(), name) {
			return fail("analyse", InvalidUsage, "-tables names %q; allowed is %s", name, strings.Join(analyser.TableNames(), ", "))
		}
	}
	if *options.window <= 0 || *options.before < 0 || *options.slack < 0 || *options.top < 0 || *options.examples < 0 {
		return fail("analyse", InvalidUsage, "-window must be above 0; -before, -slack, -top and -examples must not be below 0")
	}
	if format := options.plotFormat(); *options.plotPath != "" && format != analyser.SVG && format != analyser.PNG {
		return fail("analyse", InvalidUsage, "-plot is %q; its name must end in .svg or .png", *options.plotPath)
	}
	return nil
}

func (options analyseOptions) plotFormat() analyser.PlotFormat {
	return analyser.PlotFormat(strings.TrimPrefix(strings.ToLower(filepath.Ext(*options.plotPath)), "."))
}

// tableNames returns the names of the tables to output; none means all.
func (options analyseOptions) tableNames() []string {
	return strings.FieldsFunc(*options.tables, func(char rune) bool { return char == ',' || char == ' ' })
}

func (options analyseOptions) settings() []analyser.Option {
	settings := []analyser.Option{
		analyser.WithWindow(*options.window), analyser.WithBefore(*options.before), analyser.WithSlack(*options.slack),
		analyser.WithTop(*options.top), analyser.WithExamples(*options.examples),
	}
	for rule, objectives := range options.objectives {
		settings = append(settings, analyser.WithObjectives(rule, objectives))
	}
	return settings
}

// openSources opens the files; without any, or for "-", it returns standard input.
func openSources(ctx context.Context, paths []string) (sources []analyser.Source, closeAll func(), err error) {
	var files []io.Closer
	closeAll = func() {
		for _, file := range files {
			_ = file.Close() // The files are only read.
		}
	}
	if len(paths) == 0 {
		paths = []string{"-"}
	}
	for _, path := range paths {
		if path == "-" {
			sources = append(sources, analyser.Source{Name: "standard input", Reader: cancellable(ctx, os.Stdin)})
			continue
		}
		file, err := os.Open(path)
		if err != nil {
			closeAll()
			return nil, nil, fail("analyse", Failed, "%w", err)
		}
		files = append(files, file)
		sources = append(sources, analyser.Source{Name: path, Reader: file})
	}
	return sources, closeAll, nil
}

// cancellable returns a reader of a terminal or pipe whose reads end when the context does. The
// goroutine that copies ends with the input or the process.
func cancellable(ctx context.Context, input io.Reader) io.Reader {
	reader, writer := io.Pipe()
	context.AfterFunc(ctx, func() { _ = writer.CloseWithError(ctx.Err()) }) // It returns no error.
	go func() {
		_, err := io.Copy(writer, input)
		_ = writer.CloseWithError(err)
	}()
	return reader
}

func (options analyseOptions) writePlot(logs *analyser.Analyser) error {
	if *options.plotPath == "" {
		return nil
	}
	file, err := os.Create(*options.plotPath)
	if err != nil {
		return fail("analyse", Failed, "%w", err)
	}
	if err := logs.WritePlot(file, options.plotFormat()); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

package commander

import (
	"context"
	"flag"
	"fmt"
	"strings"

	"limpetcleat/definer"
	"limpetcleat/matcher"
	"limpetcleat/messenger"
)

// requestOptions holds the request properties that flags set.
type requestOptions struct {
	properties matcher.Properties
	headers    headerFlag
}

// headerFlag is a repeatable flag of name=value pairs.
type headerFlag map[string]string

// String returns the empty string, since the flag has no default.
func (headers headerFlag) String() string { return "" }

// Set adds one pair. The error is of kind InvalidUsage.
func (headers headerFlag) Set(pair string) error {
	name, value, ok := strings.Cut(pair, "=")
	if !ok {
		return fail("explain", InvalidUsage, "-header is %q; allowed is name=value", pair)
	}
	headers[strings.ToLower(name)] = value
	return nil
}

func requestFlags(flags *flag.FlagSet) *requestOptions {
	options := &requestOptions{headers: make(headerFlag)}
	flags.StringVar(&options.properties.Organisation, "organisation", "", "explain: the request's organisation")
	flags.StringVar(&options.properties.Model, "model", "", "explain: the requested model")
	flags.StringVar(&options.properties.Service, "service", "", "explain: the requested plain service")
	flags.StringVar(&options.properties.Method, "method", "POST", "explain: the request's method")
	flags.StringVar(&options.properties.Path, "path", "", "explain: the request's path")
	flags.BoolVar(&options.properties.Streamed, "streamed", false, "explain: whether a streamed response is requested")
	flags.IntVar(&options.properties.PromptTokens, "promptTokens", 0, "explain: the prompt's length in tokens")
	flags.IntVar(&options.properties.MaxTokens, "maxTokens", 0, "explain: the maximum number of requested tokens")
	flags.Var(options.headers, "header", "explain: a header as `name=value`; may be repeated")
	return options
}

// verdictRow is the JSON output of rules explain for one rule.
type verdictRow struct {
	Rule        string `json:"rule"`
	When        string `json:"when"`
	Holds       bool   `json:"holds"`
	Explanation string `json:"why"`
}

func (commander *Commander) rulesExplain(ctx context.Context, options rulesOptions) error {
	document, err := options.document(ctx)
	if err != nil {
		return err
	}
	configuration, err := definer.Build(1, document)
	if err != nil {
		return fail("explain", Failed, "%w", err)
	}
	compiled, err := matcher.New(configuration.Rules())
	if err != nil {
		return err
	}
	properties := options.request.properties
	properties.Headers = options.request.headers
	verdicts := compiled.Explain(properties)
	return commander.showVerdicts(verdicts, properties, *options.output)
}

// document returns the configuration in the file, or the stored one if no file is given.
func (options rulesOptions) document(ctx context.Context) (definer.Document, error) {
	if *options.file != "" {
		return readDocument(*options.file)
	}
	version, err := options.loadNewest(ctx)
	if err != nil {
		return definer.Document{}, err
	}
	return version.Document(), nil
}

func (commander *Commander) showVerdicts(verdicts []matcher.Verdict, properties matcher.Properties, output string) error {
	rows := make([]verdictRow, 0, len(verdicts))
	for _, verdict := range verdicts {
		rows = append(rows, verdictRow{Rule: verdict.Rule().Name(), When: verdict.Rule().When(), Holds: verdict.Holds(), Explanation: explanation(verdict, properties)})
	}
	if output == outputJSON {
		return writeJSON(commander.out, rows)
	}
	for _, row := range rows {
		_, _ = fmt.Fprintf(commander.out, "%q: %s\n    when %s\n", row.Rule, row.Explanation, row.When)
	}
	if len(verdicts) == 0 || !verdicts[len(verdicts)-1].Holds() {
		_, _ = fmt.Fprintf(commander.out, "no rule matches: the caller is refused with %s\n", messenger.NoRule)
	}
	return nil
}

func explanation(verdict matcher.Verdict, properties matcher.Properties) string {
	switch {
	case verdict.Failure() != nil:
		return "does not match, its condition failed: " + verdict.Failure().Error()
	case !verdict.Holds():
		return "does not match: " + matcher.FirstFalseOperand(verdict.Rule().When(), properties) + " is false"
	case verdict.Rule().Refusal() != "":
		return "matches; the request is refused: " + verdict.Rule().Refusal()
	default:
		return fmt.Sprintf("matches; class %s, pool %s, repeat %s", verdict.Rule().Class(), verdict.Rule().Pool(), verdict.Rule().Repeat())
	}
}

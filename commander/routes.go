package commander

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"limpetcleat/platform"
	"limpetcleat/router"
)

// routesOptions holds the flags of the routes command.
type routesOptions struct {
	file string
	host string
	path string
	key  string
}

// routesCommand explains how a configuration of the users' platform routes a request.
func (commander *Commander) routesCommand() command {
	return command{
		name:    "routes",
		summary: "explain how a configuration of the users' platform routes a request",
		example: "limpetcleat routes -file config.json -host shop.example -path /orders/7 -key KEY",
		prepare: func(flags *flag.FlagSet) action {
			options := &routesOptions{}
			flags.StringVar(&options.file, "file", "", "the JSON configuration `file`, as the operator writes it")
			flags.StringVar(&options.host, "host", "", "the request's `host`")
			flags.StringVar(&options.path, "path", "/", "the request's `path`")
			flags.StringVar(&options.key, "key", "", "the caller's `key`; it is not printed")
			return func(context.Context, string) error { return commander.explainRoute(options) }
		},
	}
}

func (commander *Commander) explainRoute(options *routesOptions) error {
	if options.file == "" || options.host == "" {
		return fail("routes", InvalidUsage, "-file and -host are needed")
	}
	data, err := os.ReadFile(options.file)
	if err != nil {
		return fail("routes", Failed, "%w", err)
	}
	definition, err := platform.DecodeConfiguration(data)
	if err != nil {
		return fail("routes", Failed, "%s: %w", options.file, err)
	}
	table, err := router.New(definition)
	if err != nil {
		return fail("routes", Failed, "%s: %w", options.file, err)
	}
	verdicts := table.Explain(options.host, options.path)
	for _, verdict := range verdicts {
		commander.showRule(table, verdict, options.key)
	}
	if len(verdicts) == 0 || verdicts[len(verdicts)-1].Reason != "" {
		_, _ = fmt.Fprintf(commander.out, "no rule of version %d matches: the caller is answered 404\n", table.Version())
	}
	return nil
}

// showRule prints whether a rule matches the request. For a matching rule it also prints the
// rule's settings, the organisation that the key authenticates, the tier and the urgency.
func (commander *Commander) showRule(table *router.Table, verdict router.Verdict, key string) {
	rule := verdict.Rule
	if verdict.Reason != "" {
		_, _ = fmt.Fprintf(commander.out, "%q does not match: %s\n", rule.Name, verdict.Reason)
		return
	}
	_, _ = fmt.Fprintf(commander.out, "%q matches\n    services %s\n    repeated %t, at most %d upstreams, timeout %v, objective %v\n",
		rule.Name, targets(rule), rule.Idempotent(), rule.MaxAttempts, rule.Timeout, rule.Objective)
	organisation, err := table.Authenticate(rule, key)
	switch {
	case err != nil:
		_, _ = fmt.Fprintf(commander.out, "    no organisation holds the key: the caller is answered 401\n")
		return
	case organisation != nil:
		_, _ = fmt.Fprintf(commander.out, "    organisation %s\n", organisation.Name)
	}
	_, _ = fmt.Fprintf(commander.out, "    tier %d, urgency %d at engines\n", table.Tier(rule, organisation), table.Urgency(rule, organisation))
}

// targets lists the services of a rule with their shares in percent.
func targets(rule *router.Rule) string {
	total := 0.0
	for _, target := range rule.Targets {
		total += target.Weight
	}
	texts := make([]string, 0, len(rule.Targets))
	for _, target := range rule.Targets {
		texts = append(texts, fmt.Sprintf("%s %.0f%%", target.Service, 100*target.Weight/total))
	}
	return strings.Join(texts, ", ")
}

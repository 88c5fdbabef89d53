package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os/user"
	"text/tabwriter"
	"time"

	"limpetcleat/editor"
	"limpetcleat/operator"
)

const (
	putWait      = 17 * time.Second
	putPollEvery = 200 * time.Millisecond
)

// ruleFlags are the flags of rules and its verbs.
type ruleFlags struct {
	nodes    *access
	platform *access
	output   *string
	file     *string
	base     *uint64
	summary  *string
	editor   *string
	wait     *time.Duration
	request  *requestFlags
}

// ruleVerb is one verb of rules.
type ruleVerb func(ctx context.Context, chosen ruleFlags) error

func (commander *Commander) rulesCommand() command {
	return command{
		name:    "rules",
		summary: "rules get|put|history|explain: read, change and explain the configuration",
		example: "limpetcleat rules put -platform 10.0.1.1:8000 -file rules.json -base 7 -summary 'more digests' -nodes 10.0.0.1:8081 -tokenFile operators.token",
		prepare: func(flags *flag.FlagSet) action {
			chosen := ruleFlags{
				nodes:    nodeFlags(flags),
				platform: platformFlags(flags),
				output:   outputFlag(flags),
				file:     flags.String("file", "", "put, explain: the configuration `file`, in JSON"),
				base:     flags.Uint64("base", 0, "put: the `version` that the change was made from; 0 is the newest"),
				summary:  flags.String("summary", "", "put: why, for the history"),
				editor:   flags.String("editor", loginName(), "put: who, for the history"),
				wait:     flags.Duration("wait", putWait, "put: how long to wait until the change is in force"),
				request:  explainFlags(flags),
			}
			return func(ctx context.Context, rest []string) error { return commander.rules(ctx, flags, chosen, rest) }
		},
	}
}

func loginName() string {
	current, err := user.Current()
	if err != nil {
		return "operator"
	}
	return current.Username
}

// rules runs a verb, whose flags may stand before or behind it.
func (commander *Commander) rules(ctx context.Context, flags *flag.FlagSet, chosen ruleFlags, rest []string) error {
	if len(rest) == 0 {
		return fail("rules", WrongUsage, "name one of get, put, history, explain")
	}
	verb, ok := commander.ruleVerbs()[rest[0]]
	if !ok {
		return fail("rules", WrongUsage, "there is no verb %q; name one of get, put, history, explain", rest[0])
	}
	if err := flags.Parse(rest[1:]); err != nil {
		return fail("rules", WrongUsage, "%w", err)
	}
	if err := checkOutput(*chosen.output); err != nil {
		return err
	}
	return verb(ctx, chosen)
}

func (commander *Commander) ruleVerbs() map[string]ruleVerb {
	return map[string]ruleVerb{
		"get":     commander.rulesGet,
		"put":     commander.rulesPut,
		"history": commander.rulesHistory,
		"explain": commander.rulesExplain,
	}
}

// load returns the stored configuration.
func (chosen ruleFlags) load(ctx context.Context) (*editor.Version, error) {
	store, err := chosen.platform.store()
	if err != nil {
		return nil, err
	}
	defer store.Close()
	return editor.New(store, *chosen.editor).Load(ctx)
}

func (commander *Commander) rulesGet(ctx context.Context, chosen ruleFlags) error {
	version, err := chosen.load(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(commander.problems, "version %d\n", version.Number())
	return writeJSON(commander.out, version.Document())
}

func (commander *Commander) rulesHistory(ctx context.Context, chosen ruleFlags) error {
	version, err := chosen.load(ctx)
	if err != nil {
		return err
	}
	head := version.Head()
	if *chosen.output == outputJSON {
		return writeJSON(commander.out, head)
	}
	table := tabwriter.NewWriter(commander.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "version\teditor\tat\tsummary")
	_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", head.Version, head.Editor, head.EditedAt.Format(time.RFC3339), head.Summary)
	for _, edit := range head.History {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", edit.Version, edit.Editor, edit.EditedAt.Format(time.RFC3339), edit.Summary)
	}
	return table.Flush()
}

func (commander *Commander) rulesPut(ctx context.Context, chosen ruleFlags) error {
	if *chosen.file == "" {
		return fail("rules put", WrongUsage, "-file is missing")
	}
	document, err := readDocument(*chosen.file)
	if err != nil {
		return err
	}
	store, err := chosen.platform.store()
	if err != nil {
		return err
	}
	defer store.Close()
	editing := editor.New(store, *chosen.editor)
	before, err := editing.Load(ctx)
	var failure *editor.Error
	if err != nil && (!errors.As(err, &failure) || failure.Kind() != editor.Empty) {
		return err
	}
	if err := commander.showDifferences(before, document); err != nil {
		return err
	}
	base := *chosen.base
	if base == 0 {
		base = before.Number()
	}
	after, err := editing.Edit(ctx, editor.Replace(base, *chosen.summary, document))
	if err != nil {
		return putFailure(err)
	}
	_, _ = fmt.Fprintf(commander.out, "version %d is accepted\n", after.Number())
	return commander.awaitInForce(ctx, chosen, after.Number())
}

func putFailure(err error) error {
	if _, ok := editor.RivalOf(err); ok {
		return fail("rules put", Conflicting, "%w", err)
	}
	return err
}

// awaitInForce returns once every node applies the version, or names those
// that do not when the time is over.
func (commander *Commander) awaitInForce(ctx context.Context, chosen ruleFlags, version uint64) error {
	if !chosen.nodes.given() {
		return nil
	}
	client, err := chosen.nodes.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, *chosen.wait)
	defer cancel()
	for {
		late := behind(ctx, client, version)
		if len(late) == 0 {
			_, _ = fmt.Fprintf(commander.out, "version %d is in force on %d nodes\n", version, len(client.Addresses()))
			return nil
		}
		select {
		case <-ctx.Done():
			return fail("rules put", NotEverywhere, "version %d is accepted, but not yet in force on %v", version, late)
		case <-time.After(putPollEvery):
		}
	}
}

// behind returns the addresses of the nodes that do not apply the version.
func behind(ctx context.Context, client *operator.Client, version uint64) []string {
	var late []string
	for _, answer := range client.Status(ctx) {
		if answer.Failure() != nil || answer.Value().Configuration < version {
			late = append(late, answer.Address())
		}
	}
	return late
}

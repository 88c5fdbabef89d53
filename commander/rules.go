package commander

import (
	"context"
	"flag"
	"fmt"
	"os/user"
	"text/tabwriter"
	"time"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/sectioner"
)

// rulesOptions holds the flags of all verbs of the rules command.
type rulesOptions struct {
	nodes    *endpoint
	platform *endpoint
	output   *string
	file     *string
	version  *uint64
	base     *uint64
	floor    *uint64
	summary  *string
	editor   *string
	dryRun   *bool
	wait     *time.Duration
	request  *requestOptions
}

// ruleVerb runs one verb of the rules command.
type ruleVerb func(ctx context.Context, chosen rulesOptions) error

func (commander *Commander) rulesCommand() command {
	return command{
		name:    "rules",
		summary: "rules get|put|history|explain: read, change and explain the configuration",
		example: "limpetcleat rules put -platform 10.0.1.1:8000 -file rules.json -base 7 -summary 'more digests' -nodes 10.0.0.1:8081 -tokenFile operators.token",
		verbs:   []string{"get", "put", "history", "explain"},
		prepare: func(flags *flag.FlagSet) action {
			options := rulesOptions{
				nodes:    nodeFlags(flags),
				platform: platformFlags(flags),
				output:   outputFlag(flags),
				file:     flags.String("file", "", "put, explain: the configuration `file`, in JSON"),
				version:  flags.Uint64("version", 0, "get: an earlier `version` within the history; 0 is the newest"),
				base:     flags.Uint64("base", 0, "put: the `version` that the change is based on; 0 is the newest"),
				floor:    flags.Uint64("floor", 0, "put: the minimum `version` of the change, for a platform that was restored to an older state"),
				summary:  flags.String("summary", "", "put: the reason for the change, for the history"),
				editor:   flags.String("editor", loginName(), "put: the name of the editor, for the history"),
				dryRun:   flags.Bool("dryRun", false, "put: check the file and show the differences without writing"),
				wait:     flags.Duration("wait", defaultPutWait, "put: how long to wait until the change is in force"),
				request:  requestFlags(flags),
			}
			return func(ctx context.Context, verb string) error {
				if err := checkOutput(*options.output); err != nil {
					return err
				}
				return commander.ruleVerbs()[verb](ctx, options)
			}
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

func (commander *Commander) ruleVerbs() map[string]ruleVerb {
	return map[string]ruleVerb{
		"get":     commander.rulesGet,
		"put":     commander.rulesPut,
		"history": commander.rulesHistory,
		"explain": commander.rulesExplain,
	}
}

// loadNewest returns the newest stored version.
func (options rulesOptions) loadNewest(ctx context.Context) (*editor.Version, error) {
	store, err := options.platform.storeClient()
	if err != nil {
		return nil, err
	}
	defer store.Close()
	return editor.New(store, *options.editor).Load(ctx)
}

func (commander *Commander) rulesGet(ctx context.Context, options rulesOptions) error {
	number, document, err := options.loadVersion(ctx)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(commander.errOut, "version %d\n", number)
	return writeJSON(commander.out, document)
}

// loadVersion returns the version that -version selects, and its number.
func (options rulesOptions) loadVersion(ctx context.Context) (uint64, definer.Document, error) {
	if *options.version == 0 {
		newest, err := options.loadNewest(ctx)
		if err != nil {
			return 0, definer.Document{}, err
		}
		return newest.Number(), newest.Document(), nil
	}
	store, err := options.platform.storeClient()
	if err != nil {
		return 0, definer.Document{}, err
	}
	defer store.Close()
	document, err := editor.New(store, *options.editor).LoadAt(ctx, *options.version)
	return *options.version, document, err
}

// editRow is the JSON output of rules history for one accepted edit.
type editRow struct {
	Version  uint64    `json:"version"`
	Editor   string    `json:"editor"`
	EditedAt time.Time `json:"editedAt"`
	Summary  string    `json:"summary"`
}

func (commander *Commander) rulesHistory(ctx context.Context, options rulesOptions) error {
	version, err := options.loadNewest(ctx)
	if err != nil {
		return err
	}
	rows := editRows(version.Head())
	if *options.output == outputJSON {
		return writeJSON(commander.out, rows)
	}
	table := tabwriter.NewWriter(commander.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "version\teditor\tat\tsummary")
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", row.Version, row.Editor, row.EditedAt.Format(time.RFC3339), row.Summary)
	}
	return table.Flush()
}

// editRows returns the newest edit and the edits in the history, newest first.
func editRows(head *sectioner.Head) []editRow {
	var rows []editRow
	for _, edit := range append([]sectioner.Edit{head.Edit}, head.History...) {
		rows = append(rows, editRow{Version: edit.Version, Editor: edit.Editor, EditedAt: edit.EditedAt, Summary: edit.Summary})
	}
	return rows
}

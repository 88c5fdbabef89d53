package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"limpetcleat/operator"
)

// nodeReport queries all nodes and prints their answers as a table or as JSON.
type nodeReport[Value any] struct {
	// query is the method of Client that queries all nodes.
	query func(client *operator.Client, ctx context.Context) []operator.Answer[Value]
	// row returns the JSON output for one node, whether it answered or failed.
	row func(answer operator.Answer[Value]) any
	// header contains the tab-separated column titles; it is empty if write prints its own.
	header string
	// write appends one node's answer to the table.
	write func(table io.Writer, address string, value Value)
}

// prepare returns the prepare function of a command that only prints the report.
func (report nodeReport[Value]) prepare(commander *Commander) func(flags *flag.FlagSet) action {
	return func(flags *flag.FlagSet) action {
		nodes := nodeFlags(flags)
		output := outputFlag(flags)
		return func(ctx context.Context, _ string) error {
			if err := checkOutput(*output); err != nil {
				return err
			}
			client, err := nodes.operatorClient()
			if err != nil {
				return err
			}
			return report.run(ctx, commander.out, client, *output)
		}
	}
}

// run queries the nodes and prints all answers. The error names the nodes that did not answer.
func (report nodeReport[Value]) run(ctx context.Context, out io.Writer, client *operator.Client, output string) error {
	answers := report.query(client, ctx)
	if err := report.show(out, answers, output); err != nil {
		return err
	}
	return unansweredError(answers)
}

func (report nodeReport[Value]) show(out io.Writer, answers []operator.Answer[Value], output string) error {
	if output == outputJSON {
		rows := make([]any, 0, len(answers))
		for _, answer := range answers {
			rows = append(rows, report.row(answer))
		}
		return writeJSON(out, rows)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if report.header != "" {
		_, _ = fmt.Fprintln(table, report.header)
	}
	for _, answer := range answers {
		if answer.Failure() == nil {
			report.write(table, answer.Address(), answer.Value())
		}
	}
	return table.Flush()
}

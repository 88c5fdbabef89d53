package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"limpetcleat/operator"
)

// report asks all nodes the same and shows what each answers.
type nodeReport[Value any] struct {
	// ask is the method of Client that asks.
	query func(client *operator.Client, ctx context.Context) []operator.Answer[Value]
	// row returns the JSON form of one node's answer, also of a failure.
	row func(answer operator.Answer[Value]) any
	// header holds the titles of the table's columns; it is empty if write sets its own.
	header string
	// write adds what one node answered to the table.
	write func(table io.Writer, address string, value Value)
}

// prepare declares the flags of a command that shows the report and does nothing else.
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

// run asks, and shows all answers; the error tells which nodes were silent.
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

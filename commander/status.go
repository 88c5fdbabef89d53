package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"text/tabwriter"

	"limpetcleat/decider"
	"limpetcleat/operator"
)

// statusRow is the JSON output of the status command for one node.
type statusRow struct {
	Address string          `json:"address"`
	Status  *decider.Status `json:"status,omitempty"`
	Failure string          `json:"failure,omitempty"`
}

func (commander *Commander) statusCommand() command {
	return command{
		name:    "status",
		summary: "show the status of each node; exit code 4 if some do not answer",
		example: "limpetcleat status -nodes 10.0.0.1:8081,10.0.0.2:8081 -tokenFile operators.token",
		prepare: func(flags *flag.FlagSet) action {
			nodes := nodeFlags(flags)
			output := outputFlag(flags)
			return func(ctx context.Context, _ string) error { return commander.status(ctx, nodes, *output) }
		},
	}
}

func (commander *Commander) status(ctx context.Context, nodes *endpoint, output string) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	client, err := nodes.operatorClient()
	if err != nil {
		return err
	}
	answers := client.Status(ctx)
	if err := commander.showStatus(answers, output); err != nil {
		return err
	}
	return unansweredError(answers)
}

func (commander *Commander) showStatus(answers []operator.Answer[decider.Status], output string) error {
	if output == outputJSON {
		return writeJSON(commander.out, statusRows(answers))
	}
	table := tabwriter.NewWriter(commander.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "node\tdata centre\tconfiguration\trequests\tshards\tmembers\tstate")
	for _, answer := range answers {
		if answer.Failure() != nil {
			_, _ = fmt.Fprintf(table, "%s\t-\t-\t-\t-\t-\tno answer\n", answer.Address())
			continue
		}
		status := answer.Value()
		_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%s\n", status.VM, status.DataCentre, status.Configuration,
			status.OpenRequests, len(status.Shards), len(status.Members), stateText(status))
	}
	return table.Flush()
}

func stateText(status decider.Status) string {
	switch {
	case status.Draining:
		return "draining"
	case status.Configuration == 0:
		return "no configuration"
	default:
		return "serving"
	}
}

func statusRows(answers []operator.Answer[decider.Status]) []statusRow {
	rows := make([]statusRow, 0, len(answers))
	for _, answer := range answers {
		row := statusRow{Address: answer.Address(), Failure: errorText(answer)}
		if answer.Failure() == nil {
			status := answer.Value()
			row.Status = &status
		}
		rows = append(rows, row)
	}
	return rows
}

// unansweredError returns an error that names the nodes that did not answer, or nil if all did. It
// is of kind Partial, or of kind Failed if no node answered.
func unansweredError[Value any](answers []operator.Answer[Value]) error {
	var unanswered []string
	var failures []error
	for _, answer := range answers {
		if answer.Failure() != nil {
			unanswered = append(unanswered, answer.Address())
			failures = append(failures, answer.Failure())
		}
	}
	switch len(unanswered) {
	case 0:
		return nil
	case len(answers):
		return fail("ask", Failed, "no node answers: %w", errors.Join(failures...))
	default:
		return fail("ask", Partial, "no answer from %v: %w", unanswered, errors.Join(failures...))
	}
}

// errorText returns the text of the answer's error, or the empty string if there is none.
func errorText[Value any](answer operator.Answer[Value]) string {
	if answer.Failure() == nil {
		return ""
	}
	return answer.Failure().Error()
}

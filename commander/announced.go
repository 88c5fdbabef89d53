package commander

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"

	"limpetcleat/operator"
)

// announcedRow is one node in the JSON form of announced.
type announcedRow struct {
	Address   string               `json:"address"`
	Announced []operator.Announced `json:"announced"`
	Failure   string               `json:"failure,omitempty"`
}

func (commander *Commander) announcedCommand() command {
	return command{
		name:    "announced",
		summary: "show which upstreams named a limit or leave, who said so, and which node hands out the permits",
		example: "limpetcleat announced -nodes 127.0.0.1:9465",
		prepare: func(flags *flag.FlagSet) action {
			nodes := nodeFlags(flags)
			output := outputFlag(flags)
			return func(ctx context.Context, _ string) error {
				if err := checkOutput(*output); err != nil {
					return err
				}
				client, err := nodes.client()
				if err != nil {
					return err
				}
				answers := client.Announced(ctx)
				if err := commander.showAnnounced(answers, *output); err != nil {
					return err
				}
				return silent(answers)
			}
		},
	}
}

func (commander *Commander) showAnnounced(answers []operator.Answer[[]operator.Announced], output string) error {
	if output == outputJSON {
		rows := make([]announcedRow, 0, len(answers))
		for _, answer := range answers {
			rows = append(rows, announcedRow{Address: answer.Address(), Announced: answer.Value(), Failure: failureText(answer)})
		}
		return writeJSON(commander.out, rows)
	}
	table := tabwriter.NewWriter(commander.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "node\tupstream\tlimit\tleaving\tsaid\tby\tpermits")
	for _, answer := range answers {
		for _, row := range answer.Value() {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s ago\t%s\t%s\n", answer.Address(), row.Upstream, limitText(row), row.Leaving,
				seconds(row.AgeMs), sourceText(row), permitsText(row))
		}
	}
	return table.Flush()
}

func limitText(row operator.Announced) string {
	if !row.Limited {
		return "none"
	}
	return fmt.Sprintf("%g/s", row.LimitPerSecond)
}

func sourceText(row operator.Announced) string {
	if row.Source == "" {
		return "itself"
	}
	return row.Source
}

// permitsText tells what a node hands out.
func permitsText(row operator.Announced) string {
	if !row.Issues {
		return "elsewhere"
	}
	return fmt.Sprintf("%.3g/s, %d nodes before, %d wait, asked %s ago", row.PermitsPerSecond, row.Position, row.Waiting, seconds(row.AskedAgoMs))
}

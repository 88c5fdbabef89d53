package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"limpetcleat/operator"
)

// heldOffRow is the JSON output of the heldOff command for one node.
type heldOffRow struct {
	Address string             `json:"address"`
	HeldOff []operator.HeldOff `json:"heldOff"`
	Failure string             `json:"failure,omitempty"`
}

func (commander *Commander) heldOffCommand() command {
	return command{
		name:    "heldOff",
		summary: "show the requests that are held off because upstreams crashed while serving them, and lift one",
		example: "limpetcleat heldOff -nodes 127.0.0.1:9465 -lift 0f6c21d4a35e8b7790aa12c44d03be5f",
		prepare: func(flags *flag.FlagSet) action {
			nodes := nodeFlags(flags)
			output := outputFlag(flags)
			lift := flags.String("lift", "", "the `identity` of a request to allow again on all nodes")
			return func(ctx context.Context, _ string) error {
				if err := checkOutput(*output); err != nil {
					return err
				}
				client, err := nodes.operatorClient()
				if err != nil {
					return err
				}
				if *lift != "" {
					return commander.lift(ctx, client, *lift)
				}
				return heldOffReport().run(ctx, commander.out, client, *output)
			}
		},
	}
}

func (commander *Commander) lift(ctx context.Context, client *operator.Client, identity string) error {
	if err := unansweredError(client.Lift(ctx, identity)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(commander.out, "%s may be sent again\n", identity)
	return nil
}

// heldOffReport lists the requests that each node holds off or suspects.
func heldOffReport() nodeReport[[]operator.HeldOff] {
	return nodeReport[[]operator.HeldOff]{
		query: (*operator.Client).HeldOff,
		row: func(answer operator.Answer[[]operator.HeldOff]) any {
			return heldOffRow{Address: answer.Address(), HeldOff: answer.Value(), Failure: errorText(answer)}
		},
		header: "node\trequest\tstate\tended\tfirst ago\trefused\ttold by\tupstreams",
		write:  writeHeldOff,
	}
}

// writeHeldOff writes one row for each request that a node holds off or suspects.
func writeHeldOff(table io.Writer, address string, rows []operator.HeldOff) {
	for _, row := range rows {
		identity, state := row.Identity, "suspected"
		if row.Part {
			identity += " (part)"
		}
		if row.Held {
			state = "held off, " + formatSeconds(row.LeftMs) + " left"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", address, identity, state, len(row.Upstreams),
			formatSeconds(row.FirstAgoMs), row.Refused, strings.Join(row.ReportedBy, ","), strings.Join(row.Upstreams, ","))
	}
}

// formatSeconds formats a number of milliseconds as a duration rounded to seconds.
func formatSeconds(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(time.Second).String()
}

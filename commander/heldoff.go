package commander

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"limpetcleat/operator"
)

// heldOffRow is one request at one node in the JSON form of heldOff.
type heldOffRow struct {
	Address string             `json:"address"`
	HeldOff []operator.HeldOff `json:"heldOff"`
	Failure string             `json:"failure,omitempty"`
}

func (commander *Commander) heldOffCommand() command {
	return command{
		name:    "heldOff",
		summary: "show which requests are refused since upstreams ended under them, and lift one",
		example: "limpetcleat heldOff -nodes 127.0.0.1:9465 -lift 0f6c21d4a35e8b7790aa12c44d03be5f",
		prepare: func(flags *flag.FlagSet) action {
			nodes := nodeFlags(flags)
			output := outputFlag(flags)
			lift := flags.String("lift", "", "the `identity` of a request that may be sent again, at all nodes")
			return func(ctx context.Context, _ string) error {
				if err := checkOutput(*output); err != nil {
					return err
				}
				client, err := nodes.client()
				if err != nil {
					return err
				}
				if *lift != "" {
					return commander.lift(ctx, client, *lift)
				}
				return commander.heldOff(ctx, client, *output)
			}
		},
	}
}

func (commander *Commander) lift(ctx context.Context, client *operator.Client, identity string) error {
	if err := silent(client.Lift(ctx, identity)); err != nil {
		return err
	}
	_, _ = fmt.Fprintf(commander.out, "%s may be sent again\n", identity)
	return nil
}

func (commander *Commander) heldOff(ctx context.Context, client *operator.Client, output string) error {
	answers := client.HeldOff(ctx)
	if err := commander.showHeldOff(answers, output); err != nil {
		return err
	}
	return silent(answers)
}

func (commander *Commander) showHeldOff(answers []operator.Answer[[]operator.HeldOff], output string) error {
	if output == outputJSON {
		rows := make([]heldOffRow, 0, len(answers))
		for _, answer := range answers {
			rows = append(rows, heldOffRow{Address: answer.Address(), HeldOff: answer.Value(), Failure: failureText(answer)})
		}
		return writeJSON(commander.out, rows)
	}
	table := tabwriter.NewWriter(commander.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "node\trequest\tstate\tended\tfirst ago\trefused\ttold by\tupstreams")
	for _, answer := range answers {
		for _, row := range answer.Value() {
			state := "suspected"
			if row.Held {
				state = "held off, " + seconds(row.LeftMs) + " left"
			}
			_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%d\t%s\t%s\n", answer.Address(), row.Identity, state, len(row.Upstreams),
				seconds(row.FirstAgoMs), row.Refused, strings.Join(row.ToldBy, ","), strings.Join(row.Upstreams, ","))
		}
	}
	return table.Flush()
}

// seconds returns milliseconds as whole seconds to be read.
func seconds(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(time.Second).String()
}

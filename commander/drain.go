package commander

import (
	"context"
	"flag"
	"fmt"
	"time"

	"limpetcleat/operator"
)

const drainPollInterval = 500 * time.Millisecond

// drainRow is the JSON output of the drain command for one node.
type drainRow struct {
	Address  string `json:"address"`
	Draining bool   `json:"drains"`
	// Stopped is set only if the command waits for the node to stop.
	Stopped bool   `json:"stopped"`
	Failure string `json:"failure,omitempty"`
}

func (commander *Commander) drainCommand() command {
	return command{
		name:    "drain",
		summary: "start a planned stop of nodes, which interrupts no request",
		example: "limpetcleat drain -nodes 10.0.0.1:8081 -tokenFile operators.token -wait 30m",
		prepare: func(flags *flag.FlagSet) action {
			nodes := nodeFlags(flags)
			output := outputFlag(flags)
			wait := flags.Duration("wait", 0, "how long to wait until the nodes have stopped; 0 returns at once")
			return func(ctx context.Context, _ string) error { return commander.drain(ctx, nodes, *output, *wait) }
		},
	}
}

func (commander *Commander) drain(ctx context.Context, nodes *endpoint, output string, wait time.Duration) error {
	if err := checkOutput(output); err != nil {
		return err
	}
	client, err := nodes.operatorClient()
	if err != nil {
		return err
	}
	answers := client.Drain(ctx)
	rows := make([]drainRow, 0, len(answers))
	for _, answer := range answers {
		rows = append(rows, drainRow{Address: answer.Address(), Draining: answer.Failure() == nil, Failure: errorText(answer)})
	}
	failure := unansweredError(answers)
	if failure == nil && wait > 0 {
		failure = awaitStopped(ctx, client, rows, wait)
	}
	if err := commander.showDrain(rows, output); err != nil {
		return err
	}
	return failure
}

// awaitStopped waits until no node answers and marks the stopped nodes in rows. After the timeout
// it returns an error of kind Partial that names the nodes that still answer.
func awaitStopped(ctx context.Context, client *operator.Client, rows []drainRow, wait time.Duration) error {
	waitCtx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		var running []string
		for index, answer := range client.Status(ctx) {
			rows[index].Stopped = answer.Failure() != nil
			if answer.Failure() == nil {
				running = append(running, answer.Address())
			}
		}
		if len(running) == 0 {
			return nil
		}
		select {
		case <-waitCtx.Done():
			return fail("drain", Partial, "not stopped yet: %v", running)
		case <-time.After(drainPollInterval):
		}
	}
}

func (commander *Commander) showDrain(rows []drainRow, output string) error {
	if output == outputJSON {
		return writeJSON(commander.out, rows)
	}
	for _, row := range rows {
		switch {
		case row.Stopped:
			_, _ = fmt.Fprintf(commander.out, "%s has stopped\n", row.Address)
		case row.Draining:
			_, _ = fmt.Fprintf(commander.out, "%s drains\n", row.Address)
		}
	}
	return nil
}

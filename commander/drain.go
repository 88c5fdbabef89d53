package commander

import (
	"context"
	"flag"
	"fmt"
)

func (commander *Commander) drainCommand() command {
	return command{
		name:    "drain",
		summary: "ask nodes for a planned stop, which cuts no request",
		example: "limpetcleat drain -nodes 10.0.0.1:8081 -tokenFile operators.token",
		prepare: func(flags *flag.FlagSet) action {
			nodes := nodeFlags(flags)
			return func(ctx context.Context, _ []string) error {
				client, err := nodes.client()
				if err != nil {
					return err
				}
				answers := client.Drain(ctx)
				for _, answer := range answers {
					if answer.Failure() == nil {
						_, _ = fmt.Fprintf(commander.out, "%s drains\n", answer.Address())
					}
				}
				return silent(answers)
			}
		},
	}
}

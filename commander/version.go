package commander

import (
	"context"
	"flag"
	"fmt"
	"runtime"
)

// Version is the version of this build.
const Version = "0.1.0"

func (commander *Commander) versionCommand() command {
	return command{
		name:    "version",
		summary: "print the version",
		example: "limpetcleat version",
		prepare: func(*flag.FlagSet) action {
			return func(context.Context, string) error {
				_, err := fmt.Fprintf(commander.out, "limpetcleat %s %s\n", Version, runtime.Version())
				return err
			}
		},
	}
}

// Command limpetcleat is the one binary of the system: the node that operators
// run, the tools that they use, and the stand-ins that tests run against.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"limpetcleat/commander"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return commander.New(os.Stdout, os.Stderr).Run(ctx, os.Args[1:])
}

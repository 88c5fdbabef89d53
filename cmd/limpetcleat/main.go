// Command limpetcleat is the only binary of the system. Its subcommands run a node, the operators'
// tools, and the stand-in servers for tests.
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

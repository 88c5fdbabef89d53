// Package commander is the command line: it picks a sub-command, reads its
// flags and returns an exit code.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
)

// The exit codes of every sub-command.
const (
	// ExitDone says that the command did what it was asked.
	ExitDone = 0
	// ExitFailed says that the command failed.
	ExitFailed = 1
	// ExitUsage says that the command line was wrong.
	ExitUsage = 2
	// ExitConflict says that somebody else changed the object meanwhile.
	ExitConflict = 3
	// ExitPartial says that the change holds but not yet on every node.
	ExitPartial = 4
)

// command is one sub-command.
type command struct {
	name    string
	summary string
	// example is a whole command line.
	example string
	// prepare declares the flags and returns what runs once they are read.
	prepare func(flags *flag.FlagSet) action
}

// action runs a sub-command whose flags have been read; rest is what follows
// them.
type action func(ctx context.Context, rest []string) error

// Commander runs sub-commands.
type Commander struct {
	out      io.Writer
	problems io.Writer
	commands []command
}

// New returns a commander with every sub-command. Results go to out, problems
// and help to problems.
func New(out, problems io.Writer) *Commander {
	commander := &Commander{out: out, problems: problems}
	commander.commands = commander.defaultCommands()
	return commander
}

// Run runs the sub-command that the arguments name and returns its exit code.
func (commander *Commander) Run(ctx context.Context, args []string) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "-help" || args[0] == "--help" {
		commander.usage()
		return ExitUsage
	}
	for _, command := range commander.commands {
		if command.name == args[0] {
			return commander.run(ctx, command, args[1:])
		}
	}
	_, _ = fmt.Fprintf(commander.problems, "limpetcleat: there is no command %q\n", args[0])
	commander.usage()
	return ExitUsage
}

func (commander *Commander) run(ctx context.Context, command command, args []string) int {
	flags := flag.NewFlagSet(command.name, flag.ContinueOnError)
	flags.SetOutput(commander.problems)
	act := command.prepare(flags)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(commander.problems, "limpetcleat %s: %s\n\nExample:\n  %s\n\nFlags:\n", command.name, command.summary, command.example)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return ExitUsage
	}
	err := act(ctx, flags.Args())
	if err != nil {
		_, _ = fmt.Fprintf(commander.problems, "limpetcleat %s: %v\n", command.name, err)
	}
	return exitCode(err)
}

func (commander *Commander) usage() {
	_, _ = fmt.Fprintln(commander.problems, "usage: limpetcleat COMMAND [flags]\n\nCommands:")
	for _, command := range commander.commands {
		_, _ = fmt.Fprintf(commander.problems, "  %-10s %s\n", command.name, command.summary)
	}
	_, _ = fmt.Fprintln(commander.problems, "\nlimpetcleat COMMAND -h tells a command's flags.\nExit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with another change,\n4 done but not yet in force on every node.")
}

func exitCode(err error) int {
	var failure *Error
	switch {
	case err == nil:
		return ExitDone
	case !errors.As(err, &failure):
		return ExitFailed
	case failure.Kind() == WrongUsage:
		return ExitUsage
	case failure.Kind() == Conflicting:
		return ExitConflict
	case failure.Kind() == NotEverywhere:
		return ExitPartial
	default:
		return ExitFailed
	}
}

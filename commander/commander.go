// Package commander is the command line: it picks a sub-command, reads its
// flags and returns an exit code.
package commander

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"slices"
	"strings"
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
	// ExitPartial says that the command did not reach every node, or that a
	// change is not yet in force on every node.
	ExitPartial = 4
)

const exitCodes = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with another change,
4 done, but not on every node.`

// command is one sub-command.
type command struct {
	name    string
	summary string
	// example is a whole command line.
	example string
	// verbs are the words of which one must stand among the flags; empty for a
	// command that takes flags alone.
	verbs []string
	// prepare declares the flags and returns what runs once they are read.
	prepare func(flags *flag.FlagSet) action
}

// action runs a sub-command whose flags have been read; verb is empty for a
// command without verbs.
type action func(ctx context.Context, verb string) error

// Commander runs sub-commands.
type Commander struct {
	out      io.Writer
	errOut   io.Writer
	commands []command
}

// New returns a commander with every sub-command. Results and help that was
// asked for go to out, problems to problems.
func New(out, errOut io.Writer) *Commander {
	commander := &Commander{out: out, errOut: errOut}
	commander.commands = commander.defaultCommands()
	return commander
}

// Run runs the sub-command that the arguments name and returns its exit code.
func (commander *Commander) Run(ctx context.Context, args []string) int {
	if len(args) == 0 {
		commander.printUsage(commander.errOut)
		return ExitUsage
	}
	if slices.Contains([]string{"help", "-h", "-help", "--help"}, args[0]) {
		return commander.help(args[1:])
	}
	if command, ok := commander.findCommand(args[0]); ok {
		return commander.run(ctx, command, args[1:])
	}
	_, _ = fmt.Fprintf(commander.errOut, "limpetcleat: there is no command %q\n", args[0])
	commander.printUsage(commander.errOut)
	return ExitUsage
}

func (commander *Commander) findCommand(name string) (command, bool) {
	for _, command := range commander.commands {
		if command.name == name {
			return command, true
		}
	}
	return command{}, false
}

// help tells of all commands, or of the one named.
func (commander *Commander) help(names []string) int {
	if len(names) == 0 {
		commander.printUsage(commander.out)
		return ExitDone
	}
	command, ok := commander.findCommand(names[0])
	if !ok {
		_, _ = fmt.Fprintf(commander.errOut, "limpetcleat: there is no command %q\n", names[0])
		return ExitUsage
	}
	flags, _ := command.flagSet()
	commander.printHelp(command, flags)
	return ExitDone
}

// flags returns the command's flags, which print nothing by themselves.
func (command command) flagSet() (*flag.FlagSet, action) {
	flags := flag.NewFlagSet(command.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	return flags, command.prepare(flags)
}

func (commander *Commander) run(ctx context.Context, command command, args []string) int {
	flags, act := command.flagSet()
	verb, err := command.parse(flags, args)
	if err == nil {
		err = applyClientFile(flags)
	}
	if errors.Is(err, flag.ErrHelp) {
		commander.printHelp(command, flags)
		return ExitDone
	}
	if err == nil {
		err = act(ctx, verb)
	}
	if err != nil {
		_, _ = fmt.Fprintf(commander.errOut, "limpetcleat %s: %v\n", command.name, err)
	}
	code := exitCode(err)
	if code == ExitUsage {
		_, _ = fmt.Fprintf(commander.errOut, "limpetcleat %s -h tells the flags, with an example\n", command.name)
	}
	return code
}

// parse reads the flags, which may stand before and behind the verb, and
// returns the verb.
func (command command) parse(flags *flag.FlagSet, args []string) (string, error) {
	if err := flags.Parse(args); err != nil {
		return "", fail(command.name, InvalidUsage, "%w", err)
	}
	rest := flags.Args()
	if len(command.verbs) == 0 {
		return "", command.rejectArguments(rest)
	}
	allowed := strings.Join(command.verbs, ", ")
	if len(rest) == 0 {
		return "", fail(command.name, InvalidUsage, "name one of %s", allowed)
	}
	if !slices.Contains(command.verbs, rest[0]) {
		return "", fail(command.name, InvalidUsage, "there is no verb %q; name one of %s", rest[0], allowed)
	}
	if err := flags.Parse(rest[1:]); err != nil {
		return "", fail(command.name, InvalidUsage, "%w", err)
	}
	return rest[0], command.rejectArguments(flags.Args())
}

func (command command) rejectArguments(rest []string) error {
	if len(rest) > 0 {
		return fail(command.name, InvalidUsage, "%q is neither a flag nor expected", rest[0])
	}
	return nil
}

// describe writes the help of one command.
func (commander *Commander) printHelp(command command, flags *flag.FlagSet) {
	_, _ = fmt.Fprintf(commander.out, "limpetcleat %s: %s\n\nExample:\n  %s\n\nFlags:\n", command.name, command.summary, command.example)
	flags.SetOutput(commander.out)
	flags.PrintDefaults()
	_, _ = fmt.Fprintf(commander.out, "\n%s\n", exitCodes)
}

func (commander *Commander) printUsage(writer io.Writer) {
	_, _ = fmt.Fprintln(writer, "usage: limpetcleat COMMAND [flags]\n\nCommands:")
	for _, command := range commander.commands {
		_, _ = fmt.Fprintf(writer, "  %-10s %s\n", command.name, command.summary)
	}
	_, _ = fmt.Fprintf(writer, "\nlimpetcleat COMMAND -h tells a command's flags.\n%s\n", exitCodes)
}

func exitCode(err error) int {
	var failure *Error
	switch {
	case err == nil:
		return ExitDone
	case !errors.As(err, &failure):
		return ExitFailed
	case failure.Kind() == InvalidUsage:
		return ExitUsage
	case failure.Kind() == Conflict:
		return ExitConflict
	case failure.Kind() == Partial:
		return ExitPartial
	default:
		return ExitFailed
	}
}

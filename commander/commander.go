// Package commander implements the command-line interface of the limpetcleat binary. It
// dispatches to a sub-command, parses its flags and maps errors to exit codes.
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
	// ExitSuccess is the exit code of success.
	ExitSuccess = 0
	// ExitFailed is the exit code of a failure that has no code of its own.
	ExitFailed = 1
	// ExitUsage is the exit code of an invalid command line.
	ExitUsage = 2
	// ExitConflict is the exit code of a change that conflicts with a concurrent change.
	ExitConflict = 3
	// ExitPartial is the exit code of a command that did not reach every node, or of a change
	// that is not yet in force on every node.
	ExitPartial = 4
)

const exitCodes = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 conflict with another change,
4 done, but not on every node.`

// command is one sub-command.
type command struct {
	name    string
	summary string
	// example is a complete command line.
	example string
	// verbs are the allowed values of the required positional argument; empty for a command
	// that takes only flags.
	verbs []string
	// takesFiles is set for a command whose positional arguments are files; its action reads
	// them from the flag set.
	takesFiles bool
	// prepare declares the flags and returns the action to run after they are parsed.
	prepare func(flags *flag.FlagSet) action
}

// action runs a sub-command after its flags are parsed; verb is empty for a command without verbs.
type action func(ctx context.Context, verb string) error

// Commander parses command lines and runs their sub-commands.
type Commander struct {
	out      io.Writer
	errOut   io.Writer
	commands []command
}

// New returns a commander with all sub-commands. It writes results and requested help to out, and
// errors to errOut.
func New(out, errOut io.Writer) *Commander {
	commander := &Commander{out: out, errOut: errOut}
	commander.commands = commander.defaultCommands()
	return commander
}

// Run runs the sub-command named by the first argument and returns its exit code.
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

// help prints the overview of all commands, or the help of the named command.
func (commander *Commander) help(names []string) int {
	if len(names) == 0 {
		commander.printUsage(commander.out)
		return ExitSuccess
	}
	command, ok := commander.findCommand(names[0])
	if !ok {
		_, _ = fmt.Fprintf(commander.errOut, "limpetcleat: there is no command %q\n", names[0])
		return ExitUsage
	}
	flags, _ := command.flagSet()
	commander.printHelp(command, flags)
	return ExitSuccess
}

// flagSet returns the command's flag set, whose own output is discarded, and its action.
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
		return ExitSuccess
	}
	if err == nil {
		err = act(ctx, verb)
	}
	if err != nil {
		_, _ = fmt.Fprintf(commander.errOut, "limpetcleat %s: %v\n", command.name, err)
	}
	code := exitCode(err)
	if code == ExitUsage {
		_, _ = fmt.Fprintf(commander.errOut, "run limpetcleat %s -h for the flags and an example\n", command.name)
	}
	return code
}

// parse parses the flags, which may precede and follow the verb, and returns the verb.
func (command command) parse(flags *flag.FlagSet, args []string) (string, error) {
	if err := flags.Parse(args); err != nil {
		return "", fail(command.name, InvalidUsage, "%w", err)
	}
	rest := flags.Args()
	if command.takesFiles {
		return "", nil
	}
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

// printHelp prints the help of one command.
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
	_, _ = fmt.Fprintf(writer, "\nRun limpetcleat COMMAND -h for a command's flags.\n%s\n", exitCodes)
}

func exitCode(err error) int {
	var failure *Error
	switch {
	case err == nil:
		return ExitSuccess
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

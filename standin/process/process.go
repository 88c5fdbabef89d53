// Package process runs child processes that a test can kill, suspend and terminate. Their output is
// appended to a log file.
package process

import (
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"limpetcleat/failer"
)

const (
	logFileMode  = 0o600
	pollInterval = 15 * time.Millisecond
	// listeningPrefix precedes the listen address in the output of a stand-in.
	listeningPrefix = "listens on "
)

// Kind classifies an Error.
type Kind string

const (
	// NotStarted marks a program that could not be started.
	NotStarted Kind = "notStarted"
	// Unfinished marks a process that did not exit or listen as awaited.
	Unfinished Kind = "unfinished"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Process is one child process.
type Process struct {
	logPath string
	command *exec.Cmd
	// exited is closed once the child process has exited; exitCode is set before that.
	exited   chan struct{}
	exitCode int
}

// Start runs the program and appends its standard output and standard error to the file at
// logPath, which it creates if needed. Several processes may share a log file. The process runs
// until it exits or a signal terminates it. An error is of kind NotStarted.
func Start(logPath, program string, args ...string) (*Process, error) {
	return StartWith(nil, logPath, program, args...)
}

// StartWith is Start with further variables of the environment, as "name=value".
func StartWith(variables []string, logPath, program string, args ...string) (*Process, error) {
	output, err := os.OpenFile(logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return nil, failer.New("process.Start", NotStarted, "%w", err)
	}
	defer func() { _ = output.Close() }()
	process := &Process{logPath: logPath, command: exec.Command(program, args...), exited: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = output, output
	process.command.Env = append(os.Environ(), variables...)
	if err := process.command.Start(); err != nil {
		return nil, failer.New("process.Start", NotStarted, "%w", err)
	}
	go func() {
		defer close(process.exited)
		_ = process.command.Wait()
		process.exitCode = process.command.ProcessState.ExitCode()
	}()
	return process, nil
}

// ID returns the process ID.
func (process *Process) ID() int { return process.command.Process.Pid }

// Kill sends SIGKILL to the process and waits until it has exited.
func (process *Process) Kill() {
	process.signal(syscall.SIGKILL)
	<-process.exited
}

// Suspend suspends the process with SIGSTOP until Resume is called.
func (process *Process) Suspend() { process.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (process *Process) Resume() { process.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM to the process, as a planned stop does, and does not wait for it to exit.
func (process *Process) Terminate() { process.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP to the process, which asks a node to read its settings again.
func (process *Process) Hangup() { process.signal(syscall.SIGHUP) }

// Exited returns a channel that is closed once the process has exited.
func (process *Process) Exited() <-chan struct{} { return process.exited }

// ExitCode waits until the process has exited and returns its exit code, which is -1 if a signal
// terminated it. If the context ends first, it returns an error of kind Unfinished.
func (process *Process) ExitCode(ctx context.Context) (int, error) {
	select {
	case <-process.exited:
		return process.exitCode, nil
	case <-ctx.Done():
		return 0, failer.New("process.ExitCode", Unfinished, "%w", ctx.Err())
	}
}

// Output returns the content of the log file: the output of the process and of all others that
// share the file.
func (process *Process) Output() (string, error) {
	data, err := os.ReadFile(process.logPath)
	return string(data), err
}

// ListenAddress waits until a stand-in reports its listen address in the log file and returns the
// address. If the process exits or the context ends first, it returns an error of kind Unfinished.
func (process *Process) ListenAddress(ctx context.Context) (string, error) {
	for {
		// The exit is checked before the log is read, so that the log of an exited process is
		// complete.
		exited := process.HasExited()
		text, err := process.Output()
		if err != nil {
			return "", failer.New("process.Listening", Unfinished, "%w", err)
		}
		_, after, found := strings.Cut(text, listeningPrefix)
		if address, _, complete := strings.Cut(after, "\n"); found && complete {
			return address, nil
		}
		if exited {
			return "", failer.New("process.Listening", Unfinished, "process exited before it reported its listen address: %s", text)
		}
		if err := process.awaitPoll(ctx); err != nil {
			return "", failer.New("process.Listening", Unfinished, "%w", err)
		}
	}
}

// awaitPoll waits for the poll interval, for the exit of the process or for the end of the context,
// whichever comes first. It returns the error of the context, if any.
func (process *Process) awaitPoll(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-process.exited:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// HasExited reports whether the process has exited.
func (process *Process) HasExited() bool {
	select {
	case <-process.exited:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process, but not to its children, unless it has exited.
func (process *Process) signal(signal syscall.Signal) {
	if !process.HasExited() {
		_ = process.command.Process.Signal(signal)
	}
}

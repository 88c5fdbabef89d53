// Package process runs programs that a trial kills, freezes and stops, as machines and operators do,
// with what they write kept in a file.
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
	logMode   = 0o600
	pollEvery = 15 * time.Millisecond
	// listensOn stands before the address in what a stand-in writes.
	listensOn = "listens on "
)

// Kind classifies an Error.
type Kind string

const (
	// NotStarted marks a program that could not be started.
	NotStarted Kind = "notStarted"
	// Unfinished marks a process that has not come to what was awaited.
	Unfinished Kind = "unfinished"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Process is one child process.
type Process struct {
	log     string
	command *exec.Cmd
	// over is closed once the child has ended; code is set before.
	over chan struct{}
	code int
}

// Start runs the program and appends what it writes to the log, which a program that is started again
// may share. The process runs until it ends by itself or is killed.
func Start(log, program string, args ...string) (*Process, error) {
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logMode)
	if err != nil {
		return nil, failer.New("process.Start", NotStarted, "%w", err)
	}
	defer func() { _ = output.Close() }()
	process := &Process{log: log, command: exec.Command(program, args...), over: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = output, output
	if err := process.command.Start(); err != nil {
		return nil, failer.New("process.Start", NotStarted, "%w", err)
	}
	go func() {
		defer close(process.over)
		_ = process.command.Wait()
		process.code = process.command.ProcessState.ExitCode()
	}()
	return process, nil
}

// Kill ends the process at once and waits for its end.
func (process *Process) Kill() {
	process.signal(syscall.SIGKILL)
	<-process.over
}

// Freeze keeps the process from running until Thaw.
func (process *Process) Freeze() { process.signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run again.
func (process *Process) Thaw() { process.signal(syscall.SIGCONT) }

// Stop asks the process to end, as a planned stop does.
func (process *Process) Stop() { process.signal(syscall.SIGTERM) }

// Over returns the channel that is closed once the process has ended.
func (process *Process) Over() <-chan struct{} { return process.over }

// ExitCode waits for the end of the process and returns its exit code, which is -1 after a signal.
func (process *Process) ExitCode(ctx context.Context) (int, error) {
	select {
	case <-process.over:
		return process.code, nil
	case <-ctx.Done():
		return 0, failer.New("process.ExitCode", Unfinished, "%w", ctx.Err())
	}
}

// Text returns what the process, and those before it with the same log, have written.
func (process *Process) Text() (string, error) {
	data, err := os.ReadFile(process.log)
	return string(data), err
}

// Listening returns the address that a stand-in says it listens on, once it does.
func (process *Process) Listening(ctx context.Context) (string, error) {
	for {
		// The end is looked at first, so that nothing is written after the text is read.
		ended := process.ended()
		text, err := process.Text()
		if err != nil {
			return "", failer.New("process.Listening", Unfinished, "%w", err)
		}
		_, after, found := strings.Cut(text, listensOn)
		if address, _, whole := strings.Cut(after, "\n"); found && whole {
			return address, nil
		}
		if ended {
			return "", failer.New("process.Listening", Unfinished, "it ended: %s", text)
		}
		if err := process.pause(ctx); err != nil {
			return "", failer.New("process.Listening", Unfinished, "%w", err)
		}
	}
}

// pause waits a little, or until the process or the context has ended.
func (process *Process) pause(ctx context.Context) error {
	timer := time.NewTimer(pollEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-process.over:
	case <-ctx.Done():
	}
	return ctx.Err()
}

func (process *Process) ended() bool {
	select {
	case <-process.over:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process alone, if it still runs.
func (process *Process) signal(signal syscall.Signal) {
	if !process.ended() {
		_ = process.command.Process.Signal(signal)
	}
}

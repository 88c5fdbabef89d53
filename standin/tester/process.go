package tester

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/process"
)

// Child is one child process of the test.
type Child struct {
	*process.Process
	T    *testing.T
	Name string
}

// startChild starts the binary and writes its output to a log file. The child is killed at the end
// of the test.
func startChild(t *testing.T, directory, name string, args ...string) *Child {
	t.Helper()
	return startChildWith(t, nil, directory, name, args...)
}

// startChildWith is startChild with further variables of the environment. Unlike testing.T.Setenv it may be called by several
// goroutines at once.
func startChildWith(t *testing.T, variables []string, directory, name string, args ...string) *Child {
	t.Helper()
	started, err := process.StartWith(variables, filepath.Join(directory, name+".log"), Binary(), args...)
	assert.NilError(t, err)
	t.Cleanup(started.Kill)
	return &Child{Process: started, T: t, Name: name}
}

// ProcessorTime returns the processor time that the child has used. It fails once the child has exited.
func (child *Child) ProcessorTime() (time.Duration, error) {
	// The kernel numbers the clock of a process's processor time by its ID.
	const processorClock, kindBits = 2, 3
	var used unix.Timespec
	if err := unix.ClockGettime(int32(^child.ID()<<kindBits|processorClock), &used); err != nil {
		return 0, err
	}
	return time.Duration(used.Nano()), nil
}

// AwaitExit waits until the child exits and returns its exit code.
func (child *Child) AwaitExit(timeout time.Duration) int {
	child.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	code, err := child.ExitCode(ctx)
	assert.NilError(child.T, err, "%s has not exited after %v", child.Name, timeout)
	return code
}

// AwaitListenAddress returns the address on which a stand-in reports that it is listening.
func (child *Child) AwaitListenAddress() string {
	child.T.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), StartTimeout)
	defer cancel()
	address, err := child.ListenAddress(ctx)
	assert.NilError(child.T, err, child.Name)
	return address
}

// LogOutput logs the last part of each child's output if the test has failed.
func LogOutput(t *testing.T, children ...*Child) {
	const shown = 3000
	if !t.Failed() {
		return
	}
	for _, child := range children {
		text, err := child.Output()
		assert.NilError(t, err)
		if text != "" {
			t.Logf("--- %s\n%s", child.Name, text[max(0, len(text)-shown):])
		}
	}
}

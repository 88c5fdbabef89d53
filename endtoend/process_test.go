package endtoend_test

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/process"
)

// child is one child process of the test.
type child struct {
	*process.Process
	t    *testing.T
	name string
}

// startChild starts the binary and writes its output to a log file. The child is killed at the end
// of the test.
func startChild(t *testing.T, directory, name string, args ...string) *child {
	t.Helper()
	started, err := process.Start(filepath.Join(directory, name+".log"), os.Getenv(binaryVariable), args...)
	assert.NilError(t, err)
	t.Cleanup(started.Kill)
	return &child{Process: started, t: t, name: name}
}

// exitCode waits until the child exits and returns its exit code.
func (child *child) exitCode(timeout time.Duration) int {
	child.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	code, err := child.ExitCode(ctx)
	assert.NilError(child.t, err, "%s has not exited after %v", child.name, timeout)
	return code
}

// listenAddress returns the address on which a stand-in reports that it is listening.
func (child *child) listenAddress() string {
	child.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	address, err := child.ListenAddress(ctx)
	assert.NilError(child.t, err, child.name)
	return address
}

// logOutput logs the last part of each child's output if the test has failed.
func logOutput(t *testing.T, children ...*child) {
	const shown = 3000
	if !t.Failed() {
		return
	}
	for _, child := range children {
		text, err := child.Output()
		assert.NilError(t, err)
		if text != "" {
			t.Logf("--- %s\n%s", child.name, text[max(0, len(text)-shown):])
		}
	}
}

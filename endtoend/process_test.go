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

// startChild starts the binary with its output in a file that is shown when
// the test fails. The child is killed at the end of the test.
func startChild(t *testing.T, directory, name string, args ...string) *child {
	t.Helper()
	started, err := process.Start(filepath.Join(directory, name+".log"), os.Getenv(binaryVariable), args...)
	assert.NilError(t, err)
	t.Cleanup(started.Kill)
	return &child{Process: started, t: t, name: name}
}

// exitCode waits for the child's end and returns its exit code.
func (child *child) exitCode(limit time.Duration) int {
	child.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	code, err := child.ExitCode(ctx)
	assert.NilError(child.t, err, "%s has not ended after %v", child.name, limit)
	return code
}

// listening returns the address that a stand-in says it listens on.
func (child *child) listening() string {
	child.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	address, err := child.Listening(ctx)
	assert.NilError(child.t, err, child.name)
	return address
}

// show writes the ends of the children's logs to the test's when it failed.
func show(t *testing.T, children ...*child) {
	const shown = 3000
	if !t.Failed() {
		return
	}
	for _, child := range children {
		text, err := child.Text()
		assert.NilError(t, err)
		if text != "" {
			t.Logf("--- %s\n%s", child.name, text[max(0, len(text)-shown):])
		}
	}
}

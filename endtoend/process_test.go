package endtoend_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// process is one child process of the test.
type process struct {
	t       *testing.T
	name    string
	log     string
	command *exec.Cmd
	// over is closed once the child has ended; code is set before.
	over chan struct{}
	code atomic.Int32
}

// startProcess starts the binary with its output in a file that is shown when
// the test fails. The child is killed at the end of the test.
func startProcess(t *testing.T, directory, name string, args ...string) *process {
	t.Helper()
	child := &process{t: t, name: name, log: filepath.Join(directory, name+".log"), over: make(chan struct{})}
	output, err := os.OpenFile(child.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(t, err)
	defer func() { _ = output.Close() }()
	child.command = exec.Command(os.Getenv(binaryVariable), args...)
	child.command.Stdout, child.command.Stderr = output, output
	assert.NilError(t, child.command.Start())
	go func() {
		_ = child.command.Wait()
		child.code.Store(int32(child.command.ProcessState.ExitCode()))
		close(child.over)
	}()
	t.Cleanup(child.kill)
	return child
}

// signal sends a signal to the child alone, if it still runs.
func (child *process) signal(signal syscall.Signal) {
	select {
	case <-child.over:
	default:
		_ = child.command.Process.Signal(signal)
	}
}

// kill ends the child and waits for its end.
func (child *process) kill() {
	child.signal(syscall.SIGKILL)
	<-child.over
}

func (child *process) freeze() { child.signal(syscall.SIGSTOP) }
func (child *process) thaw()   { child.signal(syscall.SIGCONT) }
func (child *process) stop()   { child.signal(syscall.SIGTERM) }

// exitCode waits for the child's end and returns its exit code.
func (child *process) exitCode(limit time.Duration) int {
	child.t.Helper()
	select {
	case <-child.over:
		return int(child.code.Load())
	case <-time.After(limit):
		child.t.Fatalf("%s has not ended after %v", child.name, limit)
		return -1
	}
}

// text returns what the child has written.
func (child *process) text() string {
	data, err := os.ReadFile(child.log)
	assert.NilError(child.t, err)
	return string(data)
}

// listening returns the address that a stand-in says it listens on.
func (child *process) listening() string {
	child.t.Helper()
	var address string
	eventually(child.t, startLimit, child.name+" listens", func() bool {
		_, after, found := strings.Cut(child.text(), "listens on ")
		line, _, whole := strings.Cut(after, "\n")
		address = line
		return found && whole
	})
	return address
}

// show writes the ends of the children's logs to the test's when it failed.
func show(t *testing.T, children ...*process) {
	const shown = 3000
	if !t.Failed() {
		return
	}
	for _, child := range children {
		if text := child.text(); text != "" {
			t.Logf("--- %s\n%s", child.name, text[max(0, len(text)-shown):])
		}
	}
}

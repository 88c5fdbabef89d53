package process_test

import (
	"context"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/process"
)

func TestProcesses(t *testing.T) {
	const announce = "echo x listens on 127.0.0.1:7; "
	cases := []struct {
		name, script string
		end          func(*process.Process)
		code         int
		listens      bool
	}{
		{"ends", announce + "exit 3", func(*process.Process) {}, 3, true},
		{"killed", announce + "exec sleep 600", (*process.Process).Kill, -1, true},
		{"stopped", announce + "exec sleep 600", (*process.Process).Terminate, -1, true},
		{"frozen and thawed", announce + "exec sleep 600", func(child *process.Process) {
			child.Suspend()
			child.Terminate()
			child.Resume()
		}, -1, true},
		{"says nothing", "exit 0", func(*process.Process) {}, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			child, err := process.Start(filepath.Join(t.TempDir(), "log"), "/bin/sh", "-c", test.script)
			assert.NilError(t, err)
			defer child.Kill()
			address, err := child.ListenAddress(ctx)
			assert.Equal(t, err == nil, test.listens, "%v", err)
			assert.Equal(t, address == "127.0.0.1:7", test.listens, address)
			test.end(child)
			code, err := child.ExitCode(ctx)
			assert.NilError(t, err)
			assert.Equal(t, code, test.code)
			<-child.Exited()
		})
	}
	_, err := process.Start(filepath.Join(t.TempDir(), "log"), "/nonexistent")
	assert.Assert(t, err != nil)
}

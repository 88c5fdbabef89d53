package tester

import (
	"os"
	"path/filepath"
	"syscall"

	"gotest.tools/v3/assert"
)

// StartNodeWithLogReader starts a node whose output goes to the returned reader, a FIFO, which the caller
// closes.
func (fleet *Fleet) StartNodeWithLogReader(name string) (*Node, *os.File) {
	t := fleet.T
	t.Helper()
	path := filepath.Join(fleet.Directory, name+".log")
	assert.NilError(t, syscall.Mkfifo(path, settingsMode))
	reader, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	assert.NilError(t, err)
	node := fleet.StartNode(name)
	// The output of a failed test is read from the path, which would wait for a writer.
	t.Cleanup(func() {
		assert.NilError(t, os.Remove(path))
		assert.NilError(t, os.WriteFile(path, nil, settingsMode))
	})
	return node, reader
}

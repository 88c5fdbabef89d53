package tester

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"

	"gotest.tools/v3/assert"
)

// LateSettings is a settings file that a node waits for: a FIFO, which it cannot read before the test
// provides the content.
type LateSettings struct {
	fleet   *Fleet
	path    string
	content string
	// reader is the FIFO while the node waits for its content, else nil.
	reader *os.File
}

// StartWaitingNode starts a node that waits for its settings until they are provided.
func (fleet *Fleet) StartWaitingNode(name string) (*Node, *LateSettings) {
	fleet.T.Helper()
	node, content := fleet.newNode(West, name, freeAddress(fleet.T), fleet.StoreAddress, defaultLimits)
	path := filepath.Join(fleet.Directory, name+".yaml")
	assert.NilError(fleet.T, syscall.Mkfifo(path, settingsMode))
	fleet.startNode(node, name, path)
	return node, &LateSettings{fleet: fleet, path: path, content: content}
}

// AwaitReader waits until the node reads its settings.
func (late *LateSettings) AwaitReader() {
	late.fleet.T.Helper()
	Eventually(late.fleet.T, StartTimeout, "the node reads its settings", func() bool {
		reader, err := os.OpenFile(late.path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if errors.Is(err, syscall.ENXIO) { // Nobody reads.
			return false
		}
		assert.NilError(late.fleet.T, err)
		late.reader = reader
		return true
	})
}

// Provide gives the node its settings, once AwaitReader has returned. When it reads them again, it finds an
// ordinary file.
func (late *LateSettings) Provide() {
	t := late.fleet.T
	t.Helper()
	assert.NilError(t, os.Remove(late.path))
	assert.NilError(t, os.WriteFile(late.path, []byte(late.content), settingsMode))
	_, err := late.reader.WriteString(late.content)
	assert.NilError(t, err)
	assert.NilError(t, late.reader.Close())
}

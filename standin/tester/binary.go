package tester

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaryVariable names the environment variable that holds the binary's path. If it is set when the tests
// start, they run that binary instead of building one.
const binaryVariable = "LIMPETCLEAT_TEST_BINARY"

// Binary returns the path of the binary under test.
func Binary() string { return os.Getenv(binaryVariable) }

// Run builds the binary once, without the race detector, runs the tests and returns the exit code
// of the process. The TestMain of each package that uses this one calls it.
func Run(m *testing.M) int {
	if Binary() != "" {
		return m.Run()
	}
	directory, err := os.MkdirTemp("", "limpetcleat")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binary := filepath.Join(directory, "limpetcleat")
	build := exec.Command("go", "build", "-o", binary, "limpetcleat/cmd/limpetcleat")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	if err := os.Setenv(binaryVariable, binary); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

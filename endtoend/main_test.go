// Package endtoend_test runs the system as separate processes on loopback. It checks the results
// against what the stand-ins for the platform and the upstreams recorded.
package endtoend_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binaryVariable names the environment variable that holds the binary's path.
const binaryVariable = "LIMPETCLEAT_TEST_BINARY"

// TestMain builds the binary once, without the race detector. With upstreamVariable set, the
// process instead serves as an upstream until it is killed.
func TestMain(m *testing.M) {
	if answer := os.Getenv(upstreamVariable); answer != "" {
		fmt.Fprintln(os.Stderr, serveUpstream(answer))
		os.Exit(1)
	}
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
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

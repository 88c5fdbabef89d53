// Package streams_test tests that streams go on across the ends of nodes and upstreams.
package streams_test

import (
	"fmt"
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

// TestMain runs the tests. With upstreamVariable set, the process instead serves as an upstream
// until it is killed.
func TestMain(m *testing.M) {
	if answer := os.Getenv(upstreamVariable); answer != "" {
		fmt.Fprintln(os.Stderr, serveUpstream(answer))
		os.Exit(1)
	}
	os.Exit(tester.Run(m))
}

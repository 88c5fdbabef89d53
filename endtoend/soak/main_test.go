// Package soak_test plays overlapping faults of the store and of upstreams, drawn from a seed, against nodes that run as
// processes. It is run by scripts/soak.sh.
package soak_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

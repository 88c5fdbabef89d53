// Package machines_test tests nodes on VMs with little memory, processor time and bandwidth.
package machines_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

// TestMain runs the tests.
func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

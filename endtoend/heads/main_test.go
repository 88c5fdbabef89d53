// Package heads_test tests that the heads which clients send stay within the memory of a process.
package heads_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

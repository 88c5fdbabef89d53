// Package membership_test tests nodes that join or end, delegated reading and duties of one node at a time.
package membership_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

// Package announcements_test tests that nodes respect what upstreams announce in their answers.
package announcements_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

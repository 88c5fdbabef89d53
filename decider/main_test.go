package decider

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that their result is the
// same in every run.
func TestMain(m *testing.M) {
	if flag.Set("rapid.seed", "20261202") == nil {
		os.Exit(m.Run())
	}
	os.Exit(1)
}

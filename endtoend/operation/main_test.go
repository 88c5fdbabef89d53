// Package operation_test tests planned stops, outages of the platform and the whole path of a request.
package operation_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

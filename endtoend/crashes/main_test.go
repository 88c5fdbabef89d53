// Package crashes_test tests requests that crash the upstreams which run them.
package crashes_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }

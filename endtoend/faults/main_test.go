// Package faults_test tests faults at every step of reservations, streams and configuration changes.
package faults_test

import (
	"os"
	"testing"

	"limpetcleat/standin/tester"
)

func TestMain(m *testing.M) { os.Exit(tester.Run(m)) }
